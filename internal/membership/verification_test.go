package membership

import (
	"fmt"
	"testing"
)

// TestRefusalsNeedNoVerification asserts that a suspect is declared dead without waiting for a verification if at least
// two members found that no process listens at its address.
func TestRefusalsNeedNoVerification(t *testing.T) {
	h := newHarness(t)
	h.answerForB = unreachable(h)
	h.receiveUpdates(refused(suspectUpdate("b", "c", "d", "e")))
	suspectedAt := h.now
	h.run(suspectedAt + second)
	if after := h.diedAt - suspectedAt; h.diedAt == 0 || after > h.RefusedTimeout+tickInterval {
		t.Errorf("b was declared dead %s after the suspicion (never if negative), want at most %s",
			formatMilliseconds(after), formatMilliseconds(h.RefusedTimeout+tickInterval))
	}
}

// TestVerificationsAreBounded asserts that with many suspects at the same time, all are pinged for verification, but at
// most maxVerifications of them in one tick.
func TestVerificationsAreBounded(t *testing.T) {
	const suspects = 200
	h := newHarness(t)
	h.answerForB = unreachable(h)
	for i := range suspects {
		h.receiveUpdates(aliveUpdate(fmt.Sprint("m", i)))
	}
	for i := range suspects {
		h.receiveUpdates(suspectUpdate(fmt.Sprint("m", i), "c", "d", "e"))
	}
	pinged, maxPings := map[string]bool{}, 0
	for start := h.now; h.now < start+5*second; h.now += tickInterval {
		pings := 0
		for _, action := range h.Tick(h.now) {
			if send, ok := action.(Send); ok && send.Message.Kind == Ping {
				pings++
				pinged[send.Message.To] = true
			}
		}
		maxPings = max(maxPings, pings)
	}
	const others = 2 // pings per tick in addition to verifications: one of a probe in order, and one of an urgent probe
	if maxPings > maxVerifications+others || len(pinged) < suspects {
		t.Errorf("got %d members pinged and up to %d pings in one tick, want at least %d and at most %d",
			len(pinged), maxPings, suspects, maxVerifications+others)
	}
}

// TestSuspectIsVerified asserts that in a large cluster, the local member pings a suspect before it declares the
// suspect dead, even if the suspicion came from other members.
func TestSuspectIsVerified(t *testing.T) {
	for _, c := range []struct {
		name string
		path pathToB
		dead bool
	}{{"reachable", reachable, false}, {"unreachable", unreachable, true}} {
		h := newHarness(t)
		h.answerForB = c.path(h)
		for i := range 1000 {
			h.receiveUpdates(aliveUpdate(fmt.Sprint("m", i)))
		}
		h.run(h.now + second)
		h.suspectB()
		suspectedAt := h.now
		h.run(suspectedAt + 10*second)
		if (h.diedAt > 0) != c.dead || h.diedAt > suspectedAt+4*second {
			t.Errorf("%s: got b declared dead %v (%s after the suspicion), want %v within 4 s", c.name, h.diedAt > 0,
				formatMilliseconds(h.diedAt-suspectedAt), c.dead)
		}
	}
}

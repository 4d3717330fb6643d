package membership

import (
	"fmt"
	"testing"
)

// TestRefusalsNeedNoVerification asserts that nobody waits for an answer of a suspect where two members found
// that no process listens.
func TestRefusalsNeedNoVerification(t *testing.T) {
	h := newHarness(t)
	h.answerForB = unreachable(h)
	h.receiveUpdates(refused(suspectUpdate("b", "c", "d", "e")))
	suspectedAt := h.now
	h.run(suspectedAt + second)
	if after := h.diedAt - suspectedAt; h.diedAt == 0 || after > h.RefusedTimeout+tickInterval {
		t.Errorf("dead %s after the suspicion", formatMilliseconds(after))
	}
}

// TestVerificationsAreBounded asserts that where many are suspected at once, all are pinged, but not in one
// tick.
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
	const others = 2 // a probe's, and one of the dead
	if maxPings > maxVerifications+others || len(pinged) < suspects {
		t.Errorf("%d pinged, up to %d in one tick", len(pinged), maxPings)
	}
}

// TestSuspectIsVerified asserts that whoever learns of a suspicion pings the suspect itself before it declares
// it dead, however large the cluster.
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
			t.Errorf("%s: dead %s after the suspicion", c.name, formatMilliseconds(h.diedAt-suspectedAt))
		}
	}
}

package membership

import (
	"fmt"
	"testing"
)

// TestReachableMemberIsNotDeclaredDead asserts that the local member never declares a suspect dead while it can
// reach the suspect, even if other members confirm the suspicion and the suspect never refutes it. It also asserts
// that the local member declares an unreachable suspect dead.
func TestReachableMemberIsNotDeclaredDead(t *testing.T) {
	for _, c := range pathsToB {
		h := newHarness(t)
		h.answerForB = c.path(h)
		h.run(3 * second)
		h.suspectB()
		suspectedAt := h.now
		h.run(suspectedAt + 20*second)
		if (h.diedAt > 0) != c.dead {
			t.Errorf("%s: got b declared dead %v (%s after the suspicion), want %v", c.name, h.diedAt > 0,
				formatMilliseconds(h.diedAt-suspectedAt), c.dead)
		}
		if c.dead {
			continue
		}
		h.answerForB = unreachable(h) // from now on b is unreachable; it has not refuted the suspicion
		silentSince := h.now
		h.run(silentSince + 15*second)
		if h.diedAt == 0 {
			t.Errorf("%s, then unreachable: b was not declared dead within 15 s", c.name)
		}
	}
}

// TestDeathOfLaterIncarnationIsAConfirmation asserts that an update that reports a member as dead, at a higher
// incarnation than in the table, counts only as confirmations of a suspicion. The local member does not declare the
// suspect dead while it can reach the suspect. An unreachable suspect is declared dead only after the local member's
// own suspicion timeout.
func TestDeathOfLaterIncarnationIsAConfirmation(t *testing.T) {
	for _, c := range pathsToB {
		h := newHarness(t)
		h.answerForB = c.path(h)
		h.run(3 * second)
		u := suspectUpdate("b", "c", "d", "e")
		u.Incarnation, u.State = 2, Dead
		h.receiveUpdates(u)
		receivedAt := h.now
		h.run(receivedAt + 20*second)
		if (h.diedAt > 0) != c.dead || h.diedAt > 0 && h.diedAt < receivedAt+3*second {
			t.Errorf("%s: got b declared dead %v (%s after the update), want %v, and not before 3 s", c.name, h.diedAt > 0,
				formatMilliseconds(h.diedAt-receivedAt), c.dead)
		}
	}
}

// TestStallRaisesNoSuspicion asserts that messages that did not arrive because the local process stalled do not count
// as silence of other members.
func TestStallRaisesNoSuspicion(t *testing.T) {
	const stall = 8 * second
	t.Run("the timeout of a suspicion starts again", func(t *testing.T) {
		h := newHarness(t)
		h.answerForB = unreachable(h)
		h.run(2 * second)
		h.suspectB()
		h.run(h.now + second)
		h.now += stall
		resumedAt := h.now
		h.run(resumedAt + 15*second)
		if after := h.diedAt - resumedAt; after < 3*second || after > 8*second {
			t.Errorf("b was declared dead %s after the stall (never if negative), want 3 to 8 s", formatMilliseconds(after))
		}
	})
	t.Run("no suspicion starts", func(t *testing.T) {
		h := newHarness(t)
		h.answerForB = unreachable(h)
		h.run(1500 * millisecond)
		h.now += stall
		h.run(h.now + 1900*millisecond)
		if h.eventCounts[Suspected] > 0 {
			t.Error("the local member suspected another member after its own stall")
		}
	})
}

// TestRefusedSuspicionTimeout asserts that a suspect is declared dead before MinSuspicionTimeout has passed if two
// members found that no process listens at its address. One such member is enough only if the cluster has no other
// member that could confirm the suspicion.
func TestRefusedSuspicionTimeout(t *testing.T) {
	for _, c := range []struct {
		name        string
		confirmedBy []string
		alone       bool  // a and b are the only members
		within      int64 // maximum time until the death in microseconds
	}{
		{"two refusals", []string{"c", "d"}, false, 500 * millisecond},
		{"one refusal", []string{"c"}, false, 7 * second},
		{"one refusal, nobody else left", nil, true, 3 * second},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			if c.alone {
				h = &harness{now: second, eventCounts: map[EventKind]int{}}
				h.Table = New(h.now, Config{Self: aliveUpdate("a"), Seed: 1})
				h.answerForB = unreachable(h)
				h.receive(&Message{Kind: Ack, Sender: aliveUpdate("b")})
			}
			h.answerForB = func(a Action) *Message {
				if probe, ok := a.(HandshakeProbe); ok && c.alone {
					h.perform(h.HandshakeProbeDone(h.now, probe.Name, 0, HandshakeRefused))
				}
				return nil
			}
			h.run(h.now + 100*millisecond)
			if !c.alone {
				h.receiveUpdates(refused(suspectUpdate("b", c.confirmedBy...)))
			}
			refusedAt := h.now
			h.run(refusedAt + 10*second)
			if after := h.diedAt - refusedAt; after <= 0 || after > c.within || c.within > 5*second && after < 3*second {
				t.Errorf("b was declared dead after %s (never if negative), want at most %s, and at least 3 s if the maximum exceeds 5 s",
					formatMilliseconds(after), formatMilliseconds(c.within))
			}
		})
	}
}

// TestSuspectIsProbedAgain asserts that a member that raised a suspicion probes the suspect again before it declares
// the suspect dead. In a large cluster, the suspect's next turn in the probe order would come too late.
func TestSuspectIsProbedAgain(t *testing.T) {
	h := newHarness(t)
	for i := range 100 {
		h.receiveUpdates(aliveUpdate(fmt.Sprint("m", i)))
	}
	h.answerForB = unreachable(h)
	for h.eventCounts[Suspected] == 0 {
		h.run(h.now + second)
	}
	h.answerForB = reachable(h)
	h.run(h.now + 30*second)
	if h.diedAt > 0 {
		t.Error("b was declared dead although it answers pings")
	}
}

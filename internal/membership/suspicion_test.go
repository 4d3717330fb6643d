package membership

import (
	"fmt"
	"testing"
)

// TestReachableMemberIsNotDeclaredDead asserts that whoever reaches a member never declares it dead, whatever
// others say and though it never refutes that; and that whoever does not reach it, does.
func TestReachableMemberIsNotDeclaredDead(t *testing.T) {
	for _, c := range pathsToB {
		h := newHarness(t)
		h.answerForB = c.path(h)
		h.run(3 * second)
		h.suspectB()
		suspectedAt := h.now
		h.run(suspectedAt + 20*second)
		if (h.diedAt > 0) != c.dead {
			t.Errorf("%s: dead %s after the suspicion", c.name, formatMilliseconds(h.diedAt-suspectedAt))
		}
		if c.dead {
			continue
		}
		h.answerForB = unreachable(h) // for good, while the suspicion was never refuted
		silentSince := h.now
		h.run(silentSince + 15*second)
		if h.diedAt == 0 {
			t.Errorf("%s, then unreachable: not dead 15 s after", c.name)
		}
	}
}

// TestDeathOfLaterIncarnationIsAConfirmation asserts that a death of a later incarnation only confirms a
// suspicion as well: whoever reaches the member does not follow it, and whoever does not declares it dead in
// its own time.
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
			t.Errorf("%s: dead %s after the update", c.name, formatMilliseconds(h.diedAt-receivedAt))
		}
	}
}

// TestStallRaisesNoSuspicion asserts that what was not received while the local process stalled is nobody's silence.
func TestStallRaisesNoSuspicion(t *testing.T) {
	const stall = 8 * second
	t.Run("a suspicion begins anew", func(t *testing.T) {
		h := newHarness(t)
		h.answerForB = unreachable(h)
		h.run(2 * second)
		h.suspectB()
		h.run(h.now + second)
		h.now += stall
		resumedAt := h.now
		h.run(resumedAt + 15*second)
		if after := h.diedAt - resumedAt; after < 3*second || after > 8*second {
			t.Errorf("dead %s after the stall", formatMilliseconds(after))
		}
	})
	t.Run("nobody is suspected for it", func(t *testing.T) {
		h := newHarness(t)
		h.answerForB = unreachable(h)
		h.run(1500 * millisecond)
		h.now += stall
		h.run(h.now + 1900*millisecond)
		if h.eventCounts[Suspected] > 0 {
			t.Error("suspected by a member that was stalled")
		}
	})
}

// TestRefusedSuspicionTimeout asserts that two refusals make a quick death and one does not, unless nobody
// else is left.
func TestRefusedSuspicionTimeout(t *testing.T) {
	for _, c := range []struct {
		name        string
		confirmedBy []string
		alone       bool // a and b are the only members
		within      int64
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
					h.perform(h.HandshakeProbed(h.now, probe.Name, 0, HandshakeRefused))
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
				t.Errorf("dead after %s", formatMilliseconds(after))
			}
		})
	}
}

// TestSuspectIsProbedAgain asserts that whoever suspects a member probes it again before it declares it dead,
// however large the cluster: its turn in the order of probes would come too late.
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
		t.Error("dead, though it answers")
	}
}

package membership

import (
	"fmt"
	"testing"
)

// TestForgetsTheLongestDead asserts that with more than maxDeadMembers dead and departed members, the table removes
// the one whose last proof of being alive is the oldest. A member that was declared dead recently may be alive on the
// other side of a partition, so it must stay in the table to be pinged.
func TestForgetsTheLongestDead(t *testing.T) {
	h := newHarness(t)
	h.answerForB = reachable(h)
	for _, state := range []State{Alive, Left} {
		for i := range maxDeadMembers {
			u := aliveUpdate(fmt.Sprintf("m%04d", i))
			u.State = state
			h.receiveUpdates(u)
		}
	}
	h.run(3 * second)
	h.answerForB = unreachable(h)
	h.suspectB()
	h.run(h.now + 20*second)
	if m := h.members["b"]; h.diedAt == 0 || m == nil || m.State != Dead {
		t.Errorf("b died at %s and its entry is %+v, want a death and an entry in state dead",
			formatMilliseconds(h.diedAt), m)
	}
	if dead := len(h.names) - h.liveCount; dead != maxDeadMembers {
		t.Errorf("got %d dead and departed members in the table, want %d", dead, maxDeadMembers)
	}
}

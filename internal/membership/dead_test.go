package membership

import (
	"fmt"
	"testing"
)

// TestForgetsTheLongestDead asserts that where more members are dead than are remembered, the one that was
// alive the longest time ago is forgotten, and not one that may only be partitioned off since a moment ago.
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
		t.Errorf("b died at %s and is remembered as %+v", formatMilliseconds(h.diedAt), m)
	}
	if dead := len(h.names) - h.liveCount; dead != maxDeadMembers {
		t.Errorf("expected %d dead and departed members to be remembered, got %d", maxDeadMembers, dead)
	}
}

package membership

import (
	"fmt"
	"testing"
)

// Where more are dead than are remembered, who has been silent longest is forgotten, and
// not one that may only be cut off since a moment ago.
func TestForgetsTheLongestDead(t *testing.T) {
	x := newHarness(t)
	x.answerForB = pathsToB["by itself"](x)
	for _, s := range []State{Alive, Left} {
		for i := range maxDeadMembers {
			r := aliveUpdate(fmt.Sprintf("m%04d", i))
			r.State = s
			x.receive(&Message{Kind: Ack, Sender: aliveUpdate("c"), Updates: []Update{r}})
		}
	}
	x.run(3 * second)
	x.answerForB = pathsToB["none"](x)
	x.suspectB()
	x.run(x.now + 20*second)
	if m := x.members["b"]; x.diedAt == 0 || m == nil || m.State != Dead {
		t.Errorf("b died at %s and is remembered as %+v", inMilliseconds(x.diedAt), m)
	}
	if n := len(x.names) - x.liveCount; n != maxDeadMembers {
		t.Errorf("%d dead and departed are remembered", n)
	}
}

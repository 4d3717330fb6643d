package membership

import (
	"fmt"
	"testing"
)

// Where more are dead than are remembered, who has been silent longest is forgotten, and
// not one that may only be cut off since a moment ago.
func TestForgetsTheLongestSilent(t *testing.T) {
	x := newAlone(t)
	x.b = ways["by itself"](x)
	for _, s := range []State{Alive, Left} {
		for i := range maxDeadMembers {
			r := peerOf(fmt.Sprintf("m%04d", i))
			r.State = s
			x.tell(&Message{Kind: Ack, Sender: peerOf("c"), Updates: []Update{r}})
		}
	}
	x.run(3 * second)
	x.b = ways["none"](x)
	x.accuse()
	x.run(x.now + 20*second)
	if m := x.members["b"]; x.died == 0 || m == nil || m.State != Dead {
		t.Errorf("b died at %s and is remembered as %+v", inMilliseconds(x.died), m)
	}
	if n := len(x.names) - x.liveCount; n != maxDeadMembers {
		t.Errorf("%d dead and departed are remembered", n)
	}
}

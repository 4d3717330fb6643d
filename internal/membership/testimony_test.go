package membership

import "testing"

// A death of a later incarnation is testimony as well: whoever reaches the member looks
// for itself, and whoever does not declares it dead in its own time.
func TestDeathOfLaterIncarnation(t *testing.T) {
	for name, way := range ways {
		x := newAlone(t)
		x.b = way(x)
		x.run(3 * second)
		r := peerOf("b")
		r.Incarnation, r.State = 2, Dead
		for _, w := range []string{"c", "d", "e"} {
			r.Confirmations = append(r.Confirmations, Confirmation{Name: w, Zone: "hall-a"})
		}
		x.tell(&Message{Kind: Ack, Sender: peerOf("c"), Updates: []Update{r}})
		at := x.now
		x.run(at + 20*second)
		if (x.died > 0) != (name == "none") || x.died > 0 && x.died < at+3*second {
			t.Errorf("reached %s: dead at %s after the testimony", name, inMilliseconds(x.died-at))
		}
	}
}

package membership

import "testing"

// A death of a later incarnation is testimony as well: whoever reaches the member looks
// for itself, and whoever does not declares it dead in its own time.
func TestDeathOfLaterIncarnationIsAConfirmation(t *testing.T) {
	for name, way := range pathsToB {
		x := newHarness(t)
		x.answerForB = way(x)
		x.run(3 * second)
		r := aliveUpdate("b")
		r.Incarnation, r.State = 2, Dead
		for _, w := range []string{"c", "d", "e"} {
			r.Confirmations = append(r.Confirmations, Confirmation{Name: w, Zone: "zone-a"})
		}
		x.receive(&Message{Kind: Ack, Sender: aliveUpdate("c"), Updates: []Update{r}})
		at := x.now
		x.run(at + 20*second)
		if (x.diedAt > 0) != (name == "none") || x.diedAt > 0 && x.diedAt < at+3*second {
			t.Errorf("reached %s: dead at %s after the testimony", name, inMilliseconds(x.diedAt-at))
		}
	}
}

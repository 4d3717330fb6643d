package membership

import (
	"fmt"
	"testing"
)

// suspectUpdate is what others say of a member that they do not reach.
func suspectUpdate(name string, refused bool) Update {
	r := aliveUpdate(name)
	r.State = Suspect
	for _, w := range []string{"c", "d", "e"} {
		r.Confirmations = append(r.Confirmations, Confirmation{Name: w, Zone: "zone-a", Refused: refused})
	}
	return r
}

// Where two were told that no process listens, nobody waits for an answer.
func TestRefusalsNeedNoVerification(t *testing.T) {
	x := newHarness(t)
	x.answerForB = pathsToB["none"](x)
	x.receive(&Message{Kind: Ack, Sender: aliveUpdate("c"), Updates: []Update{suspectUpdate("b", true)}})
	at := x.now
	x.run(at + second)
	if d := x.diedAt - at; x.diedAt == 0 || d > x.RefusedTimeout+tickInterval {
		t.Errorf("dead %s after the accusation", inMilliseconds(d))
	}
}

// Where many are accused at once, they are not all asked in one turn.
func TestVerificationsAreBounded(t *testing.T) {
	const accused = 200
	x := newHarness(t)
	x.answerForB = pathsToB["none"](x)
	for i := range accused {
		x.receive(&Message{Kind: Ack, Sender: aliveUpdate("c"), Updates: []Update{aliveUpdate(fmt.Sprint("m", i))}})
	}
	for i := range accused {
		x.receive(&Message{Kind: Ack, Sender: aliveUpdate("c"), Updates: []Update{suspectUpdate(fmt.Sprint("m", i), false)}})
	}
	asked, most := map[string]bool{}, 0
	for at := x.now; x.now < at+5*second; x.now += tickInterval {
		pings := 0
		for _, a := range x.Tick(x.now) {
			if s, ok := a.(Send); ok && s.Message.Kind == Ping {
				pings++
				asked[s.Message.To] = true
			}
		}
		most = max(most, pings)
	}
	const others = 2 // a probe's, and one of the dead
	if most > maxVerifications+others || len(asked) < accused {
		t.Errorf("%d asked, up to %d in one turn", len(asked), most)
	}
}

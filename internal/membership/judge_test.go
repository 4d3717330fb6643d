package membership

import (
	"fmt"
	"testing"
)

// harness is one table among b, c, d and e, of which all but b answer everything.
type harness struct {
	*Table
	now  int64
	diedAt int64 // when b was declared dead, 0 where it was not
	events map[EventKind]int
	answerForB    func(a Act) *Message // what b, or another on its behalf, answers
}

func aliveUpdate(name string) Update {
	return Update{Name: name, Zone: "zone-a", Addr: "127.0.0.1:7" + name, Life: uint64(name[0]), Incarnation: 1}
}

func newHarness(t *testing.T) *harness {
	x := &harness{now: second, events: map[EventKind]int{}}
	x.Table = New(x.now, Config{Self: aliveUpdate("a"), Peers: []Peer{{"b", aliveUpdate("b").Addr}}, Seed: 1})
	x.receive(&Message{Kind: Ack, Sender: aliveUpdate("c"), Updates: []Update{aliveUpdate("b"), aliveUpdate("d"), aliveUpdate("e")}})
	return x
}

func (x *harness) receive(m *Message) {
	m.To = "a"
	x.perform(x.Receive(x.now, m))
}

// perform answers what is sent.
func (x *harness) perform(acts []Act) {
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			if m := a.Message; m.Kind == Ping && m.To != "b" {
				x.receive(&Message{Kind: Ack, Sender: aliveUpdate(m.To), Sequence: m.Sequence})
				continue
			}
		}
		if m := x.answerForB(a); m != nil {
			x.receive(m)
		}
	}
}

func (x *harness) run(until int64) {
	for ; x.now < until; x.now += tickInterval {
		x.perform(x.Tick(x.now))
		for _, e := range x.Events() {
			if x.events[e.Kind]++; e.Kind == Died && x.diedAt == 0 {
				x.diedAt = x.now
			}
		}
	}
}

func (x *harness) suspectB() {
	r := aliveUpdate("b")
	r.State = Suspect
	for _, w := range []string{"c", "d", "e"} {
		r.Confirmations = append(r.Confirmations, Confirmation{Name: w, Zone: "zone-a"})
	}
	x.receive(&Message{Kind: Ack, Sender: aliveUpdate("c"), Updates: []Update{r}})
}

// pathsToB are how b may be reached from here.
var pathsToB = map[string]func(x *harness) func(a Act) *Message{
	"none": func(*harness) func(a Act) *Message { return func(Act) *Message { return nil } },
	"by itself": func(*harness) func(a Act) *Message {
		return func(a Act) *Message {
			if s, ok := a.(Send); ok && s.Message.Kind == Ping {
				return &Message{Kind: Ack, Sender: aliveUpdate("b"), Sequence: s.Message.Sequence}
			}
			return nil
		}
	},
	"by another": func(*harness) func(a Act) *Message {
		return func(a Act) *Message {
			if s, ok := a.(Send); ok && s.Message.Kind == PingRequest {
				return &Message{Kind: PingRequestResult, Sender: aliveUpdate(s.Message.To), Sequence: s.Message.Sequence, Target: "b", Reached: true}
			}
			return nil
		}
	},
	"by a handshake": func(x *harness) func(a Act) *Message {
		return func(a Act) *Message {
			if k, ok := a.(HandshakeProbe); ok {
				x.perform(x.HandshakeProbed(x.now, k.Name, aliveUpdate("b").Life, Answered))
			}
			return nil
		}
	},
}

// Whoever reaches a member never holds it for dead, whatever others say and though it
// never refutes that; and whoever does not, does.
func TestReachableMemberIsNotDeclaredDead(t *testing.T) {
	for name, way := range pathsToB {
		x := newHarness(t)
		x.answerForB = way(x)
		x.run(3 * second)
		x.suspectB()
		at := x.now
		x.run(at + 20*second)
		if (x.diedAt > 0) != (name == "none") {
			t.Errorf("reached %s: dead at %s after the accusation", name, inMilliseconds(x.diedAt-at))
		}
		if name == "none" {
			continue
		}
		x.answerForB = pathsToB["none"](x) // it falls silent for good, and was never cleared
		at = x.now
		if x.run(at + 15*second); x.diedAt == 0 {
			t.Errorf("reached %s before, then never: not dead 15 s after", name)
		}
	}
}

// What was not heard while this one stood still is nobody's silence.
func TestStallIsNoSilence(t *testing.T) {
	x := newHarness(t)
	x.answerForB = pathsToB["none"](x)
	x.run(2 * second)
	x.suspectB()
	x.run(x.now + second)
	x.now += 8 * second // it stands still
	woke := x.now
	x.run(woke + 15*second)
	if d := x.diedAt - woke; d < 3*second || d > 8*second {
		t.Errorf("dead %s after it woke", inMilliseconds(d))
	}
	// One that nobody accused is not accused by whoever just woke.
	x = newHarness(t)
	x.answerForB = pathsToB["none"](x)
	x.run(1500_000)
	x.now += 8 * second
	x.run(x.now + 1900_000)
	if x.events[Suspected] > 0 {
		t.Error("accused by one that was not there")
	}
}

// Two refusals are a quick death, one is not; where nobody else is left, it is.
func TestRefusedSuspicionTimeout(t *testing.T) {
	for _, c := range []struct {
		witnesses int
		alone     bool
		within    int64
	}{{2, false, 500_000}, {1, false, 7 * second}, {1, true, 3 * second}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			x := newHarness(t)
			if c.alone {
				x = &harness{now: second, events: map[EventKind]int{}}
				x.Table = New(x.now, Config{Self: aliveUpdate("a"), Seed: 1})
				x.answerForB = pathsToB["none"](x)
				x.receive(&Message{Kind: Ack, Sender: aliveUpdate("b")})
			}
			x.answerForB = func(a Act) *Message {
				if k, ok := a.(HandshakeProbe); ok && c.alone {
					x.perform(x.HandshakeProbed(x.now, k.Name, 0, Refused))
				}
				return nil
			}
			x.run(x.now + 100_000)
			if !c.alone {
				r := aliveUpdate("b")
				r.State = Suspect
				for _, w := range []string{"c", "d"}[:c.witnesses] {
					r.Confirmations = append(r.Confirmations, Confirmation{Name: w, Zone: "zone-a", Refused: true})
				}
				x.receive(&Message{Kind: Ack, Sender: aliveUpdate("c"), Updates: []Update{r}})
			}
			at := x.now
			x.run(at + 10*second)
			if d := x.diedAt - at; d <= 0 || d > c.within || c.within > 5*second && d < 3*second {
				t.Errorf("dead after %s", inMilliseconds(d))
			}
		})
	}
}

// Who accuses looks again before it judges, however large the fleet: a look at each in
// turn would come too late.
func TestSuspectIsProbedAgain(t *testing.T) {
	x := newHarness(t)
	for i := range 100 {
		x.receive(&Message{Kind: Ack, Sender: aliveUpdate("c"), Updates: []Update{aliveUpdate(fmt.Sprint("m", i))}})
	}
	x.answerForB = pathsToB["none"](x)
	for x.events[Suspected] == 0 {
		x.run(x.now + second)
	}
	x.answerForB = pathsToB["by itself"](x)
	if x.run(x.now + 30*second); x.diedAt > 0 {
		t.Error("dead, though it answers")
	}
}

// Whoever is told of an accusation asks the accused itself before it judges, however large
// the fleet, and whether it accuses it too or not.
func TestSuspectIsVerified(t *testing.T) {
	for name, way := range map[string]func(x *harness) func(a Act) *Message{"by itself": pathsToB["by itself"], "none": pathsToB["none"]} {
		x := newHarness(t)
		x.answerForB = way(x)
		for i := range 1000 {
			x.receive(&Message{Kind: Ack, Sender: aliveUpdate("c"), Updates: []Update{aliveUpdate(fmt.Sprint("m", i))}})
		}
		x.run(x.now + second)
		x.suspectB()
		at := x.now
		x.run(at + 10*second)
		if (x.diedAt > 0) != (name == "none") || x.diedAt > at+4*second {
			t.Errorf("reached %s: dead at %s after the accusation", name, inMilliseconds(x.diedAt-at))
		}
	}
}

// A peer that makes names up fills no memory.
func TestMembersAreBounded(t *testing.T) {
	x := newHarness(t)
	for i := range maxMembers + 100 {
		x.receive(&Message{Kind: Ack, Sender: aliveUpdate("c"), Updates: []Update{aliveUpdate(fmt.Sprint("m", i))}})
	}
	if n := len(x.members); n != maxMembers || n != len(x.names) || x.Size() != n+1 {
		t.Errorf("%d names, %d of them sorted, %d there", n, len(x.names), x.Size())
	}
}

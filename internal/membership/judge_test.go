package membership

import (
	"fmt"
	"testing"
)

// alone is one table among b, c, d and e, of which all but b answer everything.
type alone struct {
	*Table
	now  int64
	died int64 // when b was declared dead, 0 where it was not
	said map[EventKind]int
	b    func(a Act) *Message // what b, or another on its behalf, answers
}

func peerOf(name string) Update {
	return Update{Name: name, Zone: "hall-a", Addr: "127.0.0.1:7" + name, Life: uint64(name[0]), Incarnation: 1}
}

func newAlone(t *testing.T) *alone {
	x := &alone{now: second, said: map[EventKind]int{}}
	x.Table = New(x.now, Config{Self: peerOf("a"), Peers: []Peer{{"b", peerOf("b").Addr}}, Seed: 1})
	x.tell(&Message{Kind: Ack, Sender: peerOf("c"), Updates: []Update{peerOf("b"), peerOf("d"), peerOf("e")}})
	return x
}

func (x *alone) tell(m *Message) {
	m.To = "a"
	x.do(x.Receive(x.now, m))
}

// do answers what is sent.
func (x *alone) do(acts []Act) {
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			if m := a.Message; m.Kind == Ping && m.To != "b" {
				x.tell(&Message{Kind: Ack, Sender: peerOf(m.To), Sequence: m.Sequence})
				continue
			}
		}
		if m := x.b(a); m != nil {
			x.tell(m)
		}
	}
}

func (x *alone) run(until int64) {
	for ; x.now < until; x.now += tickInterval {
		x.do(x.Tick(x.now))
		for _, e := range x.Events() {
			if x.said[e.Kind]++; e.Kind == Died && x.died == 0 {
				x.died = x.now
			}
		}
	}
}

func (x *alone) accuse() {
	r := peerOf("b")
	r.State = Suspect
	for _, w := range []string{"c", "d", "e"} {
		r.Confirmations = append(r.Confirmations, Confirmation{Name: w, Zone: "hall-a"})
	}
	x.tell(&Message{Kind: Ack, Sender: peerOf("c"), Updates: []Update{r}})
}

// ways are how b may be reached from here.
var ways = map[string]func(x *alone) func(a Act) *Message{
	"none": func(*alone) func(a Act) *Message { return func(Act) *Message { return nil } },
	"by itself": func(*alone) func(a Act) *Message {
		return func(a Act) *Message {
			if s, ok := a.(Send); ok && s.Message.Kind == Ping {
				return &Message{Kind: Ack, Sender: peerOf("b"), Sequence: s.Message.Sequence}
			}
			return nil
		}
	},
	"by another": func(*alone) func(a Act) *Message {
		return func(a Act) *Message {
			if s, ok := a.(Send); ok && s.Message.Kind == PingRequest {
				return &Message{Kind: PingRequestResult, Sender: peerOf(s.Message.To), Sequence: s.Message.Sequence, Target: "b", Reached: true}
			}
			return nil
		}
	},
	"by a handshake": func(x *alone) func(a Act) *Message {
		return func(a Act) *Message {
			if k, ok := a.(HandshakeProbe); ok {
				x.do(x.HandshakeProbed(x.now, k.Name, peerOf("b").Life, Answered))
			}
			return nil
		}
	},
}

// Whoever reaches a member never holds it for dead, whatever others say and though it
// never refutes that; and whoever does not, does.
func TestJudge(t *testing.T) {
	for name, way := range ways {
		x := newAlone(t)
		x.b = way(x)
		x.run(3 * second)
		x.accuse()
		at := x.now
		x.run(at + 20*second)
		if (x.died > 0) != (name == "none") {
			t.Errorf("reached %s: dead at %s after the accusation", name, inMilliseconds(x.died-at))
		}
		if name == "none" {
			continue
		}
		x.b = ways["none"](x) // it falls silent for good, and was never cleared
		at = x.now
		if x.run(at + 15*second); x.died == 0 {
			t.Errorf("reached %s before, then never: not dead 15 s after", name)
		}
	}
}

// What was not heard while this one stood still is nobody's silence.
func TestHeldUp(t *testing.T) {
	x := newAlone(t)
	x.b = ways["none"](x)
	x.run(2 * second)
	x.accuse()
	x.run(x.now + second)
	x.now += 8 * second // it stands still
	woke := x.now
	x.run(woke + 15*second)
	if d := x.died - woke; d < 3*second || d > 8*second {
		t.Errorf("dead %s after it woke", inMilliseconds(d))
	}
	// One that nobody accused is not accused by whoever just woke.
	x = newAlone(t)
	x.b = ways["none"](x)
	x.run(1500_000)
	x.now += 8 * second
	x.run(x.now + 1900_000)
	if x.said[Suspected] > 0 {
		t.Error("accused by one that was not there")
	}
}

// Two refusals are a quick death, one is not; where nobody else is left, it is.
func TestRefused(t *testing.T) {
	for _, c := range []struct {
		witnesses int
		alone     bool
		within    int64
	}{{2, false, 500_000}, {1, false, 7 * second}, {1, true, 3 * second}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			x := newAlone(t)
			if c.alone {
				x = &alone{now: second, said: map[EventKind]int{}}
				x.Table = New(x.now, Config{Self: peerOf("a"), Seed: 1})
				x.b = ways["none"](x)
				x.tell(&Message{Kind: Ack, Sender: peerOf("b")})
			}
			x.b = func(a Act) *Message {
				if k, ok := a.(HandshakeProbe); ok && c.alone {
					x.do(x.HandshakeProbed(x.now, k.Name, 0, Refused))
				}
				return nil
			}
			x.run(x.now + 100_000)
			if !c.alone {
				r := peerOf("b")
				r.State = Suspect
				for _, w := range []string{"c", "d"}[:c.witnesses] {
					r.Confirmations = append(r.Confirmations, Confirmation{Name: w, Zone: "hall-a", Refused: true})
				}
				x.tell(&Message{Kind: Ack, Sender: peerOf("c"), Updates: []Update{r}})
			}
			at := x.now
			x.run(at + 10*second)
			if d := x.died - at; d <= 0 || d > c.within || c.within > 5*second && d < 3*second {
				t.Errorf("dead after %s", inMilliseconds(d))
			}
		})
	}
}

// Who accuses looks again before it judges, however large the fleet: a look at each in
// turn would come too late.
func TestLooksAgain(t *testing.T) {
	x := newAlone(t)
	for i := range 100 {
		x.tell(&Message{Kind: Ack, Sender: peerOf("c"), Updates: []Update{peerOf(fmt.Sprint("m", i))}})
	}
	x.b = ways["none"](x)
	for x.said[Suspected] == 0 {
		x.run(x.now + second)
	}
	x.b = ways["by itself"](x)
	if x.run(x.now + 30*second); x.died > 0 {
		t.Error("dead, though it answers")
	}
}

// Whoever is told of an accusation asks the accused itself before it judges, however large
// the fleet, and whether it accuses it too or not.
func TestChecksBeforeJudging(t *testing.T) {
	for name, way := range map[string]func(x *alone) func(a Act) *Message{"by itself": ways["by itself"], "none": ways["none"]} {
		x := newAlone(t)
		x.b = way(x)
		for i := range 1000 {
			x.tell(&Message{Kind: Ack, Sender: peerOf("c"), Updates: []Update{peerOf(fmt.Sprint("m", i))}})
		}
		x.run(x.now + second)
		x.accuse()
		at := x.now
		x.run(at + 10*second)
		if (x.died > 0) != (name == "none") || x.died > at+4*second {
			t.Errorf("reached %s: dead at %s after the accusation", name, inMilliseconds(x.died-at))
		}
	}
}

// A peer that makes names up fills no memory.
func TestNamesMadeUp(t *testing.T) {
	x := newAlone(t)
	for i := range maxMembers + 100 {
		x.tell(&Message{Kind: Ack, Sender: peerOf("c"), Updates: []Update{peerOf(fmt.Sprint("m", i))}})
	}
	if n := len(x.members); n != maxMembers || n != len(x.names) || x.Size() != n+1 {
		t.Errorf("%d names, %d of them sorted, %d there", n, len(x.names), x.Size())
	}
}

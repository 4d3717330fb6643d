package membership

// This file defines the harness for tests of a single table. The local member has the name "a"; the others are "b",
// "c", "d" and "e".

import "testing"

// harness holds the table of member a and simulates the other members. They answer every ping, except b, whose answers
// the test defines. The times in the harness are in microseconds.
type harness struct {
	*Table
	now         int64
	diedAt      int64 // time of the first death that the table declared, 0 before that
	eventCounts map[EventKind]int
	// answerForB returns the answer to an action, from b or from a relay that was asked to ping b. It returns nil if
	// there is no answer.
	answerForB func(a Action) *Message
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{now: second, eventCounts: map[EventKind]int{}}
	h.Table = New(h.now, Config{Self: aliveUpdate("a"), Peers: []Peer{{"b", aliveUpdate("b").Addr}}, Seed: 1})
	h.receiveUpdates(aliveUpdate("b"), aliveUpdate("d"), aliveUpdate("e"))
	if h.Size() != 5 {
		t.Fatalf("got %d members, want 5", h.Size())
	}
	return h
}

// aliveUpdate returns the update that an alive member sends about itself.
func aliveUpdate(name string) Update {
	return Update{Name: name, Zone: "zone-a", Addr: "127.0.0.1:7" + name, Nonce: uint64(name[0]), Incarnation: 1}
}

// suspectUpdate returns an update that reports a member as suspected, with confirmations from the given members.
func suspectUpdate(name string, confirmedBy ...string) Update {
	u := aliveUpdate(name)
	u.State = Suspect
	for _, by := range confirmedBy {
		u.Confirmations = append(u.Confirmations, Confirmation{Name: by, Zone: "zone-a"})
	}
	return u
}

// refused marks all confirmations of an update as refused and returns the update.
func refused(u Update) Update {
	for i := range u.Confirmations {
		u.Confirmations[i].Refused = true
	}
	return u
}

// receive passes a message to the table and performs the resulting actions.
func (h *harness) receive(m *Message) {
	m.To = "a"
	h.perform(h.Receive(h.now, m))
}

// receiveUpdates passes updates to the table in a message from c.
func (h *harness) receiveUpdates(updates ...Update) {
	h.receive(&Message{Kind: Ack, Sender: aliveUpdate("c"), Updates: updates})
}

// suspectB passes the table a suspicion of b with confirmations from c, d and e.
func (h *harness) suspectB() { h.receiveUpdates(suspectUpdate("b", "c", "d", "e")) }

// perform simulates how the other members answer the table's actions, and passes their answers to the table.
func (h *harness) perform(actions []Action) {
	for _, action := range actions {
		if send, ok := action.(Send); ok && send.Message.Kind == Ping && send.Message.To != "b" {
			h.receive(&Message{Kind: Ack, Sender: aliveUpdate(send.Message.To), Sequence: send.Message.Sequence})
			continue
		}
		if answer := h.answerForB(action); answer != nil {
			h.receive(answer)
		}
	}
}

// run advances the time up to the given end in steps of tickInterval, and calls Tick at each step.
func (h *harness) run(until int64) {
	for ; h.now < until; h.now += tickInterval {
		h.perform(h.Tick(h.now))
		for _, e := range h.Events() {
			h.eventCounts[e.Kind]++
			if e.Kind == Died && h.diedAt == 0 {
				h.diedAt = h.now
			}
		}
	}
}

// pathToB simulates whether and how member a can reach member b. It returns the function for harness.answerForB.
type pathToB func(h *harness) func(a Action) *Message

// unreachable simulates that no member can reach b.
func unreachable(*harness) func(a Action) *Message { return func(Action) *Message { return nil } }

// reachable simulates that b answers the pings of member a.
func reachable(*harness) func(a Action) *Message {
	return func(a Action) *Message {
		if send, ok := a.(Send); ok && send.Message.Kind == Ping {
			return &Message{Kind: Ack, Sender: aliveUpdate("b"), Sequence: send.Message.Sequence}
		}
		return nil
	}
}

// reachableByRelay simulates that relays can reach b, but member a cannot.
func reachableByRelay(*harness) func(a Action) *Message {
	return func(a Action) *Message {
		if send, ok := a.(Send); ok && send.Message.Kind == PingRequest {
			return &Message{
				Kind:     PingRequestResult,
				Sender:   aliveUpdate(send.Message.To),
				Sequence: send.Message.Sequence,
				Target:   "b",
				Reached:  true,
			}
		}
		return nil
	}
}

// reachableByHandshake simulates that b answers only the handshake probes of member a.
func reachableByHandshake(h *harness) func(a Action) *Message {
	return func(a Action) *Message {
		if probe, ok := a.(HandshakeProbe); ok {
			h.perform(h.HandshakeProbeDone(h.now, probe.Name, aliveUpdate("b").Nonce, HandshakeAnswered))
		}
		return nil
	}
}

// pathsToB lists all paths to b.
var pathsToB = []struct {
	name string
	path pathToB
	dead bool // whether member a must declare b dead after a suspicion
}{
	{"unreachable", unreachable, true},
	{"reachable", reachable, false},
	{"reachable by a relay", reachableByRelay, false},
	{"reachable by a handshake", reachableByHandshake, false},
}

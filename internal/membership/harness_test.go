package membership

// This file owns the harness of the tests that look at one table: the local member a, among b, c, d and e.

import "testing"

// harness is the table of a. All others answer every ping, but b answers as the test says.
type harness struct {
	*Table
	now         int64
	diedAt      int64 // when b was declared dead, 0 while it was not
	eventCounts map[EventKind]int
	answerForB  func(a Action) *Message // what b, or a relay on its behalf, answers; nil for nothing
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{now: second, eventCounts: map[EventKind]int{}}
	h.Table = New(h.now, Config{Self: aliveUpdate("a"), Peers: []Peer{{"b", aliveUpdate("b").Addr}}, Seed: 1})
	h.receiveUpdates(aliveUpdate("b"), aliveUpdate("d"), aliveUpdate("e"))
	if h.Size() != 5 {
		t.Fatalf("expected 5 members, got %d", h.Size())
	}
	return h
}

// aliveUpdate is what a member says of itself.
func aliveUpdate(name string) Update {
	return Update{Name: name, Zone: "zone-a", Addr: "127.0.0.1:7" + name, Nonce: uint64(name[0]), Incarnation: 1}
}

// suspectUpdate is what others say of a member that they do not reach.
func suspectUpdate(name string, confirmedBy ...string) Update {
	u := aliveUpdate(name)
	u.State = Suspect
	for _, by := range confirmedBy {
		u.Confirmations = append(u.Confirmations, Confirmation{Name: by, Zone: "zone-a"})
	}
	return u
}

// refused is a suspicion whose confirmations all say that no process listens.
func refused(u Update) Update {
	for i := range u.Confirmations {
		u.Confirmations[i].Refused = true
	}
	return u
}

// receive hands a message to the table.
func (h *harness) receive(m *Message) {
	m.To = "a"
	h.perform(h.Receive(h.now, m))
}

// receiveUpdates hands updates to the table, as c sends them.
func (h *harness) receiveUpdates(updates ...Update) {
	h.receive(&Message{Kind: Ack, Sender: aliveUpdate("c"), Updates: updates})
}

// suspectB has c, d and e suspect b.
func (h *harness) suspectB() { h.receiveUpdates(suspectUpdate("b", "c", "d", "e")) }

// perform answers what the table sends.
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

// run lets time pass until a time.
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

// pathToB is how b may be reached from a: it sets what answers on behalf of b.
type pathToB func(h *harness) func(a Action) *Message

// unreachable is a b that nobody reaches.
func unreachable(*harness) func(a Action) *Message { return func(Action) *Message { return nil } }

// reachable is a b that answers pings.
func reachable(*harness) func(a Action) *Message {
	return func(a Action) *Message {
		if send, ok := a.(Send); ok && send.Message.Kind == Ping {
			return &Message{Kind: Ack, Sender: aliveUpdate("b"), Sequence: send.Message.Sequence}
		}
		return nil
	}
}

// reachableByRelay is a b that only relays reach.
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

// reachableByHandshake is a b that answers handshake probes only.
func reachableByHandshake(h *harness) func(a Action) *Message {
	return func(a Action) *Message {
		if probe, ok := a.(HandshakeProbe); ok {
			h.perform(h.HandshakeProbed(h.now, probe.Name, aliveUpdate("b").Nonce, HandshakeAnswered))
		}
		return nil
	}
}

// pathsToB are all of them.
var pathsToB = []struct {
	name string
	path pathToB
	dead bool // a b that is suspected is declared dead
}{
	{"unreachable", unreachable, true},
	{"reachable", reachable, false},
	{"reachable by a relay", reachableByRelay, false},
	{"reachable by a handshake", reachableByHandshake, false},
}

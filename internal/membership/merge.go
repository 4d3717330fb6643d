package membership

// This file owns how what others say becomes what is believed here. A higher incarnation
// outweighs a lower one; of the same, the state that is worse does. The exception is a
// death: each instance judges for itself, on the testimony of all.

import (
	"fmt"
	"slices"
)

// Receive takes a message.
func (t *Table) Receive(now int64, m *Message) []Act {
	t.now = now
	if m.To != t.Self.Name || m.Sender.Name == t.Self.Name {
		if m.Sender.Name == t.Self.Name && m.Sender.Life != t.Self.Life && t.conflictAt == 0 && !t.joining && m.Kind == Ping {
			// Another process that would have this name is told who holds it.
			t.actions = append(t.actions, Send{Addr: m.Sender.Addr, Message: Message{Kind: Ack, To: m.Sender.Name, Sender: t.Self, Sequence: m.Sequence,
				Updates: []Update{t.Self}}})
		}
		if m.To == t.Self.Name && m.Sender.Life != t.Self.Life {
			t.updateSelf(m.Sender)
		}
		return t.takeActions()
	}
	for _, r := range m.Updates {
		t.applyUpdate(r)
	}
	if !m.Joining {
		t.applyUpdate(m.Sender)
	}
	from := t.members[m.Sender.Name]
	if from != nil && from.Life == m.Sender.Life && from.State <= Suspect {
		from.lastAliveAt, from.lastDatagramAt = now, now
		t.heardFrom(from)
	}
	switch m.Kind {
	case Ping:
		t.receivePing(m, from)
	case Ack:
		if t.joining && !m.Joining && t.conflictAt == 0 {
			t.completeJoin()
		}
		t.receiveAck(m, from)
	case PingRequest:
		t.receivePingRequest(m)
	case PingRequestResult:
		t.receivePingRequestResult(m)
	}
	return t.takeActions()
}

// completeJoin ends the start: nobody holds the name.
func (t *Table) completeJoin() {
	t.joining = false
	t.report(Joined, t.Self.Name, t.Self.Zone, fmt.Sprintf("incarnation %d", t.Self.Incarnation))
}

// updateSelf takes what is said of this instance's own name.
func (t *Table) updateSelf(r Update) {
	own := r.Life == t.Self.Life
	switch {
	case own && (r.State == Alive || r.Incarnation < t.Self.Incarnation):
	case own:
		if t.leaving && r.State == Left {
			return
		}
		t.setIncarnation(r.Incarnation + 1)
	case r.State >= Dead || r.Addr == t.Self.Addr:
		// The one before is gone: it is known to be, or this process holds its address.
		t.setIncarnation(max(t.Self.Incarnation, r.Incarnation+1))
		t.conflictAt = 0
	case t.joining || r.Incarnation > t.Self.Incarnation || r.Incarnation == t.Self.Incarnation && r.Life > t.Self.Life:
		if t.conflictAt == 0 {
			t.report(NameConflict, r.Name, r.Zone, fmt.Sprintf("%s is held by the process at %s since its incarnation %d", r.Name, r.Addr, r.Incarnation))
		}
		t.conflictAt = t.now
	}
}

func (t *Table) setIncarnation(incarnation uint64) {
	if incarnation == t.Self.Incarnation {
		return
	}
	t.toggleDigest(&t.Self)
	t.Self.Incarnation = incarnation
	t.toggleDigest(&t.Self)
	t.membersChanged()
}

// applyUpdate takes what is said of any instance.
func (t *Table) applyUpdate(r Update) {
	if r.Name == t.Self.Name {
		t.updateSelf(r)
		return
	}
	m := t.members[r.Name]
	if m == nil {
		if len(t.names) >= maxMembers || r.State >= Dead && len(t.names) > maxDeadMembers {
			return
		}
		m = &member{Update: Update{State: Dead}, lastAliveAt: t.now}
		t.members[r.Name] = m
		i, _ := slices.BinarySearch(t.names, r.Name)
		t.names = slices.Insert(t.names, i, r.Name)
		t.setUpdate(m, r)
		if r.State <= Suspect {
			t.report(Joined, r.Name, r.Zone, fmt.Sprintf("incarnation %d", r.Incarnation))
			t.disseminate(r.Name)
			t.membersChanged()
		}
		return
	}
	switch {
	case r.Incarnation < m.Incarnation, r.Incarnation == m.Incarnation && r.Life < m.Life:
		return
	case r.Incarnation > m.Incarnation || r.Life != m.Life:
		t.supersede(m, r)
	case r.State == Suspect && m.State == Suspect:
		t.confirm(m, r.Confirmations)
	case r.State <= m.State:
	case r.State == Suspect:
		t.suspect(m, r.Confirmations)
	case r.State == Dead:
		// The judgement of others counts as their testimony: judge decides here too. The
		// accused hears of it with the next message to it, and refutes it if it lives.
		t.suspect(m, r.Confirmations)
	default:
		t.remove(m, r.State, r.Confirmations)
	}
}

// supersede takes the word of a later incarnation. A death of it is testimony, as one of the
// same incarnation is: judge decides here too.
func (t *Table) supersede(m *member, r Update) {
	back, was := r.Life != m.Life, m.State
	if r.State == Dead && was <= Suspect {
		r.State = Suspect
	}
	t.setUpdate(m, r)
	if back {
		m.outbound, m.inbound, m.lastPingSequence, m.rtt = pathDirection{}, pathDirection{}, 0, 0
	}
	switch {
	case r.State >= Dead:
		t.report(removalEvent(r.State), r.Name, r.Zone, "")
	case back:
		t.report(Rejoined, r.Name, r.Zone, fmt.Sprintf("as incarnation %d", r.Incarnation))
	case was >= Dead:
		t.report(Rejoined, r.Name, r.Zone, "it was never away, or is reached again")
	case was == Suspect && r.State == Alive:
		t.report(Refuted, r.Name, r.Zone, "")
	case r.State == Suspect && was == Alive:
		t.report(Suspected, r.Name, r.Zone, t.evidence(m))
	}
	t.disseminate(r.Name)
	t.membersChanged()
}

// remove takes a member out.
func (t *Table) remove(m *member, s State, by []Confirmation) {
	t.addConfirmations(m, by)
	t.report(removalEvent(s), m.Name, m.Zone, t.evidence(m))
	r := m.Update
	r.State = s
	t.setUpdate(m, r)
	t.disseminate(m.Name)
	t.membersChanged()
}

// addConfirmations adds witnesses that are not known yet; it reports whether there were any.
func (t *Table) addConfirmations(m *member, by []Confirmation) (more bool) {
	for _, w := range by {
		i := slices.IndexFunc(m.Confirmations, func(o Confirmation) bool { return o.Name == w.Name })
		switch {
		case i < 0 && len(m.Confirmations) < 2*MaxConfirmations:
			m.Confirmations = append(slices.Clone(m.Confirmations), w)
			more = true
		case i >= 0 && w.Refused && !m.Confirmations[i].Refused:
			m.Confirmations = slices.Clone(m.Confirmations)
			m.Confirmations[i].Refused = true
			more = true
		}
	}
	if more { // who was refused stands first: only so many are told
		slices.SortStableFunc(m.Confirmations, func(a, b Confirmation) int { return boolToInt(b.Refused) - boolToInt(a.Refused) })
	}
	return more
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

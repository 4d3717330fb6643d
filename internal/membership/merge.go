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
	if m.To != t.Self.Name || m.Self.Name == t.Self.Name {
		if m.Self.Name == t.Self.Name && m.Self.Life != t.Self.Life && t.barred == 0 && !t.joining && m.Kind == Ping {
			// Another process that would have this name is told who holds it.
			t.acts = append(t.acts, Send{Addr: m.Self.Addr, Message: Message{Kind: Ack, To: m.Self.Name, Self: t.Self, Seq: m.Seq,
				Rumours: []Update{t.Self}}})
		}
		if m.To == t.Self.Name && m.Self.Life != t.Self.Life {
			t.aboutSelf(m.Self)
		}
		return t.take()
	}
	for _, r := range m.Rumours {
		t.hear(r)
	}
	if !m.Joining {
		t.hear(m.Self)
	}
	from := t.members[m.Self.Name]
	if from != nil && from.Life == m.Self.Life && from.State <= Suspect {
		from.contact, from.heard = now, now
		t.heardFrom(from)
	}
	switch m.Kind {
	case Ping:
		t.pinged(m, from)
	case Ack:
		if t.joining && !m.Joining && t.barred == 0 {
			t.join()
		}
		t.acked(m, from)
	case Ask:
		t.askedFor(m)
	case Told:
		t.wasTold(m)
	}
	return t.take()
}

// join ends the start: nobody holds the name.
func (t *Table) join() {
	t.joining = false
	t.say(Joined, t.Self.Name, t.Self.Zone, fmt.Sprintf("incarnation %d", t.Self.Incarnation))
}

// aboutSelf takes what is said of this instance's own name.
func (t *Table) aboutSelf(r Update) {
	own := r.Life == t.Self.Life
	switch {
	case own && (r.State == Alive || r.Incarnation < t.Self.Incarnation):
	case own:
		if t.leaving && r.State == Left {
			return
		}
		t.raise(r.Incarnation + 1)
	case r.State >= Dead || r.Addr == t.Self.Addr:
		// The one before is gone: it is known to be, or this process holds its address.
		t.raise(max(t.Self.Incarnation, r.Incarnation+1))
		t.barred = 0
	case t.joining || r.Incarnation > t.Self.Incarnation || r.Incarnation == t.Self.Incarnation && r.Life > t.Self.Life:
		if t.barred == 0 {
			t.say(Barred, r.Name, r.Zone, fmt.Sprintf("%s is held by the process at %s since its incarnation %d", r.Name, r.Addr, r.Incarnation))
		}
		t.barred = t.now
	}
}

func (t *Table) raise(incarnation uint64) {
	if incarnation == t.Self.Incarnation {
		return
	}
	t.shelve(&t.Self)
	t.Self.Incarnation = incarnation
	t.shelve(&t.Self)
	t.touched()
}

// hear takes what is said of any instance.
func (t *Table) hear(r Update) {
	if r.Name == t.Self.Name {
		t.aboutSelf(r)
		return
	}
	m := t.members[r.Name]
	if m == nil {
		if len(t.names) >= membersMost || r.State >= Dead && len(t.names) > deadMost {
			return
		}
		m = &member{Update: Update{State: Dead}, contact: t.now}
		t.members[r.Name] = m
		i, _ := slices.BinarySearch(t.names, r.Name)
		t.names = slices.Insert(t.names, i, r.Name)
		t.become(m, r)
		if r.State <= Suspect {
			t.say(Joined, r.Name, r.Zone, fmt.Sprintf("incarnation %d", r.Incarnation))
			t.news(r.Name)
			t.touched()
		}
		return
	}
	switch {
	case r.Incarnation < m.Incarnation, r.Incarnation == m.Incarnation && r.Life < m.Life:
		return
	case r.Incarnation > m.Incarnation || r.Life != m.Life:
		t.renew(m, r)
	case r.State == Suspect && m.State == Suspect:
		t.witnesses(m, r.Witnesses)
	case r.State <= m.State:
	case r.State == Suspect:
		t.suspect(m, r.Witnesses)
	case r.State == Dead:
		// The judgement of others counts as their testimony: judge decides here too. The
		// accused hears of it with the next message to it, and refutes it if it lives.
		t.suspect(m, r.Witnesses)
	default:
		t.end(m, r.State, r.Witnesses)
	}
}

// renew takes the word of a later incarnation. A death of it is testimony, as one of the
// same incarnation is: judge decides here too.
func (t *Table) renew(m *member, r Update) {
	back, was := r.Life != m.Life, m.State
	if r.State == Dead && was <= Suspect {
		r.State = Suspect
	}
	t.become(m, r)
	if back {
		m.out, m.in, m.ping, m.rtt = way{}, way{}, 0, 0
	}
	switch {
	case r.State >= Dead:
		t.say(endKind(r.State), r.Name, r.Zone, "")
	case back:
		t.say(Back, r.Name, r.Zone, fmt.Sprintf("as incarnation %d", r.Incarnation))
	case was >= Dead:
		t.say(Back, r.Name, r.Zone, "it was never away, or is reached again")
	case was == Suspect && r.State == Alive:
		t.say(Refuted, r.Name, r.Zone, "")
	case r.State == Suspect && was == Alive:
		t.say(Suspected, r.Name, r.Zone, t.evidence(m))
	}
	t.news(r.Name)
	t.touched()
}

// end takes a member out.
func (t *Table) end(m *member, s State, by []Witness) {
	t.merge(m, by)
	t.say(endKind(s), m.Name, m.Zone, t.evidence(m))
	r := m.Update
	r.State = s
	t.become(m, r)
	t.news(m.Name)
	t.touched()
}

// merge adds witnesses that are not known yet; it reports whether there were any.
func (t *Table) merge(m *member, by []Witness) (more bool) {
	for _, w := range by {
		i := slices.IndexFunc(m.Witnesses, func(o Witness) bool { return o.Name == w.Name })
		switch {
		case i < 0 && len(m.Witnesses) < 2*WitnessMost:
			m.Witnesses = append(slices.Clone(m.Witnesses), w)
			more = true
		case i >= 0 && w.Refused && !m.Witnesses[i].Refused:
			m.Witnesses = slices.Clone(m.Witnesses)
			m.Witnesses[i].Refused = true
			more = true
		}
	}
	if more { // who was refused stands first: only so many are told
		slices.SortStableFunc(m.Witnesses, func(a, b Witness) int { return truth(b.Refused) - truth(a.Refused) })
	}
	return more
}

func truth(b bool) int {
	if b {
		return 1
	}
	return 0
}

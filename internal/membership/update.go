package membership

// This file owns how gossip updates become what is believed here. A higher incarnation overrides a lower
// one; of the same incarnation the worse state does. The exception is a death: each member judges for
// itself, on the confirmations of all.

import (
	"fmt"
	"slices"
)

// applyUpdate takes an update of any member.
func (t *Table) applyUpdate(u Update) {
	if u.Name == t.Self.Name {
		t.updateSelf(u)
		return
	}
	m := t.members[u.Name]
	switch {
	case m == nil:
		t.addMember(u)
	case m.overrides(&u):
	case u.overrides(&m.Update):
		t.supersede(m, u)
	default:
		t.applySameIncarnation(m, u)
	}
}

// addMember takes the first update of a member, unless the table is full.
func (t *Table) addMember(u Update) {
	if len(t.names) >= maxMembers || u.State >= Dead && len(t.names) > maxDeadMembers {
		return
	}
	m := &member{Update: Update{State: Dead}, lastAliveAt: t.now}
	t.members[u.Name] = m
	i, _ := slices.BinarySearch(t.names, u.Name)
	t.names = slices.Insert(t.names, i, u.Name)
	t.setUpdate(m, u)
	if u.State <= Suspect {
		t.report(Joined, u.Name, u.Zone, fmt.Sprintf("incarnation %d", u.Incarnation))
		t.disseminate(u.Name)
		t.membersChanged()
	}
}

// applySameIncarnation takes an update of the incarnation that is known.
func (t *Table) applySameIncarnation(m *member, u Update) {
	switch {
	case u.State == Suspect && m.State == Suspect:
		t.confirm(m, u.Confirmations)
	case u.State <= m.State:
	case u.State == Suspect, u.State == Dead:
		// A death that others declared only confirms the suspicion: judgeSuspects decides here too. The
		// suspect learns of it with the next message to it, and refutes it if it is alive.
		t.suspect(m, u.Confirmations)
	default:
		t.remove(m, u.State, u.Confirmations)
	}
}

// supersede takes an update of a later incarnation. A death of it only confirms a suspicion, as one of the
// same incarnation does: judgeSuspects decides here too.
func (t *Table) supersede(m *member, u Update) {
	newProcess, was := u.Nonce != m.Nonce, m.State
	if u.State == Dead && was <= Suspect {
		u.State = Suspect
	}
	t.setUpdate(m, u)
	if newProcess {
		m.outbound, m.inbound, m.lastPingSequence, m.rtt = pathDirection{}, pathDirection{}, 0, 0
	}
	switch {
	case u.State >= Dead:
		t.report(removalEvent(u.State), u.Name, u.Zone, "")
	case newProcess:
		t.report(Rejoined, u.Name, u.Zone, fmt.Sprintf("as incarnation %d", u.Incarnation))
	case was >= Dead:
		t.report(Rejoined, u.Name, u.Zone, "it was never away, or is reached again")
	case was == Suspect && u.State == Alive:
		t.report(Refuted, u.Name, u.Zone, "")
	case u.State == Suspect && was == Alive:
		t.report(Suspected, u.Name, u.Zone, t.evidence(m))
	}
	t.disseminate(u.Name)
	t.membersChanged()
}

// remove takes a member out of the cluster: it is dead, or has left.
func (t *Table) remove(m *member, s State, confirmations []Confirmation) {
	t.addConfirmations(m, confirmations)
	t.report(removalEvent(s), m.Name, m.Zone, t.evidence(m))
	u := m.Update
	u.State = s
	t.setUpdate(m, u)
	t.disseminate(m.Name)
	t.membersChanged()
}

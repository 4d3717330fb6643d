package membership

// This file applies gossip updates to the table. A higher incarnation overrides a lower one, and among updates of the
// same incarnation a greater nonce overrides a smaller one. If both are equal, the later state in the order of the
// State constants overrides the earlier one. Reports of a death are the exception: for a member that is alive or
// suspected in the table, they count only as confirmations of a suspicion, and evaluateSuspects decides whether the
// member is dead.

import (
	"fmt"
	"slices"
)

// applyUpdate applies an update of any member, including the local one.
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

// addMember adds a member from its first update, unless the table is full. A dead or departed member is added only
// while the table holds at most maxDeadMembers names.
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

// applySameIncarnation applies an update whose incarnation and nonce equal those of the member's entry.
func (t *Table) applySameIncarnation(m *member, u Update) {
	switch {
	case u.State == Suspect && m.State == Suspect:
		t.confirm(m, u.Confirmations)
	case u.State <= m.State:
	case u.State == Suspect, u.State == Dead:
		// A death that another member declared counts only as confirmations of a suspicion: evaluateSuspects
		// decides whether the local member declares it too. The next message to the suspect contains the
		// suspicion, and the suspect refutes it if it is alive.
		t.suspect(m, u.Confirmations)
	default:
		t.remove(m, u.State, u.Confirmations)
	}
}

// supersede applies an update that overrides the member's entry. If the update reports the death of a member that is
// alive or suspected in the table, supersede only starts a suspicion. evaluateSuspects then decides whether the local
// member declares the death too.
func (t *Table) supersede(m *member, u Update) {
	newProcess, previousState := u.Nonce != m.Nonce, m.State
	if u.State == Dead && previousState <= Suspect {
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
	case previousState >= Dead:
		t.report(Rejoined, u.Name, u.Zone, "it was never away, or is reached again")
	case previousState == Suspect && u.State == Alive:
		t.report(Refuted, u.Name, u.Zone, "")
	case u.State == Suspect && previousState == Alive:
		t.report(Suspected, u.Name, u.Zone, t.evidence(m))
	}
	t.disseminate(u.Name)
	t.membersChanged()
}

// remove marks a member as dead or departed. Its entry stays in the table.
func (t *Table) remove(m *member, s State, confirmations []Confirmation) {
	t.addConfirmations(m, confirmations)
	t.report(removalEvent(s), m.Name, m.Zone, t.evidence(m))
	u := m.Update
	u.State = s
	t.setUpdate(m, u)
	t.disseminate(m.Name)
	t.membersChanged()
}

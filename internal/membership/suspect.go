package membership

// This file owns suspicion: who accuses whom, how long the accused has to refute it, and
// this instance's doubt of itself. Only judge makes a death.

import (
	"math"
	"slices"
)

// suspectUnreachable is this instance's own word that it cannot reach a member.
func (t *Table) suspectUnreachable(m *member, refused bool) {
	if t.gracePeriodEnd > t.now && !refused {
		return
	}
	if m.State == Suspect && m.lastAliveAt > m.suspectedAt {
		m.suspectedAt = t.now // it was reached since it was accused: this is another silence
	}
	t.suspect(m, []Confirmation{{Name: t.Self.Name, Zone: t.Self.Zone, Refused: refused}})
}

// suspect takes accusations.
func (t *Table) suspect(m *member, by []Confirmation) {
	if m.State == Suspect {
		t.confirm(m, by)
		return
	}
	r := m.Update
	r.State, r.Confirmations = Suspect, nil
	t.setUpdate(m, r)
	t.addConfirmations(m, by)
	t.report(Suspected, m.Name, m.Zone, t.evidence(m))
	t.disseminate(m.Name)
}

// confirm takes further accusations of one that is suspected.
func (t *Table) confirm(m *member, by []Confirmation) {
	if t.addConfirmations(m, by) {
		t.disseminate(m.Name)
	}
}

// suspicionTimeout is how long a suspicion may stand: the more witnesses, the shorter.
func (t *Table) suspicionTimeout(m *member) int64 {
	others := t.Size() - 2 // that could be witnesses beside this one
	refused := refusalCount(m)
	if refused >= decisiveRefusals {
		return t.RefusedTimeout
	}
	if refused == 1 && others < 1 {
		return 5 * t.RefusedTimeout
	}
	k := float64(max(2, min(3, others+1)))
	share := min(1, math.Log(float64(max(1, len(m.Confirmations))))/math.Log(k))
	return t.MaxSuspicionTimeout - int64(share*float64(t.MaxSuspicionTimeout-t.MinSuspicionTimeout))
}

// refusalCount counts the witnesses of a suspicion that were told that no process listens.
func refusalCount(m *member) (n int) {
	for _, w := range m.Confirmations {
		n += boolToInt(w.Refused)
	}
	return n
}

// judgeSuspects declares deaths: of those that nobody reached from here since they were accused.
// Where they are accused of silence, this instance asked them itself.
func (t *Table) judgeSuspects() {
	t.suspects = slices.DeleteFunc(t.suspects, func(name string) bool { return t.members[name] == nil || t.members[name].State != Suspect })
	slices.Sort(t.suspects)
	t.suspects = slices.Compact(t.suspects)
	checks := 0
	for _, name := range t.suspects {
		m := t.members[name]
		// Whoever accuses looks again, and again: its own link may have been at fault.
		if t.now-m.probedAt > reprobeInterval && slices.ContainsFunc(m.Confirmations, func(w Confirmation) bool { return w.Name == t.Self.Name }) {
			t.probeSoon(name)
		}
		if m.lastAliveAt > m.suspectedAt {
			continue
		}
		age, patience := t.now-m.suspectedAt, t.suspicionTimeout(m)*int64(2+min(2, t.healthScore))/2
		checked := refusalCount(m) >= decisiveRefusals || m.verifiedAt > m.suspectedAt && t.now-m.verifiedAt >= t.ProbeTimeout/2
		switch {
		case checked && age >= patience:
			t.remove(m, Dead, nil)
		case !checked && m.verifiedAt <= m.suspectedAt && age >= patience/2 && checks < maxVerifications:
			checks++
			t.verify(m)
		}
	}
}

// verify asks a member that others accuse whether it lives, before it is judged: in a large
// fleet neither its turn to be probed nor its refutation may come in time. The Ping tells
// it that it is accused.
func (t *Table) verify(m *member) {
	m.verifiedAt = t.now
	t.sequence++
	t.sendToMember(m.Name, Message{Kind: Ping, Sequence: t.sequence})
}

// recordStall is the word of this instance's own clock that it did not run: what it did not
// hear meanwhile says nothing of others.
func (t *Table) recordStall(gap int64) {
	t.gracePeriodEnd = t.now + stallGracePeriod
	for _, name := range t.suspects {
		if m := t.members[name]; m != nil && m.State == Suspect {
			m.suspectedAt = t.now
		}
	}
	t.report(Stalled, t.Self.Name, t.Self.Zone, "held up for "+ms(gap))
}

// HealthScore is how far this instance doubts itself: 0 not at all, 8 at the most.
func (t *Table) HealthScore() int { return t.healthScore }

// Leave tells the others that this instance goes on purpose.
func (t *Table) Leave(now int64) []Act {
	t.now = now
	if t.leaving || t.joining || t.conflictAt > 0 {
		t.leaving = true
		return t.takeActions()
	}
	t.leaving = true
	t.Self.State = Left
	live := slices.DeleteFunc(slices.Clone(t.names), func(n string) bool { return t.members[n].State > Suspect })
	t.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	for _, name := range live[:min(len(live), 8)] {
		t.sequence++
		t.sendToMember(name, Message{Kind: Ping, Sequence: t.sequence})
	}
	return t.takeActions()
}

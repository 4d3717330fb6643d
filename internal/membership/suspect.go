package membership

// This file owns suspicion: who accuses whom, how long the accused has to refute it, and
// this instance's doubt of itself. Only judge makes a death.

import (
	"math"
	"slices"
)

// accuse is this instance's own word that it cannot reach a member.
func (t *Table) accuse(m *member, refused bool) {
	if t.doubt > t.now && !refused {
		return
	}
	if m.State == Suspect && m.contact > m.suspectAt {
		m.suspectAt = t.now // it was reached since it was accused: this is another silence
	}
	t.suspect(m, []Witness{{Name: t.Self.Name, Zone: t.Self.Zone, Refused: refused}})
}

// suspect takes accusations.
func (t *Table) suspect(m *member, by []Witness) {
	if m.State == Suspect {
		t.witnesses(m, by)
		return
	}
	r := m.Update
	r.State, r.Witnesses = Suspect, nil
	t.become(m, r)
	t.merge(m, by)
	t.say(Suspected, m.Name, m.Zone, t.evidence(m))
	t.news(m.Name)
}

// witnesses takes further accusations of one that is suspected.
func (t *Table) witnesses(m *member, by []Witness) {
	if t.merge(m, by) {
		t.news(m.Name)
	}
}

// patience is how long a suspicion may stand: the more witnesses, the shorter.
func (t *Table) patience(m *member) int64 {
	others := t.Size() - 2 // that could be witnesses beside this one
	refused := refusals(m)
	if refused >= refusalsEnough {
		return t.Refused
	}
	if refused == 1 && others < 1 {
		return 5 * t.Refused
	}
	k := float64(max(2, min(3, others+1)))
	share := min(1, math.Log(float64(max(1, len(m.Witnesses))))/math.Log(k))
	return t.SilentMost - int64(share*float64(t.SilentMost-t.SilentLeast))
}

// refusals counts the witnesses of a suspicion that were told that no process listens.
func refusals(m *member) (n int) {
	for _, w := range m.Witnesses {
		n += truth(w.Refused)
	}
	return n
}

// judge declares deaths: of those that nobody reached from here since they were accused.
// Where they are accused of silence, this instance asked them itself.
func (t *Table) judge() {
	t.accused = slices.DeleteFunc(t.accused, func(name string) bool { return t.members[name] == nil || t.members[name].State != Suspect })
	slices.Sort(t.accused)
	t.accused = slices.Compact(t.accused)
	checks := 0
	for _, name := range t.accused {
		m := t.members[name]
		// Whoever accuses looks again, and again: its own link may have been at fault.
		if t.now-m.lookedAt > relookEvery && slices.ContainsFunc(m.Witnesses, func(w Witness) bool { return w.Name == t.Self.Name }) {
			t.hurry(name)
		}
		if m.contact > m.suspectAt {
			continue
		}
		age, patience := t.now-m.suspectAt, t.patience(m)*int64(2+min(2, t.health))/2
		checked := refusals(m) >= refusalsEnough || m.checkedAt > m.suspectAt && t.now-m.checkedAt >= t.Whole/2
		switch {
		case checked && age >= patience:
			t.end(m, Dead, nil)
		case !checked && m.checkedAt <= m.suspectAt && age >= patience/2 && checks < checksMost:
			checks++
			t.check(m)
		}
	}
}

// check asks a member that others accuse whether it lives, before it is judged: in a large
// fleet neither its turn to be probed nor its refutation may come in time. The Ping tells
// it that it is accused.
func (t *Table) check(m *member) {
	m.checkedAt = t.now
	t.seq++
	t.send(m.Name, Message{Kind: Ping, Seq: t.seq})
}

// heldUp is the word of this instance's own clock that it did not run: what it did not
// hear meanwhile says nothing of others.
func (t *Table) heldUp(gap int64) {
	t.doubt = t.now + doubtFor
	for _, name := range t.accused {
		if m := t.members[name]; m != nil && m.State == Suspect {
			m.suspectAt = t.now
		}
	}
	t.say(Doubts, t.Self.Name, t.Self.Zone, "held up for "+ms(gap))
}

// HealthScore is how far this instance doubts itself: 0 not at all, 8 at the most.
func (t *Table) HealthScore() int { return t.health }

// Leave tells the others that this instance goes on purpose.
func (t *Table) Leave(now int64) []Act {
	t.now = now
	if t.leaving || t.joining || t.barred > 0 {
		t.leaving = true
		return t.take()
	}
	t.leaving = true
	t.Self.State = Left
	live := slices.DeleteFunc(slices.Clone(t.names), func(n string) bool { return t.members[n].State > Suspect })
	t.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	for _, name := range live[:min(len(live), 8)] {
		t.seq++
		t.send(name, Message{Kind: Ping, Seq: t.seq})
	}
	return t.take()
}

package membership

// This file owns suspicions: who suspects whom, how long the suspect has to refute it, and what confirms
// it. Only judgeSuspects declares a member dead.

import (
	"math"
	"slices"
)

// suspectUnreachable is the local member's own suspicion: its probe of a member failed.
func (t *Table) suspectUnreachable(m *member, refused bool) {
	if t.gracePeriodEnd > t.now && !refused {
		return
	}
	if m.State == Suspect && m.lastAliveAt > m.suspectedAt {
		m.suspectedAt = t.now // it was reached since it was suspected: this is another silence
	}
	t.suspect(m, []Confirmation{{Name: t.Self.Name, Zone: t.Self.Zone, Refused: refused}})
}

// suspect starts a suspicion, or confirms the one that there is.
func (t *Table) suspect(m *member, confirmations []Confirmation) {
	if m.State == Suspect {
		t.confirm(m, confirmations)
		return
	}
	u := m.Update
	u.State, u.Confirmations = Suspect, nil
	t.setUpdate(m, u)
	t.addConfirmations(m, confirmations)
	t.report(Suspected, m.Name, m.Zone, t.evidence(m))
	t.disseminate(m.Name)
}

// confirm takes further confirmations of a suspicion, and passes on those that are new.
func (t *Table) confirm(m *member, confirmations []Confirmation) {
	if t.addConfirmations(m, confirmations) {
		t.disseminate(m.Name)
	}
}

// addConfirmations adds what is not known yet; it reports whether there was anything.
func (t *Table) addConfirmations(m *member, confirmations []Confirmation) (added bool) {
	for _, c := range confirmations {
		i := slices.IndexFunc(m.Confirmations, func(known Confirmation) bool { return known.Name == c.Name })
		switch {
		case i < 0 && len(m.Confirmations) < 2*MaxConfirmations:
			m.Confirmations = append(slices.Clone(m.Confirmations), c)
			added = true
		case i >= 0 && c.Refused && !m.Confirmations[i].Refused:
			m.Confirmations = slices.Clone(m.Confirmations)
			m.Confirmations[i].Refused = true
			added = true
		}
	}
	if added { // refused ones come first: only MaxConfirmations are passed on
		slices.SortStableFunc(m.Confirmations, func(a, b Confirmation) int {
			return boolToInt(b.Refused) - boolToInt(a.Refused)
		})
	}
	return added
}

// suspectedBy reports whether a member confirms the suspicion.
func (m *member) suspectedBy(name string) bool {
	return slices.ContainsFunc(m.Confirmations, func(c Confirmation) bool { return c.Name == name })
}

// refusals counts the confirmations of members that found no process listening.
func (m *member) refusals() (count int) {
	for _, c := range m.Confirmations {
		count += boolToInt(c.Refused)
	}
	return count
}

// suspicionTimeout is how long a suspicion may last: the more confirmations, the shorter, on Lifeguard's
// logarithmic scale.
func (t *Table) suspicionTimeout(m *member) int64 {
	others := t.Size() - 2 // that could confirm it beside the local member
	refused := m.refusals()
	if refused >= decisiveRefusals {
		return t.RefusedTimeout
	}
	if refused == 1 && others < 1 {
		return 5 * t.RefusedTimeout
	}
	expected := float64(max(2, min(3, others+1)))
	confirmations := float64(max(1, len(m.Confirmations)))
	share := min(1, math.Log(confirmations)/math.Log(expected))
	return t.MaxSuspicionTimeout - int64(share*float64(t.MaxSuspicionTimeout-t.MinSuspicionTimeout))
}

// judgeSuspects declares the suspects dead whose suspicion timed out and whom nobody reached from here since
// it began. Where they are suspected for silence, the local member has pinged them itself before.
func (t *Table) judgeSuspects() {
	t.pruneSuspects()
	verifications := 0
	for _, name := range t.suspects {
		m := t.members[name]
		// Whoever suspects a member probes it again and again: its own path may have failed.
		if t.now-m.probedAt > reprobeInterval && m.suspectedBy(t.Self.Name) {
			t.probeSoon(name)
		}
		if m.lastAliveAt > m.suspectedAt {
			continue
		}
		age := t.now - m.suspectedAt
		timeout := t.stretchSuspicion(t.suspicionTimeout(m))
		verified := t.verified(m)
		switch {
		case verified && age >= timeout:
			t.remove(m, Dead, nil)
		case !verified && m.verifiedAt <= m.suspectedAt && age >= timeout/2 && verifications < maxVerifications:
			verifications++
			t.verify(m)
		}
	}
}

// pruneSuspects leaves those that are still suspected, once each, by name.
func (t *Table) pruneSuspects() {
	t.suspects = slices.DeleteFunc(t.suspects, func(name string) bool {
		m := t.members[name]
		return m == nil || m.State != Suspect
	})
	slices.Sort(t.suspects)
	t.suspects = slices.Compact(t.suspects)
}

// verify pings a suspect before it is declared dead: in a large cluster neither its turn to be probed nor
// its refutation may come in time. The ping tells it that it is suspected.
func (t *Table) verify(m *member) {
	m.verifiedAt = t.now
	t.ping(m.Name)
}

// verified reports whether the suspect had its chance to answer, or needs none.
func (t *Table) verified(m *member) bool {
	if m.refusals() >= decisiveRefusals {
		return true
	}
	return m.verifiedAt > m.suspectedAt && t.now-m.verifiedAt >= t.ProbeTimeout/2
}

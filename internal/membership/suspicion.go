package membership

// This file implements suspicions: their start, their confirmations, and the time that a suspect has to refute
// them. Only evaluateSuspects declares an alive or suspected member dead.

import (
	"math"
	"slices"
)

// suspectUnreachable makes the local member suspect a member whose probe failed. During the grace period after a
// stall it does so only if the member's host refused the connection of the handshake probe.
func (t *Table) suspectUnreachable(m *member, refused bool) {
	if t.gracePeriodEnd > t.now && !refused {
		return
	}
	if m.State == Suspect && m.lastAliveAt > m.suspectedAt {
		m.suspectedAt = t.now // restarts the timeout, because the member was proved alive after the suspicion began
	}
	t.suspect(m, []Confirmation{{Name: t.Self.Name, Zone: t.Self.Zone, Refused: refused}})
}

// suspect starts a suspicion of a member, or adds the confirmations to the existing one.
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

// confirm adds confirmations to an existing suspicion, and disseminates the suspicion if they changed it.
func (t *Table) confirm(m *member, confirmations []Confirmation) {
	if t.addConfirmations(m, confirmations) {
		t.disseminate(m.Name)
	}
}

// addConfirmations adds confirmations to those of the suspicion of m, up to 2*MaxConfirmations in total. A second
// confirmation from the same member is not added. If its Refused is true, Refused of the first one becomes true too.
// addConfirmations reports whether anything changed.
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
	if added { // a message contains at most MaxConfirmations confirmations, so those with Refused come first
		slices.SortStableFunc(m.Confirmations, func(a, b Confirmation) int {
			return boolToInt(b.Refused) - boolToInt(a.Refused)
		})
	}
	return added
}

// suspectedBy reports whether the named member confirmed the suspicion.
func (m *member) suspectedBy(name string) bool {
	return slices.ContainsFunc(m.Confirmations, func(c Confirmation) bool { return c.Name == name })
}

// refusals returns the number of confirmations from members that found no process listening.
func (m *member) refusals() (count int) {
	for _, c := range m.Confirmations {
		count += boolToInt(c.Refused)
	}
	return count
}

// suspicionTimeout returns the time after which a suspect that has not refuted the suspicion may be declared dead. The
// caller scales the result by the local health score (see scaleSuspicionTimeout). The timeout decreases from
// MaxSuspicionTimeout to MinSuspicionTimeout with the number of confirmations, on Lifeguard's logarithmic scale. If at
// least decisiveRefusals members found that no process listens at the suspect's address, the timeout is
// RefusedTimeout. If one member found this and no other member could confirm the suspicion, the timeout is
// 5*RefusedTimeout.
func (t *Table) suspicionTimeout(m *member) int64 {
	others := t.Size() - 2 // members that could confirm the suspicion, excluding the local one and the suspect
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

// evaluateSuspects declares suspects dead. A suspect is declared dead if its suspicion has timed out and is verified
// (see verified), and if the local member has had no proof since suspectedAt that the suspect is alive. The ping that
// verifies the suspicion is sent when half of the timeout has passed, or later if more than maxVerifications suspects
// need a ping in the same tick.
func (t *Table) evaluateSuspects() {
	t.pruneSuspects()
	verifications := 0
	for _, name := range t.suspects {
		m := t.members[name]
		// If the local member confirmed the suspicion, it probes the suspect repeatedly: the fault may affect only
		// the path between the two.
		if t.now-m.probedAt > reprobeInterval && m.suspectedBy(t.Self.Name) {
			t.probeSoon(name)
		}
		if m.lastAliveAt > m.suspectedAt {
			continue
		}
		age := t.now - m.suspectedAt
		timeout := t.scaleSuspicionTimeout(t.suspicionTimeout(m))
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

// pruneSuspects removes from t.suspects the members that are no longer suspected, and sorts and deduplicates the rest.
func (t *Table) pruneSuspects() {
	t.suspects = slices.DeleteFunc(t.suspects, func(name string) bool {
		m := t.members[name]
		return m == nil || m.State != Suspect
	})
	slices.Sort(t.suspects)
	t.suspects = slices.Compact(t.suspects)
}

// verify pings a suspect before it is declared dead. In a large cluster, the suspect's next turn in the probe order and
// its refutation through gossip may both come too late. The ping informs the suspect of the suspicion, so that the
// suspect can refute it.
func (t *Table) verify(m *member) {
	m.verifiedAt = t.now
	t.ping(m.Name)
}

// verified reports whether the suspicion of a member needs no further verification: ProbeTimeout/2 has passed since
// the ping that verifies it, or at least decisiveRefusals members found that no process listens at the suspect's
// address.
func (t *Table) verified(m *member) bool {
	if m.refusals() >= decisiveRefusals {
		return true
	}
	return m.verifiedAt > m.suspectedAt && t.now-m.verifiedAt >= t.ProbeTimeout/2
}

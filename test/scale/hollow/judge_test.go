package hollow

import (
	"fmt"

	"ravenhitch/internal/membership"
)

// This file owns what is judged of the members' reports, by the state of the simulation. It must
// never take a report for that.

const (
	// reachablePeriod is for how long a member must have been reachable for its death to be false.
	reachablePeriod = 6 * second
	// startGrace is how long after its start a process may still be reported as the one before.
	startGrace = 2 * second
)

// judgeDeath judges a death that a member reports. It is false where the subject runs and both
// could reach each other throughout the last seconds: the network has no cut but that of a
// region, so within one side of it all are reachable.
func (s *simulation) judgeDeath(reporter int, event membership.Event) {
	index := s.byName[event.Name]
	subject := s.members[index]
	if !subject.running || subject.nonce != event.Nonce || s.now-subject.startedAt < startGrace || s.network.wasCutSince(reporter, index, s.now-reachablePeriod, s.now) {
		return
	}
	s.falseDeaths = append(s.falseDeaths, fmt.Sprintf("%.2f s: %s has %s for dead, which is reachable: %s",
		float64(s.now)/second, s.members[reporter].name, event.Name, event.Evidence))
}

// tablesAgree reports whether the tables of all that run have exactly those that run and are
// reachable, each with its current incarnation nonce.
func (s *simulation) tablesAgree() bool {
	sides := map[bool]int{}
	for i, x := range s.members {
		if x.running {
			sides[s.side(i)]++
		}
	}
	for i, x := range s.members { // the sizes first, which is cheap
		if x.running && x.Size() != sides[s.side(i)] {
			return false
		}
	}
	for i, x := range s.members {
		if x.running && !s.tableIsComplete(i) {
			return false
		}
	}
	return true
}

// side is the side of the cut that a member is on; there is only one without a cut.
func (s *simulation) side(i int) bool {
	return s.network.inCutRegion(i) && s.now >= s.network.cutFrom && s.now < s.network.cutUntil
}

// tableIsComplete reports whether the table of a member has each other one of its side with its
// current incarnation nonce.
func (s *simulation) tableIsComplete(i int) bool {
	for j, other := range s.members {
		if i == j || !other.running || s.side(i) != s.side(j) {
			continue
		}
		if _, nonce, ok := s.members[i].Locate(other.name); !ok || nonce != other.nonce {
			return false
		}
	}
	return true
}

// countDeadEntries counts the entries of dead members in all tables, and the most in one.
func (s *simulation) countDeadEntries() (all, highest int) {
	for _, x := range s.members {
		if !x.running {
			continue
		}
		n := 0
		for _, m := range x.Members() {
			if m.State == membership.Dead {
				n++
			}
		}
		all, highest = all+n, max(highest, n)
	}
	return all, highest
}

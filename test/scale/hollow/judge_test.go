package hollow

import (
	"fmt"

	"ravenhitch/internal/membership"
)

// This file contains the checks of the members' reports and tables against the state of the simulation. The checks
// must derive the expected results from the state of the simulation alone, never from the members' reports.

const (
	// reachablePeriod is a duration in microseconds. A report that a member died is false only if the reporter could
	// reach the member for this long, up to the report.
	reachablePeriod = 6 * second
	// startGrace is the time in microseconds after the start of a process during which others may still report it
	// dead, because their reports may concern the previous process.
	startGrace = 2 * second
)

// checkDeath checks a death that a member reports and records the death if it is false. A death is false if the
// process with the reported incarnation nonce is still running, started at least startGrace ago, and was not
// separated from the reporter by a cut during the last reachablePeriod. Members on the same side of a cut can always
// reach each other.
func (s *simulation) checkDeath(reporter int, event membership.Event) {
	index := s.byName[event.Name]
	subject := s.members[index]
	if !subject.running || subject.nonce != event.Nonce || s.now-subject.startedAt < startGrace || s.network.wasCutSince(reporter, index, s.now-reachablePeriod, s.now) {
		return
	}
	s.falseDeaths = append(s.falseDeaths, fmt.Sprintf("at %.2f s, %s reported the reachable member %s dead: %s",
		float64(s.now)/second, s.members[reporter].name, event.Name, event.Evidence))
}

// tablesAgree reports whether the table of each running member is correct: the alive and suspected members in the
// table are exactly the running members on the same side of the cut, each with its current incarnation nonce.
func (s *simulation) tablesAgree() bool {
	sides := map[bool]int{}
	for i, x := range s.members {
		if x.running {
			sides[s.side(i)]++
		}
	}
	for i, x := range s.members { // compares the sizes of the tables first, because this is cheap
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

// side returns on which side of the cut member i is; true is the side of the separated region. Without a cut,
// all members are on the same side.
func (s *simulation) side(i int) bool {
	return s.network.inCutRegion(i) && s.now >= s.network.cutFrom && s.now < s.network.cutUntil
}

// tableIsComplete reports whether the table of member i contains each other running member on the same side of the
// cut as alive or suspected, with that member's current incarnation nonce.
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

// countDeadEntries returns the number of entries in state dead in the tables of all running members together, and
// the maximum number in one table.
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

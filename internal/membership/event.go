package membership

// This file defines the events that the table reports and the evidence for them. Operators read the names of the
// event kinds in the log, and the evidence in the log and in the status report.

import (
	"fmt"
	"slices"
	"strings"
)

// EventKind tells which change an Event reports.
type EventKind uint8

// The kinds of events.
const (
	Joined EventKind = iota // a member, or the local member itself, joined the cluster
	Suspected
	Refuted
	Died
	LeftCluster
	Rejoined     // another process now runs under a member's name, or a member is back after its death or departure
	PathDegraded // one direction of the path to a member went down while the other one was up
	PathRecovered
	Stalled      // the local process did not run for some time
	NameConflict // another process owns the local name
	ViewChanged
)

// String returns the name that the log shows for the event kind.
func (k EventKind) String() string {
	return [...]string{"joined", "suspected", "refuted", "dead", "left", "back", "one way", "carries again",
		"doubts itself", "name in use", "view"}[k]
}

// removalEvent returns the kind of the event that reports a dead or departed member.
func removalEvent(s State) EventKind {
	if s == Left {
		return LeftCluster
	}
	return Died
}

// Event reports a change in the cluster, the view or the local process, and the evidence for it.
type Event struct {
	Kind       EventKind
	Name, Zone string
	Nonce      uint64 // incarnation nonce of the member Name, or of the local member if the table has no such member
	Evidence   string
}

// report queues an event for the next call of Events.
func (t *Table) report(kind EventKind, name, zone, evidence string) {
	nonce := t.Self.Nonce
	if m := t.members[name]; m != nil {
		nonce = m.Nonce
	}
	t.events = append(t.events, Event{kind, name, zone, nonce, evidence})
}

// Events returns the events since the previous call.
func (t *Table) Events() []Event {
	events := t.events
	t.events = nil
	return events
}

func formatMilliseconds(us int64) string { return fmt.Sprintf("%d ms", us/millisecond) }

// evidence describes for operators how many members of each zone confirmed that they cannot reach m, and how many of
// these members found that no process listens at the address of m. It also states whether, since the suspicion began,
// the local member has had proof that m is alive. It counts only the confirmations in the table, which are at most
// 2*MaxConfirmations.
func (t *Table) evidence(m *member) string {
	confirmations := map[string]int{}
	var zones []string
	for _, c := range m.Confirmations {
		confirmations[c.Zone]++
		if confirmations[c.Zone] == 1 {
			zones = append(zones, c.Zone)
		}
	}
	slices.Sort(zones)
	sizes := t.zoneSizes(m)
	var parts []string
	for _, zone := range zones {
		size := max(sizes[zone], confirmations[zone])
		parts = append(parts, fmt.Sprintf("%d of %d in %s can't reach it", confirmations[zone], size, zone))
	}
	if refused := m.refusals(); refused > 0 {
		parts = append(parts, fmt.Sprintf("%d told that no process listens", refused))
	}
	if m.lastAliveAt > m.suspectedAt && m.suspectedAt > 0 {
		parts = append(parts, "this one can")
	}
	return strings.Join(parts, ", ")
}

// zoneSizes returns, by zone, the number of members that are alive or suspected. It counts the local member and
// excludes the given one.
func (t *Table) zoneSizes(without *member) map[string]int {
	sizes := map[string]int{t.Self.Zone: 1}
	for _, name := range t.names {
		if m := t.members[name]; m.State <= Suspect && m != without {
			sizes[m.Zone]++
		}
	}
	return sizes
}

package membership

// This file owns what the table reports: events, and the evidence for them. Their texts go to operators, in
// the log and the status report.

import (
	"fmt"
	"slices"
	"strings"
)

// EventKind is what happened.
type EventKind uint8

// The events.
const (
	Joined EventKind = iota
	Suspected
	Refuted
	Died
	LeftCluster
	Rejoined
	PathDegraded // one direction of a path is down
	PathRecovered
	Stalled // the local process did not run for a while
	NameConflict
	ViewChanged
)

// String is the event as the log has it.
func (k EventKind) String() string {
	return [...]string{"joined", "suspected", "refuted", "dead", "left", "back", "one way", "carries again",
		"doubts itself", "name in use", "view"}[k]
}

// removalEvent is the event of a member that is dead or has left.
func removalEvent(s State) EventKind {
	if s == Left {
		return LeftCluster
	}
	return Died
}

// Event is something that changed, and on what evidence.
type Event struct {
	Kind       EventKind
	Name, Zone string
	Nonce      uint64 // incarnation nonce of the process that it concerns, else the local one
	Evidence   string
}

func (t *Table) report(kind EventKind, name, zone, evidence string) {
	nonce := t.Self.Nonce
	if m := t.members[name]; m != nil {
		nonce = m.Nonce
	}
	t.events = append(t.events, Event{kind, name, zone, nonce, evidence})
}

// Events returns what happened since the last call.
func (t *Table) Events() []Event {
	events := t.events
	t.events = nil
	return events
}

func inMilliseconds(us int64) string { return fmt.Sprintf("%d ms", us/millisecond) }

// evidence says who cannot reach a member, zone by zone, and whether anybody can.
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

// zoneSizes counts the members of each zone, without one of them.
func (t *Table) zoneSizes(without *member) map[string]int {
	sizes := map[string]int{t.Self.Zone: 1}
	for _, name := range t.names {
		if m := t.members[name]; m.State <= Suspect && m != without {
			sizes[m.Zone]++
		}
	}
	return sizes
}

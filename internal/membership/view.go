package membership

// This file owns what the rest of the program may know: events with their evidence, the
// table, and the stable view, which changes in few steps: once nothing has moved for a
// while, and not for a member that is only suspected.

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
	PathDegraded
	PathRecovered
	Stalled
	NameConflict
	ViewChanged
)

func (k EventKind) String() string {
	return [...]string{"joined", "suspected", "refuted", "dead", "left", "back", "one way", "carries again",
		"doubts itself", "name in use", "view"}[k]
}

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
	Life       uint64 // of the process that it concerns, 0 where it concerns none
	Evidence   string
}

func (t *Table) report(k EventKind, name, zone, evidence string) {
	life := t.Self.Life
	if m := t.members[name]; m != nil {
		life = m.Life
	}
	t.events = append(t.events, Event{k, name, zone, life, evidence})
}

// Events returns what happened since it was last asked.
func (t *Table) Events() []Event {
	e := t.events
	t.events = nil
	return e
}

func ms(us int64) string { return fmt.Sprintf("%d ms", us/1000) }

// evidence says who cannot reach a member, zone by zone, and whether anybody can.
func (t *Table) evidence(m *member) string {
	size, zones := map[string]int{t.Self.Zone: 1}, []string{}
	for _, name := range t.names {
		if o := t.members[name]; o.State <= Suspect && o != m {
			size[o.Zone]++
		}
	}
	by, refused := map[string]int{}, 0
	for _, w := range m.Confirmations {
		if by[w.Zone]++; by[w.Zone] == 1 {
			zones = append(zones, w.Zone)
		}
		refused += boolToInt(w.Refused)
	}
	slices.Sort(zones)
	var parts []string
	for _, zone := range zones {
		parts = append(parts, fmt.Sprintf("%d of %d in %s can't reach it", by[zone], max(size[zone], by[zone]), zone))
	}
	if refused > 0 {
		parts = append(parts, fmt.Sprintf("%d told that no process listens", refused))
	}
	if m.lastAliveAt > m.suspectedAt && m.suspectedAt > 0 {
		parts = append(parts, "this one can")
	}
	return strings.Join(parts, ", ")
}

// Member is a line of the table.
type Member struct {
	Name, Zone, Addr  string
	Nonce, Incarnation uint64
	State             State
	Slow              bool // alive, and slow to answer
	Path              Path
	RTTUs             int64
	SinceAliveUs         int64 // how long ago it last proved to live
	Evidence          string
}

// Members is the table, this instance first, then by name.
func (t *Table) Members() []Member {
	out := []Member{{Name: t.Self.Name, Zone: t.Self.Zone, Addr: t.Self.Addr, Nonce: t.Self.Life,
		Incarnation: t.Self.Incarnation, State: t.Self.State}}
	for _, name := range t.names {
		m := t.members[name]
		e := Member{Name: name, Zone: m.Zone, Addr: m.Addr, Nonce: m.Life, Incarnation: m.Incarnation, State: m.State,
			Slow: m.State == Alive && m.rtt > t.DirectTimeout, Path: m.path(), RTTUs: m.rtt, SinceAliveUs: t.now - m.lastAliveAt}
		if m.State != Alive {
			e.Evidence = t.evidence(m)
		}
		out = append(out, e)
	}
	return out
}

// View is the members that the rest of the program may count on.
type View struct {
	Number int64 // of the changes here
	Digest uint64
	Names  []string // sorted
}

// View is the stable view.
func (t *Table) View() View { return t.view }

const (
	viewSettleTime  = 400_000
	maxViewDelay = 2_000_000
)

// membersChanged takes it that the members changed.
func (t *Table) membersChanged() {
	if t.membersChangedAt = t.now; t.viewStaleSince == 0 {
		t.viewStaleSince = t.now
	}
}

// settleView changes the view once the members stand still.
func (t *Table) settleView() {
	if t.viewStaleSince == 0 || t.now-t.membersChangedAt < viewSettleTime && t.now-t.viewStaleSince < maxViewDelay {
		return
	}
	t.viewStaleSince = 0
	if t.rebuildView() {
		t.report(ViewChanged, "", "", fmt.Sprintf("%d members: %s", len(t.view.Names), strings.Join(t.view.Names, " ")))
	}
}

func (t *Table) rebuildView() bool {
	digest := uint64(0)
	var names []string
	add := func(r *Update) {
		if r.State <= Suspect {
			names = append(names, r.Name)
			steady := *r
			steady.Incarnation = 0 // a refutation changes nothing for others
			digest ^= fingerprint(&steady)
		}
	}
	if t.conflictAt == 0 && !t.joining {
		add(&t.Self)
	}
	for _, name := range t.names {
		add(&t.members[name].Update)
	}
	slices.Sort(names)
	if digest == t.view.Digest && t.view.Number > 0 {
		return false
	}
	t.view = View{Number: t.view.Number + 1, Digest: digest, Names: names}
	return true
}

package membership

// This file provides the membership data that the rest of the program uses: a description of each member, and the
// stable view. The stable view must change rarely. Therefore it is rebuilt only after viewSettleTime without a
// membership change, or maxViewDelay after the first change, and it keeps members that are only suspected.

import (
	"fmt"
	"slices"
	"strings"
)

// Member describes one member of the table.
type Member struct {
	Name, Zone, Addr   string
	Nonce, Incarnation uint64
	State              State
	Slow               bool // whether the member is alive and its round-trip time exceeds DirectTimeout
	Path               Path
	RTTUs              int64  // smoothed round-trip time in microseconds
	SinceAliveUs       int64  // microseconds since the last proof that the member is alive
	Evidence           string // evidence for the member's state, empty if it is alive
}

// Members returns the local member, followed by all other members sorted by name.
func (t *Table) Members() []Member {
	members := []Member{{Name: t.Self.Name, Zone: t.Self.Zone, Addr: t.Self.Addr, Nonce: t.Self.Nonce,
		Incarnation: t.Self.Incarnation, State: t.Self.State}}
	for _, name := range t.names {
		m := t.members[name]
		other := Member{
			Name:         name,
			Zone:         m.Zone,
			Addr:         m.Addr,
			Nonce:        m.Nonce,
			Incarnation:  m.Incarnation,
			State:        m.State,
			Slow:         m.State == Alive && m.rtt > t.DirectTimeout,
			Path:         m.path(),
			RTTUs:        m.rtt,
			SinceAliveUs: t.now - m.lastAliveAt,
		}
		if m.State != Alive {
			other.Evidence = t.evidence(m)
		}
		members = append(members, other)
	}
	return members
}

// View is a stable set of members for use by the rest of the program.
type View struct {
	Number int64    // 1 for the local member's first view, and 1 more for each change of the view
	Digest uint64   // hash of the members; equal on all members whose views hold the same processes
	Names  []string // names of the members, sorted
}

// View returns the current stable view.
func (t *Table) View() View { return t.view }

// membersChanged records a membership change, after which updateView rebuilds the view.
func (t *Table) membersChanged() {
	t.membersChangedAt = t.now
	if t.viewStaleSince == 0 {
		t.viewStaleSince = t.now
	}
}

// updateView rebuilds a stale view after viewSettleTime without a membership change, or after maxViewDelay.
func (t *Table) updateView() {
	if t.viewStaleSince == 0 {
		return
	}
	if t.now-t.membersChangedAt < viewSettleTime && t.now-t.viewStaleSince < maxViewDelay {
		return
	}
	t.viewStaleSince = 0
	if t.rebuildView() {
		t.report(ViewChanged, "", "", fmt.Sprintf("%d members: %s", len(t.view.Names), strings.Join(t.view.Names, " ")))
	}
}

// rebuildView builds the view from the current members and reports whether it changed.
func (t *Table) rebuildView() (changed bool) {
	digest := uint64(0)
	var names []string
	add := func(u *Update) {
		if u.State <= Suspect {
			names = append(names, u.Name)
			stable := *u
			stable.Incarnation = 0 // a refutation must not change the view
			digest ^= fingerprint(&stable)
		}
	}
	if t.admitted() {
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

package membership

// This file owns what the rest of the program sees of the members: the lines of the table, and the
// stable view, which changes in few steps: once nothing has changed for a while, and not for a member that
// is only suspected.

import (
	"fmt"
	"slices"
	"strings"
)

// Member is a line of the table.
type Member struct {
	Name, Zone, Addr   string
	Nonce, Incarnation uint64
	State              State
	Slow               bool // alive, and slow to answer
	Path               Path
	RTTUs              int64
	SinceAliveUs       int64 // how long ago it last proved to be alive
	Evidence           string
}

// Members is the table, the local member first, then by name.
func (t *Table) Members() []Member {
	lines := []Member{{Name: t.Self.Name, Zone: t.Self.Zone, Addr: t.Self.Addr, Nonce: t.Self.Nonce,
		Incarnation: t.Self.Incarnation, State: t.Self.State}}
	for _, name := range t.names {
		m := t.members[name]
		line := Member{
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
			line.Evidence = t.evidence(m)
		}
		lines = append(lines, line)
	}
	return lines
}

// View is the members that the rest of the program may count on.
type View struct {
	Number int64    // of changes at the local member
	Digest uint64   // the same wherever the same members are seen
	Names  []string // sorted
}

// View is the stable view.
func (t *Table) View() View { return t.view }

// membersChanged has the view rebuilt once the members settle.
func (t *Table) membersChanged() {
	t.membersChangedAt = t.now
	if t.viewStaleSince == 0 {
		t.viewStaleSince = t.now
	}
}

// updateView rebuilds a stale view once the members have settled, or after maxViewDelay.
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

// rebuildView makes the view of the members as they are; it reports whether that changed it.
func (t *Table) rebuildView() (changed bool) {
	digest := uint64(0)
	var names []string
	add := func(u *Update) {
		if u.State <= Suspect {
			names = append(names, u.Name)
			stable := *u
			stable.Incarnation = 0 // a refutation changes nothing for others
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

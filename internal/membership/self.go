package membership

// This file manages the local member's own name, incarnation and state: joining the cluster, a conflict with
// another process over the name, the refutation of suspicions, and leaving. Apart from New, no function in another
// file may change Self.

import (
	"fmt"
	"slices"
)

// The maximum number of peers in the settings that the local member pings at a time, depending on its situation.
const (
	peersPingedJoining  = 3
	peersPingedConflict = 2 // another process owns the local name
	peersPingedAlone    = 1 // no other member is alive or suspected
)

// nameReleaseTimeout is the time after which a conflict over the local name ends if no further update reports another
// process as the owner of the name.
const nameReleaseTimeout = 3 * joinTimeout

// maxLeaveNotices is the maximum number of members that the local member pings to announce that it leaves.
const maxLeaveNotices = 8

// admitted reports whether the local member has joined and no other process owns its name.
func (t *Table) admitted() bool { return !t.joining && t.conflictAt == 0 }

// awaitNameRelease pings peers periodically while another process owns the local name, to learn whether it still does.
// It ends the conflict after nameReleaseTimeout.
func (t *Table) awaitNameRelease() {
	if t.now-t.conflictAt > nameReleaseTimeout {
		t.conflictAt = 0 // no update has reported another process as the owner for nameReleaseTimeout
	}
	if t.now >= t.nextProbeAt {
		t.nextProbeAt = t.now + joinTimeout
		t.pingPeers(peersPingedConflict)
	}
}

// claimName announces the local name to peers while the local member joins. A peer objects if its table has
// another process with that name.
func (t *Table) claimName() {
	if t.now >= t.nextProbeAt {
		t.nextProbeAt = t.now + t.ProbeInterval
		t.pingPeers(peersPingedJoining)
	}
}

// pingPeers pings the next count peers in the settings, or all of them if there are fewer. After the last peer, it
// continues with the first.
func (t *Table) pingPeers(count int) {
	for range min(count, len(t.Peers)) {
		t.peerCursor++
		t.ping(t.Peers[t.peerCursor%len(t.Peers)].Name)
	}
}

// completeJoin records that the local member has joined. The caller ensures that no other process is known to own the
// local name.
func (t *Table) completeJoin() {
	t.joining = false
	t.report(Joined, t.Self.Name, t.Self.Zone, fmt.Sprintf("incarnation %d", t.Self.Incarnation))
}

// objectToName answers a ping from another process that claims the local name. The answer carries the update of the
// local process, which owns the name.
func (t *Table) objectToName(m *Message) {
	t.actions = append(t.actions, Send{Addr: m.Sender.Addr, Message: Message{
		Kind: Ack, To: m.Sender.Name, Sender: t.Self, Sequence: m.Sequence, Updates: []Update{t.Self},
	}})
}

// updateSelf handles an update with the local name. The update describes either this process or another process with
// the same name.
func (t *Table) updateSelf(u Update) {
	switch {
	case u.Nonce == t.Self.Nonce:
		t.refute(u)
	case u.State >= Dead || u.Addr == t.Self.Addr:
		// The other process no longer runs: it is dead or has left, or this process now uses its address.
		t.setIncarnation(max(t.Self.Incarnation, u.Incarnation+1))
		t.conflictAt = 0
	case t.joining || u.overrides(&t.Self):
		if t.conflictAt == 0 {
			t.report(NameConflict, u.Name, u.Zone,
				fmt.Sprintf("%s is held by the process at %s since its incarnation %d", u.Name, u.Addr, u.Incarnation))
		}
		t.conflictAt = t.now
	}
}

// refute raises the local incarnation above that of an update that wrongly reports this process as suspected, dead
// or departed. An update of a lower incarnation needs no refutation. Neither does the report of a departure that
// the local member has announced itself.
func (t *Table) refute(u Update) {
	outdated := u.Incarnation < t.Self.Incarnation
	announced := t.departing && u.State == Left
	if u.State == Alive || outdated || announced {
		return
	}
	t.setIncarnation(u.Incarnation + 1)
}

func (t *Table) setIncarnation(incarnation uint64) {
	if incarnation == t.Self.Incarnation {
		return
	}
	t.toggleDigest(&t.Self)
	t.Self.Incarnation = incarnation
	t.toggleDigest(&t.Self)
	t.membersChanged()
}

// Leave announces to up to maxLeaveNotices members that the local member leaves intentionally. Gossip informs the
// rest. Leave announces nothing if it was called before or if the local member is not admitted.
func (t *Table) Leave(now int64) []Action {
	t.now = now
	first := !t.departing
	t.departing = true
	if first && t.admitted() {
		t.Self.State = Left
		notified := slices.DeleteFunc(slices.Clone(t.names), func(name string) bool {
			return t.members[name].State > Suspect
		})
		t.rng.Shuffle(len(notified), func(i, j int) { notified[i], notified[j] = notified[j], notified[i] })
		for _, name := range notified[:min(len(notified), maxLeaveNotices)] {
			t.ping(name)
		}
	}
	return t.takeActions()
}

package membership

// This file owns the local member's own name, incarnation and state: joining, a conflict over
// the name with another process, refutation, leaving. No other file may change Self.

import (
	"fmt"
	"slices"
)

// How many peers of the settings are pinged at a time.
const (
	peersPingedJoining  = 3
	peersPingedConflict = 2
	peersPingedAlone    = 1
)

// nameReleaseTimeout is after how long without a claim by the other process a conflict over the name is over.
const nameReleaseTimeout = 3 * joinTimeout

// maxLeaveNotices bounds the members that the local one pings to announce that it leaves.
const maxLeaveNotices = 8

// admitted reports whether the local name is agreed: the member has joined, and nobody else owns the name.
func (t *Table) admitted() bool { return !t.joining && t.conflictAt == 0 }

// awaitName pings peers now and then while another process owns the name, to learn whether it still does.
func (t *Table) awaitName() {
	if t.now-t.conflictAt > nameReleaseTimeout {
		t.conflictAt = 0 // nobody claims the name for the other any more
	}
	if t.now >= t.nextProbeAt {
		t.nextProbeAt = t.now + joinTimeout
		t.pingPeers(peersPingedConflict)
	}
}

// claimName announces the name at the start: a member objects if its table has another process of that name.
func (t *Table) claimName() {
	if t.now >= t.nextProbeAt {
		t.nextProbeAt = t.now + t.ProbeInterval
		t.pingPeers(peersPingedJoining)
	}
}

// pingPeers pings the next few peers of the settings: a start pings few, however many are named.
func (t *Table) pingPeers(count int) {
	for range min(count, len(t.Peers)) {
		t.peerCursor++
		t.ping(t.Peers[t.peerCursor%len(t.Peers)].Name)
	}
}

// completeJoin ends the start: nobody else owns the name.
func (t *Table) completeJoin() {
	t.joining = false
	t.report(Joined, t.Self.Name, t.Self.Zone, fmt.Sprintf("incarnation %d", t.Self.Incarnation))
}

// objectToName answers another process that claims the local name: it sends the update of this process, which
// owns the name.
func (t *Table) objectToName(m *Message) {
	t.actions = append(t.actions, Send{Addr: m.Sender.Addr, Message: Message{
		Kind: Ack, To: m.Sender.Name, Sender: t.Self, Sequence: m.Sequence, Updates: []Update{t.Self},
	}})
}

// updateSelf takes an update of the local name: of this process, or of another under the same name.
func (t *Table) updateSelf(u Update) {
	switch {
	case u.Nonce == t.Self.Nonce:
		t.refute(u)
	case u.State >= Dead || u.Addr == t.Self.Addr:
		// The process before is gone: it is known to be, or this one owns its address.
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

// refute outbids an update that says otherwise of this process than it says itself.
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

// Leave announces to some of the others that the local member leaves on purpose; gossip reaches the rest.
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

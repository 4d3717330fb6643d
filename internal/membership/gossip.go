package membership

// This file disseminates updates. Each message carries recent updates; an update is sent a number of times that
// depends on the size of the cluster. If the digests in a ping differ from the local ones, the answer also carries
// a page, which is a part of the local table.

import (
	"math/bits"
	"slices"
)

// broadcast is an entry in the queue of updates to disseminate. It holds the name of a member but no update: each
// transmission sends the update that the table then has of the member.
type broadcast struct {
	name      string // name of the member
	transmits int    // number of times that the update was sent, or was skipped because the receiver has it
}

// minPageSpace is the approximate size in bytes of an update with short names and without confirmations. packPage adds
// updates to a datagram only while more than this number of bytes is free.
const minPageSpace = 64

// disseminate queues the update of a member for dissemination. It replaces an earlier entry of the member, so the
// number of transmits starts at 0 again.
func (t *Table) disseminate(name string) {
	t.broadcasts = slices.DeleteFunc(t.broadcasts, func(b *broadcast) bool { return b.name == name })
	t.broadcasts = append(t.broadcasts, &broadcast{name: name})
}

// transmitLimit returns the number of transmits after which an update is no longer disseminated. It grows with the
// logarithm of the number of members in the table, including dead and departed ones.
func (t *Table) transmitLimit() int { return 2 * bits.Len(uint(len(t.names)+1)) }

// updateOf returns the update of a member to send, with at most MaxConfirmations confirmations. It returns false
// if the member is unknown, or if it is the local member and is not admitted (see admitted).
func (t *Table) updateOf(name string) (Update, bool) {
	if name == t.Self.Name {
		return t.Self, t.admitted()
	}
	m := t.members[name]
	if m == nil {
		return Update{}, false
	}
	u := m.Update
	if len(u.Confirmations) > MaxConfirmations {
		u.Confirmations = u.Confirmations[:MaxConfirmations]
	}
	return u, true
}

// sendToMember sends a message to a member. It does nothing if the member's address is unknown.
func (t *Table) sendToMember(to string, m Message) {
	if address := t.addressOf(to); address != "" {
		t.sendToAddress(address, to, m, 0)
	}
}

// sendToAddress sets the receiver and the sender of a message, adds updates to it, and sends it. To a ping it also
// adds the digests. The update about the receiver comes first in an ack, and in every message to a receiver that is
// suspected, dead or departed, because only the receiver can refute this update. buckets is a bit mask of the buckets
// whose digests in the receiver's ping differ from the local ones. If it is not 0, a page is added too.
func (t *Table) sendToAddress(address, to string, m Message, buckets uint32) {
	m.To, m.Sender, m.Joining = to, t.Self, !t.admitted()
	if m.Kind == Ping {
		m.Digests = slices.Clone(t.digests[:])
	}
	p := packer{table: t, message: m, free: MaxDatagramSize - MaxNameLength - m.Size()}
	if receiver := t.members[to]; receiver != nil && (receiver.State != Alive || m.Kind == Ack) {
		p.add(to)
	}
	t.packBroadcasts(&p, buckets)
	if buckets != 0 {
		t.packPage(&p, buckets)
	}
	t.actions = append(t.actions, Send{Addr: address, Message: p.message})
}

// packBroadcasts adds queued updates to a message in the order of the queue. It then removes the updates that reached
// the transmit limit from the queue, and sorts the queue by the number of transmits, the fewest first.
func (t *Table) packBroadcasts(p *packer, buckets uint32) {
	inSync := p.message.Kind == Ack && buckets == 0 // the digests in the receiver's ping matched the local ones
	// pageSpace is the space in bytes that is reserved for the page. Without this reservation, the broadcasts would
	// fill the datagram when all members of a zone change.
	pageSpace := 0
	if buckets != 0 {
		pageSpace = p.free / 2
	}
	for i := 0; i < len(t.broadcasts) && p.free > pageSpace; i++ {
		b := t.broadcasts[i]
		if m := t.members[b.name]; inSync && m != nil && m.State == Alive {
			b.transmits++ // the receiver already has the update
		} else if p.add(b.name) {
			b.transmits++
		}
	}
	limit := t.transmitLimit()
	t.broadcasts = slices.DeleteFunc(t.broadcasts, func(b *broadcast) bool {
		return b.transmits >= limit || b.name == t.Self.Name
	})
	slices.SortStableFunc(t.broadcasts, func(a, b *broadcast) int { return a.transmits - b.transmits })
}

// packPage adds a page to a message: the updates of alive or suspected members in the given buckets. It continues
// after the member that was considered last for the previous page, even if that page was sent to another receiver. It
// stops when at most minPageSpace bytes are free or all members have been considered.
func (t *Table) packPage(p *packer, buckets uint32) {
	for n := 0; n < len(t.names) && p.free > minPageSpace; n++ {
		t.pageCursor = (t.pageCursor + 1) % len(t.names)
		m := t.members[t.names[t.pageCursor]]
		if m.State <= Suspect && buckets&(1<<digestBucket(m.Name)) != 0 {
			p.add(m.Name)
		}
	}
}

// packer adds updates to a message.
type packer struct {
	table   *Table
	message Message
	free    int // free space in bytes
}

// add adds the update of a member and reports whether it did. It adds nothing if the member is unknown or is the local
// member, if the message already has an update of the member, or if the update does not fit.
func (p *packer) add(name string) bool {
	u, ok := p.table.updateOf(name)
	packed := slices.ContainsFunc(p.message.Updates, func(other Update) bool { return other.Name == name })
	if !ok || packed || name == p.table.Self.Name {
		return false
	}
	size := u.size()
	if size > p.free {
		return false
	}
	p.free -= size
	p.message.Updates = append(p.message.Updates, u)
	return true
}

package membership

// This file owns dissemination: each message carries the updates that are still new to the cluster, each as
// often as a cluster of its size needs, and pages of the table to a member whose digests differ.

import (
	"math/bits"
	"slices"
)

// broadcast is an update that waits to be passed on.
type broadcast struct {
	name      string
	transmits int
}

// minUpdateSize is below which free space in a datagram no further member of a page is tried.
const minUpdateSize = 64

// disseminate has what is now believed of a member passed on.
func (t *Table) disseminate(name string) {
	t.broadcasts = slices.DeleteFunc(t.broadcasts, func(b *broadcast) bool { return b.name == name })
	t.broadcasts = append(t.broadcasts, &broadcast{name: name})
}

// transmitLimit is how often an update is passed on.
func (t *Table) transmitLimit() int { return 2 * bits.Len(uint(len(t.names)+1)) }

// updateOf is the update of a member; false where there is none to pass on.
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

// sendToMember sends a message to a member, if its address is known.
func (t *Table) sendToMember(to string, m Message) {
	if address := t.addressOf(to); address != "" {
		t.sendToAddress(address, to, m, 0)
	}
}

// sendToAddress sends a message, filled up with updates: first the one of the receiver itself, which only it
// can refute. In buckets are the digest buckets in which the receiver's table differs, as far as is known.
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

// packBroadcasts adds the broadcasts that were passed on least, and drops those that were often enough.
func (t *Table) packBroadcasts(p *packer, buckets uint32) {
	inSync := p.message.Kind == Ack && buckets == 0 // the digests in the receiver's ping were the same
	pageSpace := 0                                  // bytes: the broadcasts of an entire zone would leave the page none
	if buckets != 0 {
		pageSpace = p.free / 2
	}
	for i := 0; i < len(t.broadcasts) && p.free > pageSpace; i++ {
		b := t.broadcasts[i]
		if m := t.members[b.name]; inSync && m != nil && m.State == Alive {
			b.transmits++ // the receiver has it
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

// packPage adds the next members of the buckets that differ.
func (t *Table) packPage(p *packer, buckets uint32) {
	for n := 0; n < len(t.names) && p.free > minUpdateSize; n++ {
		t.pageCursor = (t.pageCursor + 1) % len(t.names)
		m := t.members[t.names[t.pageCursor]]
		if m.State <= Suspect && buckets&(1<<digestBucket(m.Name)) != 0 {
			p.add(m.Name)
		}
	}
}

// packer fills a message with updates.
type packer struct {
	table   *Table
	message Message
	free    int // bytes
}

// add adds the update of a member, once; false where it has no space or is not to be passed on.
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

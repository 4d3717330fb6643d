package membership

// This file owns what is passed on: the rumours that are still news, each as often as a
// fleet of its size needs, and pages of the whole table to whoever believes otherwise.

import (
	"encoding/binary"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// reachedByRelay is a rumour that is news.
type broadcast struct {
	name  string
	transmits int
}

// disseminate passes on what is now believed of an instance.
func (t *Table) disseminate(name string) {
	t.broadcasts = slices.DeleteFunc(t.broadcasts, func(q *broadcast) bool { return q.name == name })
	t.broadcasts = append(t.broadcasts, &broadcast{name: name})
}

// updateOf is what is believed of an instance, and whether anything is.
func (t *Table) updateOf(name string) (Update, bool) {
	if name == t.Self.Name {
		return t.Self, t.conflictAt == 0 && !t.joining
	}
	m := t.members[name]
	if m == nil {
		return Update{}, false
	}
	r := m.Update
	if len(r.Confirmations) > MaxConfirmations {
		r.Confirmations = r.Confirmations[:MaxConfirmations]
	}
	return r, true
}

// sendToMember sends a message to an instance, filled up with news: first what is said of the
// receiver itself, which only it can refute.
func (t *Table) sendToMember(to string, m Message) {
	if addr := t.addressOf(to); addr != "" {
		t.sendToAddress(addr, to, m, 0)
	}
}

// sendToAddress is send to an address; shelves are those of which the receiver believes otherwise.
func (t *Table) sendToAddress(addr, to string, m Message, shelves uint32) {
	m.To, m.Sender, m.Joining = to, t.Self, t.joining || t.conflictAt > 0
	if m.Kind == Ping {
		m.Digests = slices.Clone(t.digests[:])
	}
	room := MaxDatagramSize - MaxNameLength - m.Size()
	add := func(name string) bool {
		r, ok := t.updateOf(name)
		if !ok || name == t.Self.Name || slices.ContainsFunc(m.Updates, func(o Update) bool { return o.Name == name }) {
			return false
		}
		if n := r.size(); n <= room {
			room -= n
			m.Updates = append(m.Updates, r)
			return true
		}
		return false
	}
	if o := t.members[to]; o != nil && (o.State != Alive || m.Kind == Ack) {
		add(to)
	}
	most := 2 * bits.Len(uint(len(t.names)+1))
	level := m.Kind == Ack && shelves == 0 // the receiver's Ping showed no other belief
	keep := 0                              // for the shelves: news of a whole zone would leave them no room
	if shelves > 0 {
		keep = room / 2
	}
	for i := 0; i < len(t.broadcasts) && room > keep; i++ {
		q := t.broadcasts[i]
		if o := t.members[q.name]; level && o != nil && o.State == Alive {
			q.transmits++ // it believes the same already
		} else if add(q.name) {
			q.transmits++
		}
	}
	t.broadcasts = slices.DeleteFunc(t.broadcasts, func(q *broadcast) bool { return q.transmits >= most || q.name == t.Self.Name })
	slices.SortStableFunc(t.broadcasts, func(a, b *broadcast) int { return a.transmits - b.transmits })
	for n := 0; shelves > 0 && n < len(t.names) && room > 64; n++ {
		t.pageCursor = (t.pageCursor + 1) % len(t.names)
		if o := t.members[t.names[t.pageCursor]]; o.State <= Suspect && shelves&(1<<digestBucket(o.Name)) != 0 {
			add(o.Name)
		}
	}
	t.actions = append(t.actions, Send{Addr: addr, Message: m})
}

// digestBucket is where a name falls.
func digestBucket(name string) int { return int(xxhash.Sum64String(name) % DigestBuckets) }

// toggleDigest puts a member into the digest of its shelf, or takes it out again.
func (t *Table) toggleDigest(r *Update) {
	h := fingerprint(r)
	t.digests[digestBucket(r.Name)] ^= uint32(h ^ h>>32)
}

// fingerprint is what a member adds to a digest: two tables of the same members, lives and
// incarnations have the same one, in whatever order they learned of them.
func fingerprint(r *Update) uint64 {
	if r.State > Suspect {
		return 0
	}
	var b [MaxNameLength + 16]byte
	n := binary.PutUvarint(b[:], r.Incarnation)
	text := append(binary.LittleEndian.AppendUint64(b[:n], r.Life), r.Name...)
	return xxhash.Sum64(text)
}

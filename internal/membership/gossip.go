package membership

// This file owns what is passed on: the rumours that are still news, each as often as a
// fleet of its size needs, and pages of the whole table to whoever believes otherwise.

import (
	"encoding/binary"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// told is a rumour that is news.
type told struct {
	name  string
	times int
}

// news passes on what is now believed of an instance.
func (t *Table) news(name string) {
	t.queue = slices.DeleteFunc(t.queue, func(q *told) bool { return q.name == name })
	t.queue = append(t.queue, &told{name: name})
}

// rumour is what is believed of an instance, and whether anything is.
func (t *Table) rumour(name string) (Update, bool) {
	if name == t.Self.Name {
		return t.Self, t.barred == 0 && !t.joining
	}
	m := t.members[name]
	if m == nil {
		return Update{}, false
	}
	r := m.Update
	if len(r.Witnesses) > WitnessMost {
		r.Witnesses = r.Witnesses[:WitnessMost]
	}
	return r, true
}

// send sends a message to an instance, filled up with news: first what is said of the
// receiver itself, which only it can refute.
func (t *Table) send(to string, m Message) {
	if addr := t.reach(to); addr != "" {
		t.sendTo(addr, to, m, 0)
	}
}

// sendTo is send to an address; shelves are those of which the receiver believes otherwise.
func (t *Table) sendTo(addr, to string, m Message, shelves uint32) {
	m.To, m.Self, m.Joining = to, t.Self, t.joining || t.barred > 0
	if m.Kind == Ping {
		m.Digests = slices.Clone(t.digests[:])
	}
	room := DatagramMost - NameMost - m.Size()
	add := func(name string) bool {
		r, ok := t.rumour(name)
		if !ok || name == t.Self.Name || slices.ContainsFunc(m.Rumours, func(o Update) bool { return o.Name == name }) {
			return false
		}
		if n := r.size(); n <= room {
			room -= n
			m.Rumours = append(m.Rumours, r)
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
	for i := 0; i < len(t.queue) && room > keep; i++ {
		q := t.queue[i]
		if o := t.members[q.name]; level && o != nil && o.State == Alive {
			q.times++ // it believes the same already
		} else if add(q.name) {
			q.times++
		}
	}
	t.queue = slices.DeleteFunc(t.queue, func(q *told) bool { return q.times >= most || q.name == t.Self.Name })
	slices.SortStableFunc(t.queue, func(a, b *told) int { return a.times - b.times })
	for n := 0; shelves > 0 && n < len(t.names) && room > 64; n++ {
		t.page = (t.page + 1) % len(t.names)
		if o := t.members[t.names[t.page]]; o.State <= Suspect && shelves&(1<<shelf(o.Name)) != 0 {
			add(o.Name)
		}
	}
	t.acts = append(t.acts, Send{Addr: addr, Message: m})
}

// shelf is where a name falls.
func shelf(name string) int { return int(xxhash.Sum64String(name) % Shelves) }

// shelve puts a member into the digest of its shelf, or takes it out again.
func (t *Table) shelve(r *Update) {
	h := mark(r)
	t.digests[shelf(r.Name)] ^= uint32(h ^ h>>32)
}

// mark is what a member adds to a digest: two tables of the same members, lives and
// incarnations have the same one, in whatever order they learned of them.
func mark(r *Update) uint64 {
	if r.State > Suspect {
		return 0
	}
	var b [NameMost + 16]byte
	n := binary.PutUvarint(b[:], r.Incarnation)
	text := append(binary.LittleEndian.AppendUint64(b[:n], r.Life), r.Name...)
	return xxhash.Sum64(text)
}

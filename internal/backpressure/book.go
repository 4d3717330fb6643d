package backpressure

// This file owns what is remembered of callers: a table of fixed size. A caller is
// known by 32 bits of its key's hash within a bucket of eight, so one that never
// asked is taken for another with a chance of at most 8 in 2^32 at each ask. Where a
// bucket is full, the one told longest ago makes room: it is then taken as new.

const (
	ways = 8
	// tickUs is the grain of the times kept; they are told apart for half of 65,536
	// ticks, some 54 minutes. staleTicks is when a caller is taken to be another: no
	// owner asks for so long.
	tickUs     = int64(100_000)
	staleTicks = 6000 // ten minutes
	unitScale  = 16.0
	unitMost   = 255
)

// entry is a caller: 12 bytes.
type entry struct {
	mark  uint32 // 0: none
	first uint16 // tick of the first ask
	told  uint16 // tick of the last refusal
	place uint16 // slot, in ticks after told, class, and whether it is booked
	wait  uint8  // ticks that it was told to stay away, 255 at most
	units uint8  // in sixteenths, 255 at most
}

const (
	slotBits  = 11 // more than slotsAll
	classBits = 4
	slotMask  = 1<<slotBits - 1
	classMask = 1<<classBits - 1
	bookedBit = 1 << (slotBits + classBits)
)

type book struct {
	entries []entry
	buckets uint64
}

func newBook(callers int) *book {
	n := uint64((callers + ways - 1) / ways)
	return &book{entries: make([]entry, n*ways), buckets: n}
}

// mix spreads keys, which may be numbered in order.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (b *book) bucket(key uint64) (mark uint32, es []entry) {
	h := mix(key)
	mark = max(1, uint32(h>>32))
	i := (h & (1<<32 - 1)) * b.buckets >> 32 * ways
	return mark, b.entries[i : i+ways]
}

// find returns a caller that was refused before, or nil.
func (b *book) find(key uint64) *entry {
	mark, es := b.bucket(key)
	for i := range es {
		if es[i].mark == mark {
			return &es[i]
		}
	}
	return nil
}

// keep returns a caller's entry, a new one where there is none: since is since when
// that stands in line, 0 for now.
func (b *book) keep(now int64, key uint64, since int64) *entry {
	mark, es := b.bucket(key)
	t := uint16(now / tickUs)
	var best *entry
	for i := range es {
		e := &es[i]
		if e.mark == mark && t-e.told < staleTicks {
			return e
		}
		if best == nil || e.age(t) > best.age(t) || e.mark == mark {
			best = e
		}
		if e.mark == mark {
			break
		}
	}
	first := t
	if ticks := (now - since) / tickUs; since > 0 && ticks > 0 && ticks < staleTicks {
		first -= uint16(ticks)
	}
	*best = entry{mark: mark, first: first, told: t}
	return best
}

func (e *entry) age(t uint16) int {
	if e.mark == 0 {
		return 1 << 16
	}
	return int(t - e.told)
}

// drop forgets a caller.
func (b *book) drop(key uint64) {
	if e := b.find(key); e != nil {
		*e = entry{}
	}
}

// ago turns a tick into a time at or before now.
func ago(now int64, tick uint16) int64 {
	return now - int64(uint16(now/tickUs)-tick)*tickUs
}

func (e *entry) since(now int64) int64  { return ago(now, e.first) }
func (e *entry) toldAt(now int64) int64 { return ago(now, e.told) }
func (e *entry) booked() bool           { return e.place&bookedBit != 0 }
func (e *entry) unbook()                { e.place &^= bookedBit }
func (e *entry) class() int             { return int(e.place >> slotBits & classMask) }
func (e *entry) load() float64          { return float64(e.units) / unitScale }
func (e *entry) advice() int64          { return int64(e.wait) * tickUs }

// slot is the slot that it was given, which may be past. Slots and ticks are of one
// length.
func (e *entry) slot(now int64) int64 {
	return now/tickUs - int64(uint16(now/tickUs)-e.told) + int64(e.place&slotMask)
}

// book notes a refusal now: the slot that was reserved and the advice that was given.
func (e *entry) book(now int64, class int, load float64, slot, wait int64) {
	e.told = uint16(now / tickUs)
	e.place = uint16(min(max(0, slot-now/tickUs), slotMask)) | uint16(class&classMask)<<slotBits | bookedBit
	e.wait = uint8(min(255, wait/tickUs))
	e.units = uint8(min(255, max(1, load*unitScale)))
}

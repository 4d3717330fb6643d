package backpressure

// This file owns the waitlist: the rejected clients that are expected back, in a table of
// fixed size. A client is recognised by 32 bits of its key's hash within a bucket of
// eight, so one that is new is taken for another with a chance of at most 8 in 2^32 at
// each request. In a full bucket a new client replaces the one that was rejected longest
// ago, which is then taken for new when it returns. The table must never grow.

const (
	bucketSize = 8
	// tickUs is the resolution of stored times. Ticks wrap after 65,536; times are
	// unambiguous for half of that, some 54 minutes.
	tickUs = int64(100_000)
	// staleTicks is the age at which an entry is taken for that of another client: ten
	// minutes, for which no client stays away.
	staleTicks = 6000
	// emptyAge is the age of an empty entry: older than any other.
	emptyAge = 1 << 16

	unitScale    = 16.0 // steps of a unit
	maxUnitSteps = 255  // steps
	maxWaitTicks = 255  // ticks
)

// entry is a rejected client: 12 bytes.
type entry struct {
	fingerprint  uint32 // 0: empty
	firstTick    uint16 // of the first request
	rejectedTick uint16 // of the last rejection
	packedSlot   uint16 // slot, in ticks after rejectedTick; class; hasSlotBit
	waitTicks    uint8  // Retry-After, at most maxWaitTicks
	unitSteps    uint8  // in 1/unitScale, at most maxUnitSteps
}

// The bits of entry.reservation.
const (
	slotBits   = 11 // more than calendarSlots
	classBits  = 4
	slotMask   = 1<<slotBits - 1
	classMask  = 1<<classBits - 1
	hasSlotBit = 1 << (slotBits + classBits)
)

// waitlist is a hash table of entries.
type waitlist struct {
	entries []entry
	buckets uint64
}

// newWaitlist returns a waitlist of at least so many clients.
func newWaitlist(clients int) *waitlist {
	buckets := uint64((clients + bucketSize - 1) / bucketSize)
	return &waitlist{entries: make([]entry, buckets*bucketSize), buckets: buckets}
}

// bucket returns the fingerprint of a key and the entries among which it is found.
func (w *waitlist) bucket(key uint64) (fingerprint uint32, entries []entry) {
	h := hash(key)
	fingerprint = max(1, uint32(h>>32))
	first := (h & (1<<32 - 1)) * w.buckets >> 32 * bucketSize
	return fingerprint, w.entries[first : first+bucketSize]
}

// find returns the entry of a client that was rejected before, or nil.
func (w *waitlist) find(key uint64) *entry {
	fingerprint, entries := w.bucket(key)
	for i := range entries {
		if entries[i].fingerprint == fingerprint {
			return &entries[i]
		}
	}
	return nil
}

// findOrAdd returns the entry of a client, a new one if there is none or it is stale. A
// new one is queued since queuedSince, or since now if that is 0.
func (w *waitlist) findOrAdd(now int64, key uint64, queuedSince int64) *entry {
	fingerprint, entries := w.bucket(key)
	tick := uint16(now / tickUs)
	var replaced *entry
	for i := range entries {
		e := &entries[i]
		if e.fingerprint == fingerprint {
			if tick-e.rejectedTick < staleTicks {
				return e
			}
			replaced = e
			break
		}
		if replaced == nil || e.age(tick) > replaced.age(tick) {
			replaced = e
		}
	}
	firstTick := tick
	if ticks := (now - queuedSince) / tickUs; queuedSince > 0 && ticks > 0 && ticks < staleTicks {
		firstTick -= uint16(ticks)
	}
	*replaced = entry{fingerprint: fingerprint, firstTick: firstTick, rejectedTick: tick}
	return replaced
}

// remove forgets a client.
func (w *waitlist) remove(key uint64) {
	if e := w.find(key); e != nil {
		*e = entry{}
	}
}

// age returns the ticks since the last rejection.
func (e *entry) age(tick uint16) int {
	if e.fingerprint == 0 {
		return emptyAge
	}
	return int(tick - e.rejectedTick)
}

// timeOfTick returns the time, at or before now, of a tick.
func timeOfTick(now int64, tick uint16) int64 {
	return now - int64(uint16(now/tickUs)-tick)*tickUs
}

func (e *entry) queuedSince(now int64) int64 { return timeOfTick(now, e.firstTick) }
func (e *entry) rejectedAt(now int64) int64  { return timeOfTick(now, e.rejectedTick) }
func (e *entry) hasSlot() bool               { return e.packedSlot&hasSlotBit != 0 }
func (e *entry) clearSlot()                  { e.packedSlot &^= hasSlotBit }
func (e *entry) class() int                  { return int(e.packedSlot >> slotBits & classMask) }
func (e *entry) units() float64              { return float64(e.unitSteps) / unitScale }
func (e *entry) retryAfter() int64           { return int64(e.waitTicks) * tickUs }

// slot returns the slot that was reserved last, which may be past.
func (e *entry) slot(now int64) int64 {
	rejected := now/tickUs - int64(uint16(now/tickUs)-e.rejectedTick)
	return rejected + int64(e.packedSlot&slotMask)
}

// recordRejection records a rejection now: its reserved slot and its Retry-After.
func (e *entry) recordRejection(now int64, class int, units float64, slot, wait int64) {
	e.rejectedTick = uint16(now / tickUs)
	slotsAhead := uint16(min(max(0, slot-now/tickUs), slotMask))
	e.packedSlot = slotsAhead | uint16(class&classMask)<<slotBits | hasSlotBit
	e.waitTicks = uint8(min(maxWaitTicks, wait/tickUs))
	e.unitSteps = uint8(min(maxUnitSteps, max(1, units*unitScale)))
}

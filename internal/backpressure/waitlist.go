package backpressure

// This file implements the waitlist: the rejected clients that are expected to return, in a
// hash table of fixed size. The table must never grow. The hash of a client's request key
// determines a bucket of eight entries and a fingerprint of 32 bits, which identifies the
// client within the bucket. A request of a new client is therefore mistaken for a request of
// another client with a probability of at most about 8 in 2^32. In a full bucket, a new
// client replaces the client that was rejected longest ago. When the replaced client returns
// without a retry token, it counts as new.

const (
	bucketSize = 8
	// tickUs is the resolution of stored times, in microseconds. The 16-bit tick numbers wrap
	// around after 65,536 ticks, so only the times of the last 109 minutes are unambiguous.
	tickUs = int64(100_000)
	// staleTicks is the age in ticks from which an entry is stale: ten minutes after the last
	// rejection. No client is expected to stay away for that long, so findOrAdd replaces a
	// stale entry even if its fingerprint matches. find does not check the age.
	staleTicks = 6000
	// emptyAge is the age of an empty entry. It is greater than the age of any other entry,
	// so that empty entries are replaced first.
	emptyAge = 1 << 16

	unitScale    = 16.0 // number of steps of entry.unitSteps in one unit
	maxUnitSteps = 255  // maximum of entry.unitSteps
	maxWaitTicks = 255  // maximum of entry.waitTicks
)

// entry describes a rejected client in 12 bytes.
type entry struct {
	fingerprint  uint32 // upper 32 bits of the key's hash, or 1 if they are 0; 0 for an empty entry
	firstTick    uint16 // tick since which the client is queued
	rejectedTick uint16 // tick of the last rejection
	packedSlot   uint16 // bit field: ticks from rejectedTick to the reserved slot, class, hasSlotBit
	waitTicks    uint8  // Retry-After in ticks, at most maxWaitTicks
	unitSteps    uint8  // requested units in steps of 1/unitScale, at most maxUnitSteps
}

// The bits of entry.packedSlot.
const (
	slotBits   = 11 // for the ticks to the slot, at most calendarSlots
	classBits  = 4
	slotMask   = 1<<slotBits - 1
	classMask  = 1<<classBits - 1
	hasSlotBit = 1 << (slotBits + classBits)
)

// waitlist is a hash table of entries, with bucketSize entries per bucket.
type waitlist struct {
	entries []entry
	buckets uint64
}

// newWaitlist returns an empty waitlist with room for at least the given number of clients.
func newWaitlist(clients int) *waitlist {
	buckets := uint64((clients + bucketSize - 1) / bucketSize)
	return &waitlist{entries: make([]entry, buckets*bucketSize), buckets: buckets}
}

// bucket returns the fingerprint of a key and the entries of its bucket.
func (w *waitlist) bucket(key uint64) (fingerprint uint32, entries []entry) {
	h := hash(key)
	fingerprint = max(1, uint32(h>>32))
	first := (h & (1<<32 - 1)) * w.buckets >> 32 * bucketSize
	return fingerprint, w.entries[first : first+bucketSize]
}

// find returns the entry with the fingerprint of a key, even if the entry is stale. It
// returns nil if there is none.
func (w *waitlist) find(key uint64) *entry {
	fingerprint, entries := w.bucket(key)
	for i := range entries {
		if entries[i].fingerprint == fingerprint {
			return &entries[i]
		}
	}
	return nil
}

// findOrAdd returns the entry of a client. If there is none or it is stale, findOrAdd adds a
// new entry. Its client then counts as queued since queuedSince. If queuedSince is 0, in the
// future or at least staleTicks in the past, the client counts as queued since now.
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

// remove removes a client.
func (w *waitlist) remove(key uint64) {
	if e := w.find(key); e != nil {
		*e = entry{}
	}
}

// age returns the number of ticks from the last rejection to tick, or emptyAge for an empty
// entry.
func (e *entry) age(tick uint16) int {
	if e.fingerprint == 0 {
		return emptyAge
	}
	return int(tick - e.rejectedTick)
}

// timeOfTick returns a time within the tick with the given number. Tick numbers wrap around,
// so several ticks have this number; timeOfTick uses the latest one that is not after now.
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

// slot returns the number of the calendar slot that the last rejection of the client
// reserved, or the tick of that rejection if it reserved none. The slot may be in the past.
func (e *entry) slot(now int64) int64 {
	rejected := now/tickUs - int64(uint16(now/tickUs)-e.rejectedTick)
	return rejected + int64(e.packedSlot&slotMask)
}

// recordRejection records a rejection at now with its class, units, reserved slot and
// Retry-After.
func (e *entry) recordRejection(now int64, class int, units float64, slot, wait int64) {
	e.rejectedTick = uint16(now / tickUs)
	slotsAhead := uint16(min(max(0, slot-now/tickUs), slotMask))
	e.packedSlot = slotsAhead | uint16(class&classMask)<<slotBits | hasSlotBit
	e.waitTicks = uint8(min(maxWaitTicks, wait/tickUs))
	e.unitSteps = uint8(min(maxUnitSteps, max(1, units*unitScale)))
}

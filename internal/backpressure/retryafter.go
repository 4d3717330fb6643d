package backpressure

// This file owns the computation of Retry-After: when there will be free capacity for a
// rejected request, which slot its client gets, and which Retry-After brings it
// back in that slot. It must never exceed the bounds in the settings.

const (
	// leadShare is the share of a client's timeout by which it is to return ahead of its
	// place: it is then pending, and takes up what others leave.
	leadShare = 0.6
	// floorShare is the share of the release rate that lower priorities get while higher
	// ones wait, so that none starves.
	floorShare = 0.15
	// spreadShare is the share of the longest Retry-After over which returns are spread.
	spreadShare = 0.3
	// overbooking is by how much a slot may be overbooked for a program with few reserved
	// units, beside programs with many.
	overbooking = 1.25

	// complianceWeight is the weight of one return in the compliance of a class.
	complianceWeight = 1.0 / 32
	// minCompliance bounds the correction of Retry-After: below it, a longer Retry-After
	// would not keep clients away for longer.
	minCompliance = 0.25
	// ignoredShare is the share of Retry-After below which a return ignored it.
	ignoredShare = 0.2
	// minLearnedRetryAfterUs is the shortest Retry-After that compliance is learned from:
	// below it, clients stay away for reasons of their own.
	minLearnedRetryAfterUs = 3 * second / 2

	// unknownRateWaitUs is the shortest Retry-After while the release rate is unknown, and
	// twice that is the range that is drawn from beyond it.
	unknownRateWaitUs = knownAfterUs
)

// Rejected returns the Retry-After of a request that is rejected now: until shortly
// before there is free capacity for it, within the bounds in the settings.
func (c *Controller) Rejected(now int64, r Request) (retryAfterUs int64) {
	c.advance(now)
	c.detector.rejected(now)
	class := c.class(r)
	e := c.waitlist.findOrAdd(now, r.Key, r.QueuedSinceUs)
	if e.hasSlot() { // rejected twice over without a request between
		c.freeSlot(now, r.Program, e)
	}
	rate := c.releases.rate(now)
	if rate <= 0 {
		return c.rejectedAtUnknownRate(now, class, r.Units, e)
	}
	slot := c.reserveSlot(now, class, r, e, rate)
	wait := c.retryAfter(slot*slotUs-now, class)
	e.recordRejection(now, class, r.Units, slot, wait)
	return wait
}

// rejectedAtUnknownRate draws a Retry-After by which the release rate may be known, and
// reserves nothing.
func (c *Controller) rejectedAtUnknownRate(now int64, class int, units float64, e *entry) int64 {
	wait := min(unknownRateWaitUs+c.rng.Int64N(2*unknownRateWaitUs), c.settings.MaxRetryAfterUs)
	e.recordRejection(now, class, units, now/slotUs, wait)
	e.clearSlot()
	return wait
}

// reserveSlot reserves a slot for a rejected request at a known release rate. A client that
// returned ahead of its slot keeps it.
func (c *Controller) reserveSlot(now int64, class int, r Request, e *entry, rate float64) (slot int64) {
	bucket := hashBucket(r.Program)
	belowShare := c.fairness.belowShare(bucket)
	c.fairness.add(bucket, r.Units)
	start := c.expectedStart(now, class, bucket, r.Units, rate)
	returnAt := start - int64(float64(r.TimeoutUs)*leadShare)
	slot = e.slot(now)
	if at := slot * slotUs; at > now && at < returnAt {
		c.calendar.add(slot, class, r.Units)
		return slot
	}
	if belowShare {
		rate *= overbooking
	}
	return c.calendar.reserve(now, max(now, returnAt), class, r.Units, rate)
}

// freeSlot frees the reserved slot of e, which belongs to a client of a program.
func (c *Controller) freeSlot(now int64, program uint64, e *entry) {
	c.calendar.cancel(e.class(), e.slot(now), e.units())
	c.fairness.add(hashBucket(program), -e.units())
}

// expectedStart returns when there is free capacity for units of a class: after what is
// pending and what has reserved slots, as far as either goes first.
func (c *Controller) expectedStart(now int64, class, bucket int, units, rate float64) int64 {
	priority := c.settings.Classes[class].Priority
	var pending, reserved, lower float64
	for i := range c.pending {
		if c.settings.Classes[i].Priority >= priority {
			pending += c.pending[i]
			reserved += c.calendar.total(i)
		} else {
			lower += c.pending[i] + c.calendar.total(i)
		}
	}
	ahead := pending + c.fairness.ahead(bucket, reserved+units)
	aheadRate := rate
	if lower > 0 {
		aheadRate *= 1 - floorShare
	}
	// The floor of a class serves this class alone.
	own := c.pending[class] + c.calendar.total(class) + units
	delay := min(ahead/aheadRate, own/(rate*floorShare)) // seconds
	return now + int64(delay*float64(second))
}

// retryAfter returns the Retry-After for a return in so many microseconds. It corrects for
// the compliance of the class.
func (c *Controller) retryAfter(returnIn int64, class int) int64 {
	wait := int64(float64(max(0, returnIn)) / max(minCompliance, c.compliance[class]))
	if longest := c.settings.MaxRetryAfterUs; wait > longest {
		// The time itself is out of bounds: they return early, spread out.
		return longest - int64(c.rng.Float64()*spreadShare*float64(longest))
	}
	return max(wait, min(c.settings.MinRetryAfterUs, c.settings.MaxRetryAfterUs))
}

// learnCompliance learns from a return how much of its Retry-After the client stayed away.
func (c *Controller) learnCompliance(now int64, class int, e *entry) {
	retryAfter := e.retryAfter()
	if retryAfter < minLearnedRetryAfterUs {
		return
	}
	share := float64(now-e.rejectedAt(now)) / float64(retryAfter)
	if share < ignoredShare {
		// A client that ignores Retry-After stays away no longer by a longer one, and must
		// not lengthen that of the others.
		return
	}
	c.compliance[class] += (min(1, share) - c.compliance[class]) * complianceWeight
}

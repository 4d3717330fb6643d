package backpressure

// This file computes Retry-After in three steps. It estimates when free capacity for a
// rejected request is expected, reserves a slot for the client, and derives the Retry-After
// with which the client returns in that slot. Retry-After never exceeds the upper bound in
// the settings.

const (
	// leadShare is the fraction of a client's timeout by which the client returns before its task is expected
	// to start. Its request is therefore already pending before the expected start, and can use capacity that
	// other clients leave unused.
	leadShare = 0.6
	// floorShare is the fraction of the release rate that lower priorities get while
	// requests of higher priorities wait, so that no class starves.
	floorShare = 0.15
	// spreadShare is a fraction of the maximum Retry-After. If a computed Retry-After exceeds
	// the maximum, the client gets a random one instead, from (1 - spreadShare) times the
	// maximum up to the maximum, so that such clients do not all return at once.
	spreadShare = 0.3
	// overbooking is the factor by which the capacity of a slot is raised for a program that
	// has reserved less than half of the mean of all active programs.
	overbooking = 1.25

	// complianceWeight is the weight of one return in the moving average of the compliance
	// of a class.
	complianceWeight = 1.0 / 32
	// minCompliance is the lower bound of the compliance by which a Retry-After is divided. The division
	// lengthens Retry-After for classes whose clients return early. Clients of lower compliance would not stay
	// away for longer with a longer Retry-After.
	minCompliance = 0.25
	// ignoredShare is a fraction of Retry-After. A client that returns before this fraction
	// has passed is considered to have ignored Retry-After.
	ignoredShare = 0.2
	// minLearnedRetryAfterUs is the minimum Retry-After from which compliance is learned. A
	// shorter Retry-After does not determine how long clients stay away.
	minLearnedRetryAfterUs = 3 * second / 2

	// unknownRateWaitUs is the minimum Retry-After before the release rate is known for the
	// first time. A random time of up to twice this value is added to it, and the upper bound
	// in the settings limits the sum.
	unknownRateWaitUs = knownAfterUs
)

// Rejected records the rejection of a request and returns its Retry-After. The client is to
// return shortly before free capacity for the request is expected. Retry-After is random if
// no release rate has been known yet, or if Retry-After would exceed its upper bound.
func (c *Controller) Rejected(now int64, r Request) (retryAfterUs int64) {
	c.advance(now)
	c.detector.rejected(now)
	class := c.class(r)
	e := c.waitlist.findOrAdd(now, r.Key, r.QueuedSinceUs)
	if e.hasSlot() { // rejected twice without a request in between, so the earlier slot is freed
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

// rejectedAtUnknownRate records a rejection before the release rate is known for the first time.
// It reserves no slot. It returns a random Retry-After, by the end of which the rate may be
// known.
func (c *Controller) rejectedAtUnknownRate(now int64, class int, units float64, e *entry) int64 {
	wait := min(unknownRateWaitUs+c.rng.Int64N(2*unknownRateWaitUs), c.settings.MaxRetryAfterUs)
	e.recordRejection(now, class, units, now/slotUs, wait)
	e.clearSlot()
	return wait
}

// reserveSlot reserves a slot for a rejected request at a known release rate. A client
// that returned before its slot keeps the slot if the slot begins after now and before
// the time at which the client would otherwise return.
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

// freeSlot frees the reserved slot of the client with entry e, whose task belongs to the
// given program.
func (c *Controller) freeSlot(now int64, program uint64, e *entry) {
	c.calendar.cancel(e.class(), e.slot(now), e.units())
	c.fairness.add(hashBucket(program), -e.units())
}

// expectedStart returns the time at which free capacity is expected for a request of the given class and units whose
// program is in the given hash bucket. Capacity first goes to pending units of classes with at least the same
// priority, and to reserved units of such classes up to the limit of fairShare.ahead. The expected wait is at most
// the time in which floorShare of the release rate frees capacity for all pending and reserved units of the class and
// for the request itself.
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
	// A class gets at least floorShare of the release rate. The estimate assumes that no other
	// class uses this fraction.
	own := c.pending[class] + c.calendar.total(class) + units
	delay := min(ahead/aheadRate, own/(rate*floorShare)) // in seconds
	return now + int64(delay*float64(second))
}

// retryAfter returns the Retry-After with which a client is expected to return in returnIn
// microseconds, corrected for the compliance of the class. The result is within the bounds in
// the settings, but a random result (see spreadShare) may be less than the lower bound.
func (c *Controller) retryAfter(returnIn int64, class int) int64 {
	wait := int64(float64(max(0, returnIn)) / max(minCompliance, c.compliance[class]))
	if longest := c.settings.MaxRetryAfterUs; wait > longest {
		// The computed Retry-After exceeds its upper bound, so the client is expected to return
		// before its slot. Retry-After is random, so that such clients do not all return at once.
		return longest - int64(c.rng.Float64()*spreadShare*float64(longest))
	}
	return max(wait, min(c.settings.MinRetryAfterUs, c.settings.MaxRetryAfterUs))
}

// learnCompliance updates the compliance of a class with the fraction of Retry-After for
// which a returning client stayed away.
func (c *Controller) learnCompliance(now int64, class int, e *entry) {
	retryAfter := e.retryAfter()
	if retryAfter < minLearnedRetryAfterUs {
		return
	}
	share := float64(now-e.rejectedAt(now)) / float64(retryAfter)
	if share < ignoredShare {
		// A client that ignores Retry-After would not stay away for longer with a longer one,
		// and must not lengthen the Retry-After of other clients.
		return
	}
	c.compliance[class] += (min(1, share) - c.compliance[class]) * complianceWeight
}

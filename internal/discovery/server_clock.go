package discovery

// This file estimates the system clock of discovery from the Date headers of its responses (RFC 9110, section 6.6.1) or, if it
// sends none, from the starts of workers that it reports. The start times of workers are times of that clock. The system's
// clock of this host may have been set wrongly, even before the process started.

const (
	// dateResolution is the resolution of a Date header, in microseconds.
	dateResolution = 1 * second
	// maxTransit is the time that a response is assumed to take at most, in microseconds.
	maxTransit = 250 * millisecond
	// maxReportDelay is the time from a start of a worker to the report of it, at most, in microseconds. Discovery may be
	// seconds late, and away for some seconds.
	maxReportDelay = 20 * second
)

// serverClock bounds the difference between the system clock of discovery and the clock of the event loop, in
// microseconds. The zero value knows nothing.
type serverClock struct {
	known       bool
	least, most int64
}

// observe records the date of a response, in microseconds, that was received at a time of the loop's clock. Each response
// narrows the bounds, until discovery's clock steps.
func (c *serverClock) observe(date, receivedAt int64) {
	c.narrow(date-receivedAt, dateResolution+maxTransit)
}

// observeStart records the start time of a worker, in microseconds, that was reported for the first time at a time of the
// loop's clock.
func (c *serverClock) observeStart(start, reportedAt int64) {
	c.narrow(start-reportedAt, maxReportDelay)
}

// narrow narrows the bounds to differences from least to least plus width.
func (c *serverClock) narrow(least, width int64) {
	bounds := serverClock{known: true, least: least, most: least + width}
	if c.known {
		bounds.least, bounds.most = max(least, c.least), min(bounds.most, c.most)
	}
	if bounds.least > bounds.most { // the clock has stepped
		bounds.least, bounds.most = least, least+width
	}
	*c = bounds
}

// isCoarse reports whether the bounds are wider than a Date header makes them.
func (c *serverClock) isCoarse() bool { return c.known && c.most-c.least > dateResolution+maxTransit }

// contradictsStart reports whether a difference of this host's system clock to the loop's clock can't be right, as it makes
// a start that was reported for the first time at a time of the loop's clock too old, or one that is still to come.
func contradictsStart(offset, start, reportedAt int64) bool {
	age := reportedAt + offset - start
	return age > maxReportDelay || age < -maxClockSkew
}

// correct returns the difference of this host's system clock to the loop's clock, or the least difference of discovery's
// clock if this host's clock contradicts it or the bounds are coarse. Start times are then rather too late than too early.
func (c *serverClock) correct(offset int64) int64 {
	if c.isCoarse() || c.known && (offset < c.least || offset > c.most) {
		return c.least
	}
	return offset
}

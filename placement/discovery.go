package placement

// This file owns the schedule of polls of the discovery service. It must not read worker lists.

const (
	// maxInitialDelay is the maximum time from the first call of Scheduler.Handle to the first poll.
	maxInitialDelay = 200 * millisecond
	// minPollInterval is the minimum time between two polls if no list and no failure arrives between them.
	minPollInterval = second
	// pollJitter is the maximum random time added to the time between two polls.
	pollJitter = second
	// initialBackoff is the backoff before any doubling. Each poll and each failure since the last list
	// that was not cached doubles the backoff.
	initialBackoff = 250 * millisecond
	// maxBackoffDoublings is the maximum number of times that the backoff doubles.
	maxBackoffDoublings = 5
)

// discovery schedules polls of the discovery service if the service responds only to polls.
type discovery struct {
	*environment
	pollAt   int64 // time of the next poll, in microseconds; 0: none is scheduled
	attempts int   // number of polls and failures since the last list that was not cached
}

// start schedules the first poll.
func (d *discovery) start() { d.pollAt = d.now + d.jitter(maxInitialDelay) }

// recordList schedules the next poll after a failure. A list that is not cached cancels the scheduled poll.
// A cached list changes nothing.
func (d *discovery) recordList(kind ListKind) {
	switch kind {
	case ListFailed:
		d.attempts++
		d.pollAt = d.now + d.backoff()
	case ListCached:
	default:
		d.attempts, d.pollAt = 0, 0
	}
}

// poll requests changes from the discovery service if the time of the next poll has come.
func (d *discovery) poll() {
	if !d.settings.PollsDiscovery || d.pollAt == 0 || d.now < d.pollAt {
		return
	}
	d.attempts++
	d.pollAt = d.now + max(minPollInterval, d.settings.PollWithinUs/2) + d.jitter(pollJitter)
	d.emit(WatchWorkers{Active: true})
}

// nextPollAt returns the time of the next poll in microseconds, or 0 if none is scheduled or the discovery
// service is not polled.
func (d *discovery) nextPollAt() int64 {
	if !d.settings.PollsDiscovery {
		return 0
	}
	return d.pollAt
}

// backoff returns the time in microseconds from a failure to the next poll. The time is random, between
// half of the backoff and the whole backoff (see initialBackoff). The backoff is limited to a quarter of
// PollWithinUs or one second, whichever is longer.
func (d *discovery) backoff() int64 {
	delay := min(initialBackoff<<min(d.attempts, maxBackoffDoublings), max(second, d.settings.PollWithinUs/4))
	return delay/2 + d.jitter(delay/2)
}

package placement

// This file owns when discovery is polled for changes. It must never read a list.

const (
	// maxInitialDelay bounds the time from the first call to the first poll.
	maxInitialDelay = 200 * millisecond
	// minPollInterval is the shortest time between polls, and pollJitter what is added at most.
	minPollInterval = second
	pollJitter      = second
	// initialBackoff doubles with each failed poll, maxBackoffDoublings times at most.
	initialBackoff      = 250 * millisecond
	maxBackoffDoublings = 5
)

// discovery polls discovery, where that answers only when it is polled.
type discovery struct {
	*environment
	pollAt   int64 // or 0: never
	attempts int   // since the last list
}

// start schedules the first poll.
func (d *discovery) start() { d.pollAt = d.now + d.jitter(maxInitialDelay) }

// listed takes it that a list came, or failed.
func (d *discovery) listed(kind ListKind) {
	switch kind {
	case ListFailed:
		d.attempts++
		d.pollAt = d.now + d.backoff()
	case ListCached:
	default:
		d.attempts, d.pollAt = 0, 0
	}
}

// poll asks for changes if it is time to.
func (d *discovery) poll() {
	if !d.settings.PollsDiscovery || d.pollAt == 0 || d.now < d.pollAt {
		return
	}
	d.attempts++
	d.pollAt = d.now + max(minPollInterval, d.settings.PollWithinUs/2) + d.jitter(pollJitter)
	d.emit(WatchWorkers{Active: true})
}

// nextPollAt is when to poll next, or 0.
func (d *discovery) nextPollAt() int64 {
	if !d.settings.PollsDiscovery {
		return 0
	}
	return d.pollAt
}

// backoff is how long to leave discovery alone after a failed poll.
func (d *discovery) backoff() int64 {
	delay := min(initialBackoff<<min(d.attempts, maxBackoffDoublings), max(second, d.settings.PollWithinUs/4))
	return delay/2 + d.jitter(delay/2)
}

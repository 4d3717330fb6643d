package discovery

// This file owns what is known of the state of discovery: when it was last heard, and how often its answers were late or
// invalid.

import (
	"errors"

	"ravenhitch/internal/config"
)

const (
	// staleAfter is the time without an event or an answer after which the next one is logged.
	staleAfter = 3 * second
	// maxRedialDelay is the maximum delay before the next dial after invalid answers. The delay doubles with each of them, since
	// the next poll asks for the same events.
	maxRedialDelay = 500 * millisecond
)

// Counts counts polls since the follower was created: those that were not answered in time, and those with an invalid answer.
type Counts struct{ Late, Invalid int64 }

// Counts returns the counts of polls.
func (f *Follower) Counts() Counts { return f.counts }

// Staleness returns the time in microseconds since an event was last read or a poll was answered, or since the first dial if
// neither has happened.
func (f *Follower) Staleness() int64 { return f.loop.Now() - max(f.respondedAt, f.startedAt) }

// recordResponse records that an event was read, or that a poll was answered.
func (f *Follower) recordResponse() {
	if staleness := f.Staleness(); f.respondedAt > 0 && staleness > staleAfter {
		f.log.Info("discovery recovered", "cursor", f.cursor, "staleness_us", staleness)
	}
	f.respondedAt, f.invalidAnswers = f.loop.Now(), 0
}

// redialDelayAfter returns the delay in microseconds before the next dial after a connection ended with err.
func (f *Follower) redialDelayAfter(err error) int64 {
	if !errors.Is(err, ErrResponse) && !errors.Is(err, config.ErrConfig) {
		return redialDelay
	}
	f.counts.Invalid++
	f.invalidAnswers++
	delay := int64(redialDelay)
	for range f.invalidAnswers - 1 {
		delay = min(2*delay, maxRedialDelay)
	}
	return delay
}

package workerpool

// This file owns the silence of workers: it logs it, and decides from it whether a worker's machine may have vanished. It must
// never take a worker for vanished to which connections come up.

import (
	"errors"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
)

const (
	// silentAfter is the time after which a worker at which tasks run counts as silent. It is longer than maxReadGap, after
	// which another connection is dialled, which an idle worker accepts.
	silentAfter = maxReadGap + second
	// vanishedAfter is how long nothing is heard from a worker, and no connection to it comes up, before its machine is
	// considered vanished, if discovery cannot be asked either. A sweep later, the time is still below the 8 s within which
	// a client must be notified.
	vanishedAfter = 7 * second
	// vanishedAfterListed replaces vanishedAfter while discovery answers and lists the worker, which is then probably cut
	// off from here, and runs its tasks.
	vanishedAfterListed = 25 * second
	// discoveryAwayAfter is the time without an answer after which discovery counts as away. It answers each poll within a
	// second unless it is late.
	discoveryAwayAfter = 3 * second
	// vanishedAfterDials is the number of connections in a row that do not come up before a machine is considered vanished.
	vanishedAfterDials = 3
)

// heard records that data was received from the worker, or that a connection to it was established.
func (l *link) heard(now int64) {
	if l.isSilent {
		l.isSilent = false
		l.pool.log.Warn("worker heard again", "worker", l.workerID, "quiet_us", now-l.heardAt)
	}
	l.heardAt, l.failedDials = now, 0
}

// logSilence logs once that a worker at which tasks run has not been heard for silentAfter.
func (l *link) logSilence(tasks dispatch.TaskSummary, now int64) {
	if tasks.Count > 0 && !l.isSilent && now-max(l.heardAt, l.listedAt) > silentAfter {
		l.isSilent = true
		l.pool.log.Warn("worker silent", "worker", l.workerID, "tasks", tasks.Count, "connections", len(l.conns), "quiet_us", now-l.heardAt)
	}
}

// SetListConfirmedAt sets the function that returns the time of the last answer of discovery. Without it, discovery counts as
// away.
func (p *Pool) SetListConfirmedAt(confirmedAt func() int64) { p.listConfirmedAt = confirmedAt }

// isListConfirmed reports whether discovery has confirmed its list of workers of late.
func (p *Pool) isListConfirmed(now int64) bool {
	return p.listConfirmedAt != nil && now-p.listConfirmedAt() <= discoveryAwayAfter
}

// reportVanished reports a worker whose machine may have vanished: it has been silent for vanishedAfter or, if discovery
// lists it on, for vanishedAfterListed, and connections to it do not come up. A machine that is only cut off looks the same.
// If the worker's process hangs, connections come up.
func (l *link) reportVanished(now int64) {
	silentSince := now - vanishedAfter
	if l.listed && l.pool.isListConfirmed(now) {
		silentSince = now - vanishedAfterListed
	}
	if max(l.heardAt, l.listedAt) > silentSince || l.failedDials < vanishedAfterDials {
		return
	}
	l.pool.reportLater(func() { l.pool.dispatcher.WorkerVanished(l.pool.loop.Now(), l.workerID, silentSince) })
}

// isUnanswered reports whether a connection was not established because nothing answered.
func isUnanswered(err error) bool {
	return errors.Is(err, eventloop.ErrTimeout) || errors.Is(err, unix.ETIMEDOUT) || errors.Is(err, unix.EHOSTUNREACH)
}

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
	// vanishedAfter is how long nothing is heard from a worker, and no connection to it comes up, before its tasks are
	// abandoned, whether its machine has vanished or is cut off: the end of a task that ends meanwhile can't be reported. A
	// sweep later, the time is still below the 8 s within which a client must be notified.
	vanishedAfter = 7 * second
	// vanishedAfterDials is the number of connections in a row that do not come up before a machine counts as vanished.
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

// reportVanished reports a worker that has been silent for vanishedAfter, and to which connections do not come up, or to which
// none was made since its process may have ended. Its machine may have vanished, or is cut off. If the worker's process hangs,
// connections come up.
func (l *link) reportVanished(now int64) {
	silentSince := now - vanishedAfter
	if max(l.heardAt, l.listedAt) > silentSince || l.failedDials < vanishedAfterDials && !l.interruption.lost {
		return
	}
	l.pool.reportLater(func() { l.pool.dispatcher.WorkerVanished(l.pool.loop.Now(), l.workerID, silentSince) })
}

// isUnanswered reports whether a connection was not established because nothing answered.
func isUnanswered(err error) bool {
	return errors.Is(err, eventloop.ErrTimeout) || errors.Is(err, unix.ETIMEDOUT) || errors.Is(err, unix.EHOSTUNREACH)
}

package workerpool

// This file owns what refused connections and restarts prove about a worker. It must never report a worker dead that
// may be alive.

import (
	"fmt"
	"slices"
)

const (
	// deadAfterRefused is how long a worker may refuse connections and send nothing on those that it has
	// before it counts as dead: under the 8 s in which a completion must be reported.
	deadAfterRefused = 2 * second
	// deadAfterRefusedUnpinged is the same where the deployment allows no pings.
	deadAfterRefusedUnpinged = 4 * second
)

// applyRestart ends the tasks that ran at the worker before its process was started again, once no connection is
// left that was dialled before that: where one is, the process that ran them lives, whatever the list says. A worker
// that dies and starts while it has no connection shows neither a reset nor, if it is quick, refused
// connections for long.
func (l *link) applyRestart() {
	if !l.restartPending || slices.ContainsFunc(l.conns, l.predatesRestart) {
		return
	}
	l.restartPending = false
	l.pool.dispatcher.WorkerRestarted(l.pool.loop.Now(), l.workerID, l.processStartedAt)
}

// predatesRestart reports whether a connection is up that was dialled before the worker's process was started.
func (l *link) predatesRestart(c *workerConn) bool {
	return c.conn.IsUp() && c.dialledAt < l.processStartedAt
}

// connRefused takes a refused connection: nobody listens there. After a reset that proves the death of the process.
// Else it may have ended without a sign, or may only accept no further connections: then it answers a ping on
// those that it has. Where nothing comes in while connections are refused for deadAfterRefused, it is
// dead, and nobody will report the completions of its tasks.
func (l *link) connRefused() {
	now := l.pool.loop.Now()
	if l.refusedSince == 0 {
		l.refusedSince = now
		l.pingAll()
	}
	deadAfter := deadAfterRefused
	if !l.pool.pingsAllowed {
		deadAfter = deadAfterRefusedUnpinged
	}
	if !l.wasReset && now-l.refusedSince < deadAfter {
		return
	}
	l.wasReset, l.refusedSince = false, 0
	l.pool.log.Warn("worker died", "worker", l.workerID)
	l.pool.reportLater(func() {
		l.closeAll(errWorkerDead)
		l.scheduleRedial()
		l.pool.dispatcher.WorkerDied(l.pool.loop.Now(), l.workerID)
	})
}

// pingAll pings the worker on all connections that are up, where the deployment allows that.
func (l *link) pingAll() {
	if !l.pool.pingsAllowed {
		return
	}
	pingTag := fmt.Sprintf("%016x", l.pool.loop.Now())
	for _, c := range l.conns {
		if c.conn.IsUp() {
			c.ping(pingTag)
		}
	}
}

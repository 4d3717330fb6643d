package workerpool

// This file decides from refused connections and restarts whether a worker's process has died. It must never report a
// worker as dead that may be alive.

import "slices"

const (
	// deadAfterRefused is how long a worker may refuse connections, and send nothing on its open connections,
	// before it is considered dead. The time is below 8 s because a completion must be reported to the client
	// within 8 s of the end of the task.
	deadAfterRefused = 2 * second
	// deadAfterRefusedUnpinged replaces deadAfterRefused if the deployment does not allow pings.
	deadAfterRefusedUnpinged = 4 * second
)

// applyRestart ends the tasks that ran at the worker before its process was restarted, as soon as no connection that
// was dialled before the restart is up. While such a connection is up, the process that ran the tasks may still be
// alive, whatever the list of discovery says. The start time from discovery is needed because a restart may go
// unnoticed otherwise: a worker that dies while it has no connection causes no reset, and if it restarts quickly, it
// refuses connections only briefly.
func (l *link) applyRestart() {
	if !l.restartPending {
		return
	}
	startedAt, known := l.restartTime()
	if !known {
		l.pool.log.Debug("worker start pending", "worker", l.workerID, "started_at_us", l.processStartedAt, "connections", len(l.conns))
		return
	}
	l.restartPending = false
	l.pool.log.Info("worker start applied", "worker", l.workerID, "started_at_us", startedAt, "is_latest", l.startIsLatest,
		"tasks", l.pool.dispatcher.TasksOn(l.workerID).Count)
	if l.startIsLatest {
		// The tasks from before that time may belong to the present process, too.
		l.pool.dispatcher.WorkerInterrupted(l.pool.loop.Now(), l.workerID, startedAt, startedAt, true)
		return
	}
	l.pool.dispatcher.WorkerRestarted(l.pool.loop.Now(), l.workerID, startedAt)
}

// restartTime returns the time at which the worker's process started. It is not known while a connection is up that was
// dialled before. If only the latest possible time is listed, the process has started before the dial of the first
// connection that is up, which the restart would have ended; it is not known while such a connection may be dead.
func (l *link) restartTime() (startedAt int64, known bool) {
	if !l.startIsLatest {
		return l.processStartedAt, !slices.ContainsFunc(l.conns, l.predatesRestart)
	}
	startedAt = l.processStartedAt
	for _, c := range l.conns {
		if !c.conn.IsUp() {
			continue
		}
		if !c.hasRead || l.pool.loop.Now()-c.lastReadAt > maxReadGap {
			return 0, false
		}
		startedAt = min(startedAt, c.dialledAt)
	}
	return startedAt, true
}

// predatesRestart reports whether a connection is up and was dialled before the worker's process started.
func (l *link) predatesRestart(c *workerConn) bool {
	return c.conn.IsUp() && c.dialledAt < l.processStartedAt
}

// connRefused handles a refused connection, which means that no process listens at the worker's address. If an
// earlier connection was reset, the refusal proves that the worker's process has died. Otherwise, the process may
// have died unnoticed, or it may be alive and accept no further connections. Therefore the worker is pinged on its
// open connections, because a live process answers a ping. If connections are refused for deadAfterRefused and no
// data is received, the worker is dead, and the completions of its tasks will never be reported. If the deployment
// does not allow pings, the worker is not pinged, and deadAfterRefusedUnpinged applies instead.
func (l *link) connRefused() {
	now := l.pool.loop.Now()
	l.interruptRefused()
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
	l.wasReset, l.refusedSince, l.interruption = false, 0, interruption{}
	l.pool.log.Warn("worker died", "worker", l.workerID)
	l.pool.reportLater(func() {
		l.closeAll(errWorkerDead)
		l.scheduleRedial()
		l.pool.dispatcher.WorkerDied(l.pool.loop.Now(), l.workerID)
	})
}

// pingAll pings the worker on all connections that are up, if the deployment allows pings.
func (l *link) pingAll() {
	if !l.pool.pingsAllowed {
		return
	}
	for _, c := range l.conns {
		if c.conn.IsUp() {
			c.ping(l.pool.nextPingTag())
		}
	}
}

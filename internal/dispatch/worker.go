package dispatch

// This file owns the handling of the worker pool's reports on workers and probes. It must never send an offer.

import (
	"slices"

	"ravenhitch/placement"
)

// restartSkew is the maximum time by which a worker's start time may be ahead of the local clock, as it comes from another
// host. It equals the slack of the protocol. A task that was offered at most restartSkew before the start is assumed to run
// in the new process. The end of a task that is wrongly assumed to run is never reported, so the time is short.
const restartSkew = 50 * millisecond

// ProbeAnswered handles the result of a probe.
func (d *Dispatcher) ProbeAnswered(now int64, result placement.ProbeResult) {
	d.now = now
	d.queueEvent(result)
}

// WorkerReachable handles the report that a worker accepted a connection after an earlier one had failed or
// become unresponsive.
func (d *Dispatcher) WorkerReachable(now int64, worker string) {
	d.now = now
	d.queueEvent(placement.WorkerReachable{Worker: worker})
}

// WorkerUnreachable handles the report that no connection to a worker is up and that the latest connection failed.
func (d *Dispatcher) WorkerUnreachable(now int64, worker string) {
	d.now = now
	d.queueEvent(placement.WorkerUnreachable{Worker: worker})
}

// WorkerDied handles the report that the process of a worker has died. The tasks that ran there have ended, and nobody
// will report their completions.
func (d *Dispatcher) WorkerDied(now int64, worker string) {
	d.now = now
	d.endTasksOn(worker, "worker died", func(*request) bool { return true })
}

// WorkerVanished handles the report that nothing has been heard from a worker since the time since, and that no connection to
// it comes up. Its machine may have vanished, with the tasks that ran there, or is cut off. The tasks that ran there at that
// time are abandoned, because their clients must not wait for an end that nobody may ever report.
func (d *Dispatcher) WorkerVanished(now int64, worker string, since int64) {
	d.now = now
	var silent []*request
	for _, r := range d.tasksByWorker[worker] {
		if r.state == stateRunning && max(r.sentAt, r.adoptedAt) <= since {
			silent = append(silent, r)
		}
	}
	for _, r := range sortByRequestID(silent) {
		d.abandonTask(r, "worker silent")
	}
}

// WorkerInterrupted handles the report that the process of a worker that answers now was first reached at the time before, and
// that no connection shows that it is the one that was last heard at the time since. connectionsLost is true if connections
// ended or were refused. The scheduler finds out whether the tasks run.
func (d *Dispatcher) WorkerInterrupted(now int64, worker string, since, before int64, connectionsLost bool) {
	d.now = now
	if tasks := len(d.tasksByWorker[worker]); tasks > 0 {
		d.log.Info("worker process uncertain", "worker", worker, "tasks", tasks, "quiet_us", before-since, "connections_lost", connectionsLost)
		d.queueEvent(placement.ProcessUncertain{Worker: worker, SinceUs: since, BeforeUs: before, ConnectionsLost: connectionsLost})
	}
}

// WorkerRestarted handles the report that the process of a worker started at startUs and that its previous
// process has ended. The tasks of the previous process have ended too, and nobody will report their completions.
func (d *Dispatcher) WorkerRestarted(now int64, worker string, startUs int64) {
	d.now = now
	d.endTasksOn(worker, "worker restarted", func(r *request) bool { return r.predates(startUs) })
	for _, r := range sortByRequestID(slices.Clone(d.tasksByWorker[worker])) {
		if r.state == stateRunning && r.adoptedAt > 0 && r.adoptedAt-startUs < recentStart {
			d.doubtAdoption(r, startUs)
		}
	}
}

// endTasksOn ends the selected tasks of a worker for a reason: first those in the table, then the unresponsive ones, each
// ordered by request ID.
func (d *Dispatcher) endTasksOn(worker, reason string, selected func(*request) bool) {
	var inTable, unresponsive []*request
	for _, r := range d.tasksByWorker[worker] {
		switch {
		case !selected(r):
		case r.state.occupiesWorker():
			inTable = append(inTable, r)
		default:
			unresponsive = append(unresponsive, r)
		}
	}
	d.logEndedTasks(worker, reason, len(inTable))
	for _, r := range sortByRequestID(inTable) {
		d.trace("task ended", r, "reason", reason)
		d.taskCompleted(r, placement.Reset, placement.CauseUnknown)
	}
	for _, r := range sortByRequestID(unresponsive) {
		d.unresponsiveEnded(r, placement.Reset, placement.CauseUnknown)
	}
}

// logEndedTasks logs how many tasks of a worker end for a reason, and how many run on there.
func (d *Dispatcher) logEndedTasks(worker, reason string, ended int) {
	if occupying := len(d.tasksByWorker[worker]); occupying > 0 {
		d.log.Info("tasks ended with worker", "worker", worker, "reason", reason, "tasks", ended, "remaining", occupying-ended)
	}
}

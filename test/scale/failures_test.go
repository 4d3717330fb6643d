package scale

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"ravenhitch/internal/testbed/hollow"
)

// This file contains the failures that are injected after the peak, while clients still submit jobs.

const (
	// listDetection is the time that discovery takes to list failed workers as removed.
	listDetection = 3 * time.Second
	// downtime is the time for which a process is down during a restart.
	downtime = 2 * time.Second
	// convergenceTimeout is the maximum time for all orchestrators and clients to learn of a failure, or for all
	// orchestrators to apply a worker list.
	convergenceTimeout = 20 * time.Second
	// plannedRestarts is the number of worker restarts per day that the operators plan for in a fleet of
	// plannedWorkers. The test makes all of these restarts within one minute. In a smaller fleet, it restarts the
	// same fraction of the workers.
	plannedRestarts = 460
	plannedWorkers  = 4000
)

// The kinds of failures, in the order in which they are injected.
const (
	failCell             = "rack"
	failZone             = "zone"
	failOrchestrators    = "orchestrators"
	failWorkerRestarts   = "restarts"
	failAllOrchestrators = "all_orchestrators"
)

var failureKinds = []string{failCell, failZone, failOrchestrators, failWorkerRestarts, failAllOrchestrators}

// baseline holds the counters of clients, workers and discovery at one moment. report subtracts the values at the
// start of a failure from the current values.
type baseline struct {
	at                time.Time
	counts            counts
	messages, control int64
	rejections        int64
}

// baseline returns the current values of the counters.
func (r *rig) baseline() baseline {
	b := baseline{at: time.Now(), counts: r.ledger.snapshot(), messages: r.fleet.Messages(), rejections: r.fleet.Rejections()}
	for _, o := range r.orchestrators {
		b.messages += o.clients.messages.Load()
		b.control += o.subscription.Bytes().Received.Load() + o.subscription.Bytes().Sent.Load()
	}
	return b
}

// report prints the line of a failure. Its field tasks_lost is the number of tasks on the workers that failed.
// Its field cut is the number of completions with another cause than the end of the task's run time.
func (r *rig) report(kind string, parts, lost int, b baseline, knownAfter time.Duration, known bool) {
	now, c := r.baseline(), r.ledger.snapshot()
	fmt.Printf("scale-failure: kind=%s parts=%d tasks_lost=%d known=%v knowledge_s=%.2f seconds=%.1f messages=%d list_kb=%d "+
		"started=%d refused=%d worker_refusals=%d failed=%d unreachable=%d cut=%d moved=%d ended_meanwhile=%d unanswered=%d "+
		"late_ends=%d untold=%d double_starts=%d repeats=%d lost_untold=%d\n",
		kind, parts, lost, known, knownAfter.Seconds(), now.at.Sub(b.at).Seconds(), now.messages-b.messages, (now.control-b.control)/1024,
		c.started-b.counts.started, c.rejected-b.counts.rejected, now.rejections-b.rejections, c.failed-b.counts.failed,
		c.unreachable-b.counts.unreachable, c.aborted-b.counts.aborted, c.migrated-b.counts.migrated,
		c.endedWhileDown-b.counts.endedWhileDown, c.unanswered-b.counts.unanswered,
		c.lateCompletions-b.counts.lateCompletions, c.unreported-b.counts.unreported, c.duplicateStarts-b.counts.duplicateStarts,
		c.repeats-b.counts.repeats, r.ledger.lostUnreported())
}

// injectFailures injects the selected failures one after another while jobs are submitted.
func (r *rig) injectFailures(s *samples) {
	r.clients.stop(false)
	stop := make(chan struct{})
	var demand sync.WaitGroup
	demand.Go(func() { r.submitJobs(stop) })
	inject := func(kind string, failure func(kind string)) {
		if slices.Contains(r.options.failureKinds, kind) {
			s.phase.Store(kind)
			failure(kind)
		}
	}
	inject(failCell, func(kind string) { r.loseWorkers(kind, func(w *hollow.Worker) bool { return w.Cell == 0 }) })
	inject(failZone, func(kind string) {
		r.loseWorkers(kind, func(w *hollow.Worker) bool { return w.Zone == zoneNames()[1] })
	})
	inject(failOrchestrators, func(kind string) { r.restartOrchestrators(kind, r.orchestrators[:(len(r.orchestrators)+2)/3]) })
	inject(failWorkerRestarts, r.restartWorkers)
	inject(failAllOrchestrators, func(kind string) { r.restartOrchestrators(kind, r.orchestrators) })
	close(stop)
	demand.Wait()
	r.clients.stop(true)
}

// loseWorkers makes the selected workers unreachable and restarts them after the call of report. The failure
// counts as known once two conditions hold: every orchestrator has applied a list that shows these workers as
// removed, and every client has been notified of its lost tasks.
func (r *rig) loseWorkers(kind string, selected func(*hollow.Worker) bool) {
	b, lost, unreportedBefore := r.baseline(), 0, r.ledger.lostUnreported()
	var failed []*hollow.Worker
	for _, w := range r.fleet.Workers {
		if selected(w) {
			failed = append(failed, w)
			lost += w.TaskCount()
			w.Stop(hollow.Unreachable)
		}
	}
	<-time.After(listDetection)
	for _, w := range failed {
		w.SetPhase("removed")
	}
	removed := r.discovery.Revision() + 1
	known := r.waitUntil(func() bool { return r.listApplied(removed) && r.ledger.lostUnreported() <= unreportedBefore })
	r.report(kind, len(failed), lost, b, time.Since(b.at), known)
	r.restartAll(failed)
}

// restartAll restarts failed workers.
func (r *rig) restartAll(workers []*hollow.Worker) {
	for _, w := range workers {
		if err := w.Restart(); err != nil {
			r.t.Error(err)
		}
	}
}

// listApplied reports whether every orchestrator has applied the given revision of the worker list or a later
// one.
func (r *rig) listApplied(revision int) bool {
	for _, o := range r.orchestrators {
		if o.subscription.LastAppliedRevision() < revision {
			return false
		}
	}
	return true
}

// conditionPeriod is the interval at which waitUntil polls a condition. It polls because no message announces that
// the condition has become true.
const conditionPeriod = 20 * time.Millisecond

// waitUntil polls a condition and reports whether it became true within convergenceTimeout.
func (r *rig) waitUntil(condition func() bool) bool {
	ticker, timeout := time.NewTicker(conditionPeriod), time.After(convergenceTimeout)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-timeout:
			return false
		}
	}
	return true
}

// restartOrchestrators kills orchestrators and starts them again after downtime. The kill loses the state that
// the processes keep in memory. Therefore the clients register the running tasks again and then send pings. The
// failure counts as known once each of these orchestrators has answered these pings.
func (r *rig) restartOrchestrators(kind string, targets []*orchestrator) {
	b, restarted := r.baseline(), make([]bool, len(targets))
	var group sync.WaitGroup
	for i, o := range targets {
		o.admitted.Store(false)
		o.kill()
		group.Go(func() { restarted[i] = r.restart(o) })
	}
	group.Wait()
	known := true
	for _, ok := range restarted {
		known = known && ok
	}
	knownAfter := time.Since(b.at)
	// Wait until every completion that is late because of the restart has been counted. This takes completionLimit.
	<-time.After(completionLimit)
	r.report(kind, len(targets), 0, b, knownAfter, known)
}

// restart starts an orchestrator after downtime and waits, at most for admitTimeout, until it answers pings. Then,
// even if it has not answered, clients may submit tasks to it again. restart also registers the orchestrator's
// running tasks again and reports whether the orchestrator answers the pings that follow.
func (r *rig) restart(o *orchestrator) bool {
	<-time.After(downtime)
	if err := o.start(); err != nil {
		r.t.Error(err)
		return false
	}
	if !o.clients.pingAll(admitTimeout) {
		r.t.Logf("scale-finding: %s did not answer the pings on all connections after its restart", o.Name)
	}
	running := r.ledger.runningAt(o)
	o.admitted.Store(true)
	return r.clients.handOver(o, running)
}

// restartWorkers makes workers crash at a constant rate within a minute. Each worker is up again at the same address
// after downtime. The failure counts as known once every client has been notified of its lost tasks. The reported
// time until then (field knowledge_s) starts when the last worker is up again.
func (r *rig) restartWorkers(kind string) {
	b, unreportedBefore := r.baseline(), r.ledger.lostUnreported()
	restarts := max(1, plannedRestarts*len(r.fleet.Workers)/plannedWorkers)
	step := len(r.fleet.Workers) / restarts
	lost, done := 0, 0
	stop := make(chan struct{})
	var group sync.WaitGroup
	callAtRate(float64(restarts)/time.Minute.Seconds(), stop, func() {
		if done == restarts {
			return
		}
		w := r.fleet.Workers[done*step]
		lost += w.TaskCount()
		w.Stop(hollow.Crash)
		group.Go(func() {
			<-time.After(downtime)
			r.restartAll([]*hollow.Worker{w})
		})
		if done++; done == restarts {
			close(stop)
		}
	})
	group.Wait()
	lastRestart := time.Now()
	known := r.waitUntil(func() bool { return r.ledger.lostUnreported() <= unreportedBefore })
	r.report(kind, restarts, lost, b, time.Since(lastRestart), known)
}

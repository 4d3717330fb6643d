package scale

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"ravenhitch/internal/testbed/hollow"
)

// This file owns the failures that are injected after the peak. Demand goes on meanwhile.

const (
	// listDetection is how long discovery takes to list failed workers as removed.
	listDetection = 3 * time.Second
	// downtime is how long a process does not run at a restart.
	downtime = 2 * time.Second
	// convergenceTimeout bounds the wait until all know of a failure.
	convergenceTimeout = 20 * time.Second
	// plannedRestarts is the operators' number of restarts on a day, all in one minute, at
	// plannedWorkers; a small fleet restarts the same share of its workers.
	plannedRestarts = 460
	plannedWorkers  = 4000
)

// The kinds of failures, in their order.
const (
	failCell             = "rack"
	failZone             = "zone"
	failOrchestrators    = "orchestrators"
	failWorkerRestarts   = "restarts"
	failAllOrchestrators = "all_orchestrators"
)

var failureKinds = []string{failCell, failZone, failOrchestrators, failWorkerRestarts, failAllOrchestrators}

// baseline is what had been counted when a failure began.
type baseline struct {
	at                time.Time
	counts            counts
	messages, control int64
	rejections        int64
}

// baseline counts what has happened so far.
func (r *rig) baseline() baseline {
	b := baseline{at: time.Now(), counts: r.ledger.snapshot(), messages: r.fleet.Messages(), rejections: r.fleet.Rejections()}
	for _, o := range r.orchestrators {
		b.messages += o.clients.messages.Load()
		b.control += o.subscription.Bytes().Received.Load() + o.subscription.Bytes().Sent.Load()
	}
	return b
}

// report prints the line of a failure. Tasks that were lost are those of workers that failed; cut
// counts the completions with another cause than the end of a task's run time.
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

// injectFailures injects one failure after another.
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

// loseWorkers makes workers unreachable. All is known when every orchestrator has applied the list
// without them and every client has a report of its lost task.
func (r *rig) loseWorkers(kind string, which func(*hollow.Worker) bool) {
	b, lost, unreportedBefore := r.baseline(), 0, r.ledger.lostUnreported()
	var failed []*hollow.Worker
	for _, w := range r.fleet.Workers {
		if which(w) {
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

// restartAll starts failed workers again.
func (r *rig) restartAll(workers []*hollow.Worker) {
	for _, w := range workers {
		if err := w.Restart(); err != nil {
			r.t.Error(err)
		}
	}
}

// listApplied reports whether every orchestrator has applied the list up to a revision.
func (r *rig) listApplied(revision int) bool {
	for _, o := range r.orchestrators {
		if o.subscription.LastPolled() < revision {
			return false
		}
	}
	return true
}

// conditionPeriod is how often a condition is polled that no message announces.
const conditionPeriod = 20 * time.Millisecond

// waitUntil waits for a condition, and reports whether it came true within convergenceTimeout.
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

// restartOrchestrators kills orchestrators and starts them again after downtime, without state. All is
// known when each of them has answered a ping behind the tasks that its clients registered again.
func (r *rig) restartOrchestrators(kind string, which []*orchestrator) {
	b, restarted := r.baseline(), make([]bool, len(which))
	var group sync.WaitGroup
	for i, o := range which {
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
	// Completions that are late because of it show within their limit.
	<-time.After(completionLimit)
	r.report(kind, len(which), 0, b, knownAfter, known)
}

// restart starts an orchestrator, admits it once it answers pings, and hands its running tasks over.
func (r *rig) restart(o *orchestrator) bool {
	<-time.After(downtime)
	if err := o.start(); err != nil {
		r.t.Error(err)
		return false
	}
	if !o.clients.pingAll(admitTimeout) {
		r.t.Logf("scale-finding: %s answered no ping after its restart", o.Name)
	}
	running := r.ledger.runningAt(o)
	o.admitted.Store(true)
	return r.clients.handOver(o, running)
}

// restartWorkers restarts workers one after another within a minute: their processes crash, and are
// up again after downtime at the same address. All is known when each client has a report of its lost
// task; the time counts from when the last worker is up again.
func (r *rig) restartWorkers(kind string) {
	b, unreportedBefore := r.baseline(), r.ledger.lostUnreported()
	restarts := max(1, plannedRestarts*len(r.fleet.Workers)/plannedWorkers)
	step := len(r.fleet.Workers) / restarts
	lost, done := 0, 0
	stop := make(chan struct{})
	var group sync.WaitGroup
	repeat(float64(restarts)/time.Minute.Seconds(), stop, func() {
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

package scale

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"ravenhitch/internal/testbed/hollow"
)

// This file owns the failures after the peak. Demand goes on meanwhile.

const (
	// listDetection is how long the source of the list takes to tell that workers are gone.
	listDetection = 3 * time.Second
	// downFor is how long a process is away at a restart.
	downFor = 2 * time.Second
	// knowledgeLimit bounds the wait for all to be known.
	knowledgeLimit = 20 * time.Second
	// restartsAMinute is the letter's number of restarts on a whole day, all in one minute; a small
	// fleet restarts the same share of its workers.
	restartsAMinute = 460
	fleetOfRestarts = 4000
)

// The kinds of failures, in their order.
const (
	failRack             = "rack"
	failZone             = "zone"
	failOrchestrators    = "orchestrators"
	failWorkerRestarts   = "restarts"
	failAllOrchestrators = "all_orchestrators"
)

var failureKinds = []string{failRack, failZone, failOrchestrators, failWorkerRestarts, failAllOrchestrators}

// before is what had been counted when a failure began.
type before struct {
	at                time.Time
	counts            counts
	messages, control int64
	refusals          int64
}

func (r *rig) before() before {
	b := before{at: time.Now(), counts: r.ledger.now(), messages: r.fleet.Messages(), refusals: r.fleet.Rejections()}
	for _, o := range r.orchestrators {
		b.messages += o.clients.messages.Load()
		b.control += o.list.Bytes().Received.Load() + o.list.Bytes().Sent.Load()
	}
	return b
}

// report prints the line of a failure. Tasks that were lost are those of workers that went; cut
// counts the ends that clients were told with another cause than a task's own end.
func (r *rig) report(kind string, parts, lost int, b before, knowledge time.Duration, known bool) {
	now, c := r.before(), r.ledger.now()
	fmt.Printf("scale-failure: kind=%s parts=%d tasks_lost=%d known=%v knowledge_s=%.2f seconds=%.1f messages=%d list_kb=%d "+
		"started=%d refused=%d worker_refusals=%d failed=%d unreachable=%d cut=%d moved=%d ended_meanwhile=%d unanswered=%d "+
		"late_ends=%d untold=%d double_starts=%d repeats=%d lost_untold=%d\n",
		kind, parts, lost, known, knowledge.Seconds(), now.at.Sub(b.at).Seconds(), now.messages-b.messages, (now.control-b.control)/1024,
		c.started-b.counts.started, c.refused-b.counts.refused, now.refusals-b.refusals, c.failed-b.counts.failed,
		c.unreachable-b.counts.unreachable, c.cut-b.counts.cut, c.moved-b.counts.moved,
		c.endedMeanwhile-b.counts.endedMeanwhile, c.unanswered-b.counts.unanswered,
		c.lateEnds-b.counts.lateEnds, c.untold-b.counts.untold, c.doubleStarts-b.counts.doubleStarts,
		c.repeats-b.counts.repeats, r.ledger.lostUntold())
}

// playFailures plays one failure after another.
func (r *rig) playFailures(s *samples) {
	r.clients.stop(false)
	stop := make(chan struct{})
	var demand sync.WaitGroup
	demand.Go(func() { r.starts(stop) })
	play := func(kind string, f func(kind string)) {
		if slices.Contains(r.options.failureKinds, kind) {
			s.phase.Store(kind)
			f(kind)
		}
	}
	play(failRack, func(kind string) { r.loseWorkers(kind, func(w *hollow.Worker) bool { return w.Cell == 0 }) })
	play(failZone, func(kind string) {
		r.loseWorkers(kind, func(w *hollow.Worker) bool { return w.Zone == zoneNames()[1] })
	})
	play(failOrchestrators, func(kind string) { r.restartOrchestrators(kind, r.orchestrators[:(len(r.orchestrators)+2)/3]) })
	play(failWorkerRestarts, r.restartWorkers)
	play(failAllOrchestrators, func(kind string) { r.restartOrchestrators(kind, r.orchestrators) })
	close(stop)
	demand.Wait()
	r.clients.stop(true)
}

// loseWorkers lets workers vanish without a word. All is known when every orchestrator has heard
// that they are gone and every client has been told of its lost task.
func (r *rig) loseWorkers(kind string, which func(*hollow.Worker) bool) {
	b, lost, from := r.before(), 0, r.ledger.lostUntold()
	var gone []*hollow.Worker
	for _, w := range r.fleet.Workers {
		if which(w) {
			gone = append(gone, w)
			lost += w.TaskCount()
			w.Stop(hollow.Unreachable)
		}
	}
	<-time.After(listDetection)
	for _, w := range gone {
		w.SetPhase("removed")
	}
	listed := r.source.Revision() + 1
	known := r.until(func() bool { return r.heard(listed) && r.ledger.lostUntold() <= from })
	r.report(kind, len(gone), lost, b, time.Since(b.at), known)
	r.bringBack(gone)
}

func (r *rig) bringBack(workers []*hollow.Worker) {
	for _, w := range workers {
		if err := w.Restart(); err != nil {
			r.t.Error(err)
		}
	}
}

// heard reports whether every orchestrator has applied the list up to a revision.
func (r *rig) heard(revision int) bool {
	for _, o := range r.orchestrators {
		if o.list.LastPolled() < revision {
			return false
		}
	}
	return true
}

// lookEvery is how often a condition is looked at that no message tells.
const lookEvery = 20 * time.Millisecond

// until waits for a condition, and reports whether it came within the limit.
func (r *rig) until(condition func() bool) bool {
	ticker, limit := time.NewTicker(lookEvery), time.After(knowledgeLimit)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-limit:
			return false
		}
	}
	return true
}

// restartOrchestrators kills orchestrators and starts them again after a while, from nothing. All is
// known when each of them has passed a test behind the tasks that its clients told it of.
func (r *rig) restartOrchestrators(kind string, which []*orchestrator) {
	b, told := r.before(), make([]bool, len(which))
	var group sync.WaitGroup
	for i, o := range which {
		o.admitted.Store(false)
		o.kill()
		group.Go(func() { told[i] = r.startAgain(o) })
	}
	group.Wait()
	known := true
	for _, ok := range told {
		known = known && ok
	}
	knowledge := time.Since(b.at)
	// What is late because of it shows within the limit of an end.
	<-time.After(endLimit)
	r.report(kind, len(which), 0, b, knowledge, known)
}

// startAgain starts an orchestrator, admits it once it passes a test, and tells it what it held.
func (r *rig) startAgain(o *orchestrator) bool {
	<-time.After(downFor)
	if err := o.start(); err != nil {
		r.t.Error(err)
		return false
	}
	if !o.clients.passed(admitPatience) {
		r.t.Logf("scale-finding: %s passed no test after its restart", o.Name)
	}
	held := r.ledger.heldBy(o)
	o.admitted.Store(true)
	return r.clients.tell(o, held)
}

// restartWorkers restarts workers one after another within a minute: their processes die, and are
// up again after a while at the same address. All is known when each client has been told of its
// lost task; the time counts from when the last worker is up again.
func (r *rig) restartWorkers(kind string) {
	b, from := r.before(), r.ledger.lostUntold()
	restarts := max(1, restartsAMinute*len(r.fleet.Workers)/fleetOfRestarts)
	step := len(r.fleet.Workers) / restarts
	lost, done := 0, 0
	stop := make(chan struct{})
	var group sync.WaitGroup
	pace(float64(restarts)/time.Minute.Seconds(), stop, func() {
		if done == restarts {
			return
		}
		w := r.fleet.Workers[done*step]
		lost += w.TaskCount()
		w.Stop(hollow.Crash)
		group.Go(func() {
			<-time.After(downFor)
			r.bringBack([]*hollow.Worker{w})
		})
		if done++; done == restarts {
			close(stop)
		}
	})
	group.Wait()
	last := time.Now()
	known := r.until(func() bool { return r.ledger.lostUntold() <= from })
	r.report(kind, restarts, lost, b, time.Since(last), known)
}

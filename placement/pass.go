package placement

// This file owns the scheduling pass: one look at all pending tasks, by priority. For each it
// filters and scores the workers, and then offers the task to one of them, or reserves one and
// keeps the task pending, or gives the final response. It must never offer a task twice at a
// time.

const (
	// latenessFactor is by how much a pending task must be too late, by the rate at which
	// capacity becomes free, to be rejected before its deadline.
	latenessFactor = 2.0
	// abandonTimeouts is how many response timeouts an attempt gets.
	abandonTimeouts = 2
	// offerWindows is how many slow-start windows offers are remembered.
	offerWindows = 2
)

// schedulingPass makes scheduling passes.
type schedulingPass struct {
	*environment
	fleet        *fleet
	loads        *loadTracker
	reservations *reservations
	residents    *residents
	health       *health
	overload     *overload
	totals       *totals
	probes       *probes
	search       *search
	queue        *queue
	requests     *requests

	unschedulable map[taskShape]bool // for which no worker was found in this pass
	freeUnits     float64            // left in this pass; only where a class has reserved units
	unitsAhead    float64            // of the tasks that stay pending and go first
}

// run makes a pass, if something happened by which a pending task may find a worker.
func (p *schedulingPass) run() {
	if !p.needsPass {
		return
	}
	p.needsPass = false
	p.overload.updateConcurrent()
	tasks := p.queue.byPriority()
	clear(p.unschedulable)
	p.reservations.clear()
	p.unitsAhead, p.freeUnits = 0, 0
	if p.overload.reservesUnits() {
		p.freeUnits = p.totals.freeUnits()
	}
	for _, task := range tasks {
		p.schedule(task)
	}
}

// schedule decides about one pending task.
func (p *schedulingPass) schedule(task *taskInfo) {
	if p.exhausted(task) {
		p.requests.respond(task)
		return
	}
	shape := p.shapeOf(task)
	units := p.settings.Units(task.Cores, task.Memory)
	if (!p.unschedulable[shape] || task.mayHaveRun != nil) && p.unitsLeft(task) {
		if worker := p.search.selectWorker(task); worker != nil {
			if !p.probes.wanted(task, worker) {
				p.offer(task, worker)
				p.freeUnits -= units
			}
			return
		}
	}
	if task.mayHaveRun != nil {
		return
	}
	p.unschedulable[shape] = true
	if p.tooLate(task, units) {
		p.requests.respond(task) // its client is notified now
		return
	}
	p.unitsAhead += units
	p.reserve(task)
}

// exhausted reports whether nothing more can be done for a pending task.
func (p *schedulingPass) exhausted(task *taskInfo) bool {
	if task.DeadlineUs-p.now <= p.queue.responseMargin() || task.copyRunning || task.unusable {
		return true
	}
	if p.settings.MaxAttempts > 0 && len(task.attempts) >= p.settings.MaxAttempts {
		return true
	}
	class := p.classOf(task)
	return task.mayHaveRun != nil &&
		(class.Effect == Unsafe || class.Effect == Keyed && !repeatWindowOpen(p.now, class, task))
}

// shapeOf returns the shape of a task. Its program only matters where the class limits the spread.
func (p *schedulingPass) shapeOf(task *taskInfo) taskShape {
	shape := taskShape{classIndex: task.classIndex, cores: task.Cores, memory: task.Memory}
	if p.classOf(task).Spread != ScopeNone {
		shape.program = task.Program
	}
	return shape
}

// unitsLeft reports whether a task leaves the units that its class has to leave to others.
func (p *schedulingPass) unitsLeft(task *taskInfo) bool {
	reserved := p.overload.unitsReserved(task.classIndex)
	return reserved == 0 || p.freeUnits > reserved
}

// tooLate reports whether capacity for a task becomes free well after its deadline.
func (p *schedulingPass) tooLate(task *taskInfo, units float64) bool {
	timeUntilFree, known := p.overload.timeUntilFree(p.unitsAhead + units)
	return known && timeUntilFree > float64(task.DeadlineUs-p.now)*latenessFactor
}

// reserve reserves the worker that is closest to fitting a pending task. It guards against small
// tasks of low priority that take every gap before it is large enough for one of high priority.
// It would harm where all pending tasks are of one priority: then nothing is reserved, or
// where capacity never becomes free: so half of the workers stay open to all.
func (p *schedulingPass) reserve(task *taskInfo) {
	if !p.settings.HasView || p.reservations.count()*2 >= p.fleet.assignedCount() {
		return
	}
	if worker := p.search.closestToFitting(task); worker != nil {
		p.reservations.reserve(worker, task.priority)
	}
}

// offer offers a task to a worker.
func (p *schedulingPass) offer(task *taskInfo, worker *workerInfo) {
	p.queue.remove(task)
	attempt := &attemptInfo{worker: worker, sentAt: p.now, awaitingResponse: true}
	task.attempts = append(task.attempts, attempt)
	worker.unanswered = append(worker.unanswered, attempt)
	p.loads.addDelta(worker, task.Cores, task.Memory)
	p.residents.add(worker, task.Program)
	worker.recordOffer(p.now, offerWindows*p.settings.SlowStartWindowUs)
	p.emit(Place{RequestID: task.RequestID, Worker: worker.Worker, AbandonAtUs: p.abandonAt(task)})
}

// abandonAt is when the last attempt of a task is abandoned: well after answers usually come,
// so that another may follow. An unsafe task could not be tried again, so it waits to its
// deadline.
func (p *schedulingPass) abandonAt(task *taskInfo) int64 {
	lastAttempt := p.settings.MaxAttempts > 0 && len(task.attempts) >= p.settings.MaxAttempts
	if p.classOf(task).Effect == Unsafe || lastAttempt || !p.health.rttKnown() {
		return task.DeadlineUs
	}
	timeout := abandonTimeouts * p.health.responseTimeout()
	if p.settings.AcceptMeansRunning {
		// Quick answers come first, so early on the slow starts are not seen yet.
		timeout = max(timeout, (task.DeadlineUs-p.now)*2/3)
	}
	return min(task.DeadlineUs, p.now+timeout)
}

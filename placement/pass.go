package placement

// This file owns the scheduling pass, which goes through all pending tasks by priority. For each task,
// the pass finds a worker and offers the task to it, or gives the final response. Otherwise the task
// stays pending: it waits for the report of a probe or for free capacity, and the pass may reserve a
// worker for it. A task never has more than one open offer at a time.

const (
	// latenessFactor is the maximum expected wait for capacity, as a multiple of the time left until
	// the deadline of a pending task. If the expected wait at the present release rate is longer, the
	// task is rejected before its deadline.
	latenessFactor = 2.0
	// abandonTimeouts is the time after which an unanswered attempt is abandoned, as a multiple of the
	// response timeout (see abandonAt).
	abandonTimeouts = 2
	// offerRetentionWindows is the time for which the record of an offer to a worker is kept, as a
	// multiple of the slow-start window.
	offerRetentionWindows = 2
)

// schedulingPass runs scheduling passes.
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

	unschedulable map[taskShape]bool // shapes of tasks that could get no worker in this pass
	freeUnits     float64            // free units left in this pass; valid only if a class must leave units free
	unitsAhead    float64            // units of the earlier tasks of this pass that wait for free capacity
}

// run makes a scheduling pass if an event since the last pass may allow a pending task to be placed.
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

// schedule offers one pending task to a worker, keeps it pending, or gives its final response.
func (p *schedulingPass) schedule(task *taskInfo) {
	if p.exhausted(task) {
		p.requests.respond(task)
		return
	}
	shape := p.shapeOf(task)
	units := p.settings.Units(task.Cores, task.Memory)
	if (!p.unschedulable[shape] || task.excludesWorkers()) && p.leavesReservedUnits(task) {
		if worker := p.search.selectWorker(task); worker != nil {
			if !p.probes.mustWaitForReport(task, worker) {
				p.offer(task, worker)
				p.freeUnits -= units
			}
			return
		}
	}
	if task.excludesWorkers() {
		return
	}
	p.unschedulable[shape] = true
	if p.tooLate(task, units) {
		p.requests.respond(task) // the client gets the response now instead of at the deadline
		return
	}
	p.unitsAhead += units
	p.reserve(task)
}

// exhausted reports whether a pending task can get no further attempt and needs its final response.
func (p *schedulingPass) exhausted(task *taskInfo) bool {
	if task.DeadlineUs-p.now <= p.queue.responseMargin() || task.copyRunning || task.unusable {
		return true
	}
	if p.settings.MaxAttempts > 0 && len(task.attempts) >= p.settings.MaxAttempts {
		return true
	}
	class := p.classOf(task)
	effect := task.effect(class)
	return p.excludesAll(task) || task.mayHaveRun != nil &&
		(effect == Unsafe || effect == Keyed && !repeatWindowOpen(p.now, class, task))
}

// excludesAll reports whether a task may have run on every worker that could get it. It returns false in a
// large fleet, which has more workers than a task gets attempts.
func (p *schedulingPass) excludesAll(task *taskInfo) bool {
	if !task.excludesWorkers() || p.fleet.isLarge() {
		return false
	}
	class, excluded := p.classOf(task), false
	for _, worker := range p.fleet.sorted {
		switch {
		case !eligible(worker, class) || !permitsGroup(worker, class, task):
		case task.mayHaveRunOn(worker):
			excluded = true
		default:
			return false
		}
	}
	return excluded
}

// shapeOf returns the shape of a task. The shape includes the program only if the class limits the
// spread, because otherwise the program does not decide whether a worker is found.
func (p *schedulingPass) shapeOf(task *taskInfo) taskShape {
	shape := taskShape{classIndex: task.classIndex, cores: task.Cores, memory: task.Memory}
	if p.classOf(task).Spread != ScopeNone {
		shape.program = task.Program
	}
	return shape
}

// leavesReservedUnits reports whether the free capacity left in this pass exceeds the units that the
// class of a task has to leave to other classes. It returns true if the class has to leave none.
func (p *schedulingPass) leavesReservedUnits(task *taskInfo) bool {
	reserved := p.overload.unitsReserved(task.classIndex)
	return reserved == 0 || p.freeUnits > reserved
}

// tooLate reports whether capacity for a task is expected to become free only well after its deadline
// (see latenessFactor). It returns false if the release rate is unknown.
func (p *schedulingPass) tooLate(task *taskInfo, units float64) bool {
	timeUntilFree, known := p.overload.timeUntilFree(p.unitsAhead + units)
	return known && timeUntilFree > float64(task.DeadlineUs-p.now)*latenessFactor
}

// reserve reserves a worker for a pending task: of the healthy unreserved workers, the one that needs
// the least additional free capacity to fit the task. Without reservations, small tasks of low priority
// would take all free capacity of a worker before it suffices for a larger task of high priority. If
// the settings provide no view, no worker is reserved.
//
// Two rules limit the harm of reservations. A reservation keeps only tasks of much lower priority from
// the worker (see reservationFactor). Reservations stop once half of the workers are reserved, so that
// the other workers stay open to all tasks even if no capacity becomes free on the reserved ones.
func (p *schedulingPass) reserve(task *taskInfo) {
	if !p.settings.HasView || p.reservations.count()*2 >= p.fleet.assignedCount() {
		return
	}
	if worker := p.search.closestToFitting(task); worker != nil {
		p.reservations.reserve(worker, task.priority)
	}
}

// offer offers a task to a worker and records the attempt.
func (p *schedulingPass) offer(task *taskInfo, worker *workerInfo) {
	p.queue.remove(task)
	attempt := &attemptInfo{worker: worker, sentAt: p.now, awaitingResponse: true}
	task.attempts = append(task.attempts, attempt)
	worker.unanswered = append(worker.unanswered, attempt)
	p.loads.addDelta(worker, task.Cores, task.Memory)
	p.residents.add(worker, task.Program)
	worker.recordOffer(p.now, offerRetentionWindows*p.settings.SlowStartWindowUs)
	p.emit(Place{RequestID: task.RequestID, Worker: worker.Worker, AbandonAtUs: p.abandonAt(task)})
}

// abandonAt returns the time at which the latest attempt of a task is abandoned if the worker has not
// answered. This time is well after responses usually arrive, and usually early enough for another
// attempt. The attempt lasts until the deadline in three cases: the class of the task is unsafe, so the
// task could not be tried again; the attempt is the last one permitted; or no response time was
// measured yet.
func (p *schedulingPass) abandonAt(task *taskInfo) int64 {
	lastAttempt := p.settings.MaxAttempts > 0 && len(task.attempts) >= p.settings.MaxAttempts
	if task.effect(p.classOf(task)) == Unsafe || lastAttempt || !p.health.rttKnown() {
		return task.DeadlineUs
	}
	timeout := abandonTimeouts * p.health.responseTimeout()
	if p.settings.AcceptMeansRunning {
		// The response timeout is derived from the responses so far, and fast responses arrive first.
		// While few responses have arrived, the timeout is therefore too short for slow starts, so the
		// attempt lasts for at least two thirds of the time left until the deadline.
		timeout = max(timeout, (task.DeadlineUs-p.now)*2/3)
	}
	return min(task.DeadlineUs, p.now+timeout)
}

package placement

// This module holds every decision. Its interface (settings, events and actions) is in
// api.go. Order of reading: placer.go (events), view.go, choose.go, dispatch.go,
// health.go, rules.go.

const (
	second = int64(1_000_000)

	// contention is the share of a machine that others are taken to have used, of the room
	// that the view newly shows, while room is short: each refusal adds a step, so many
	// offers accepted take it back.
	contentionStep   = 0.01
	contentionOffers = 12
	maxContention    = 0.2
)

// Handle takes what happened at now and returns what to do, in order.
func (p *Scheduler) Handle(now int64, events []Event) []Action {
	p.now, p.actions = now, nil
	if p.startedAt < 0 {
		p.startedAt = now
		p.pollAt = now + p.jitter(second/5)
	}
	for _, event := range events {
		p.handleEvent(event)
	}
	p.runPass()
	p.pollDiscovery()
	p.setTimer()
	return p.actions
}

// addRequest takes in a task. One that can never be placed is refused at once.
func (p *Scheduler) addRequest(submitted Task) {
	if p.tasks[submitted.RequestID] != nil {
		return
	}
	classIndex, ok := p.classIndexes[submitted.Class]
	if !ok || submitted.DeadlineUs <= p.now || !p.fitsAnyKind(classIndex, submitted) {
		p.emit(Reject{RequestID: submitted.RequestID})
		return
	}
	task := &taskInfo{Task: submitted, classIndex: classIndex, arrivedAt: p.now, queuedSince: p.now}
	if submitted.QueuedSinceUs > 0 {
		task.queuedSince = min(task.queuedSince, submitted.QueuedSinceUs)
	}
	p.tasks[submitted.RequestID] = task
	p.enqueue(task)
}

// fitsAnyKind reports whether any kind could hold the task when empty.
func (p *Scheduler) fitsAnyKind(classIndex int, task Task) bool {
	class := &p.settings.Classes[classIndex]
	if class.Spread != ScopeNone && class.MaxPerDomain < 1 {
		return false
	}
	for i, kind := range p.settings.Kinds {
		if (class.Kind < 0 || class.Kind == i) &&
			task.Cores <= kind.Cores*p.settings.CoresOvercommit && task.Memory <= kind.Memory*p.settings.MemoryOvercommit {
			return true
		}
	}
	return false
}

func (p *Scheduler) attemptAccepted(event Accepted) {
	task := p.tasks[event.RequestID]
	if task == nil || task.accepted || task.cancelled || event.Attempt < 0 || event.Attempt >= len(task.attempts) {
		return
	}
	attempt := task.attempts[event.Attempt]
	task.accepted = true
	p.dequeue(task)
	p.recordResponse(attempt, event.RTTUs)
	if !p.settings.AcceptMeansRunning {
		p.redateDelta(attempt)
		attempt.starting = true
	}
	attempt.worker.recordSuccess(p.now, task.classIndex)
	p.contention = max(0, p.contention-contentionStep/contentionOffers)
	attempt.worker.attemptWindow = min(maxWindow, attempt.worker.attemptWindow+1/attempt.worker.attemptWindow)
	p.addTenantCores(task, 1)
	p.addRunning(task, attempt.worker)
	p.dirty = true
}

// ended takes the end of an attempt, which is also the end of a placed task.
func (p *Scheduler) attemptEnded(event AttemptEnded) {
	task := p.tasks[event.RequestID]
	if task == nil || event.Attempt < 0 || event.Attempt >= len(task.attempts) || task.attempts[event.Attempt].ended {
		return
	}
	attempt := task.attempts[event.Attempt]
	attempt.ended, p.dirty = true, true
	wasRunning := task.accepted && attempt == task.attempts[len(task.attempts)-1]
	p.recordOutcome(task, attempt, event, wasRunning)
	p.endResident(attempt.worker, task.Program)
	switch event.Outcome {
	case Rejected, ConnectFailed, NeverSent:
		p.removeDelta(attempt)
	default:
		p.addDelta(attempt.worker, -task.Cores, -task.Memory)
	}
	if event.Outcome == Rejected && (event.Cause == CauseCores || event.Cause == CauseMemory) {
		p.contention = min(maxContention, p.contention+contentionStep)
		p.recordRejection(attempt.worker, task, event.Cause)
	}
	if wasRunning || event.Final || task.cancelled {
		p.forgetTask(task)
		return
	}
	switch event.Outcome {
	case Rejected, ConnectFailed, NeverSent:
		task.copyRunning = task.copyRunning || task.mayHaveRun != nil && event.Cause == CauseWrongWorker
	default:
		if task.mayHaveRun == nil {
			task.mayHaveRun = attempt
		}
	}
	p.enqueue(task)
}

// taskReported takes news of a running task: how much of what it asked it uses, how
// well its machine serves it, and how full that machine's memory is.
func (p *Scheduler) taskReported(event TaskReport) {
	task := p.tasks[event.RequestID]
	if task == nil || event.Attempt < 0 || event.Attempt >= len(task.attempts) {
		return
	}
	attempt := task.attempts[event.Attempt]
	switch event.Kind {
	case ReportRunning:
		attempt.starting = false
	case ReportCores:
		if task.Cores > 0 && task.accepted && !attempt.ended {
			p.recordUsage(0, task.Cores, &task.coresUsage, event.Value)
		}
	case ReportMemory:
		if task.Memory > 0 && task.accepted && !attempt.ended {
			p.recordUsage(1, task.Memory, &task.memoryUsage, event.Value)
		}
	case ReportService:
		p.calibrate(attempt.worker, &attempt.worker.coresCalibration, 0, p.saturationLoad()+p.saturationRange()*(1-event.Value), p.saturationLoad(), event.Value < 0.95, 0.5)
		p.migrateOne(attempt.worker, event.Value)
	case ReportMemoryPressure:
		p.calibrate(attempt.worker, &attempt.worker.memoryCalibration, 1, event.Value, memorySaturation, event.Value > memorySaturation*0.95, 0.5)
	}
}

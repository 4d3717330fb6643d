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
	maxContention   = 0.2
)

// Handle takes what happened at now and returns what to do, in order.
func (p *Scheduler) Handle(now int64, events []Event) []Action {
	p.now, p.actions = now, nil
	if p.startedAt < 0 {
		p.startedAt = now
		p.pollAt = now + p.jitter(second/5)
	}
	for _, e := range events {
		p.handleEvent(e)
	}
	p.runPass()
	p.pollDiscovery()
	p.setTimer()
	return p.actions
}

// addRequest takes in a task. One that can never be placed is refused at once.
func (p *Scheduler) addRequest(rt Task) {
	if p.tasks[rt.RequestID] != nil {
		return
	}
	class, ok := p.classIndexes[rt.Class]
	if !ok || rt.DeadlineUs <= p.now || !p.fitsAnyKind(class, rt) {
		p.emit(Reject{RequestID: rt.RequestID})
		return
	}
	t := &taskInfo{Task: rt, classIndex: class, arrivedAt: p.now, queuedSince: p.now}
	if rt.QueuedSinceUs > 0 {
		t.queuedSince = min(t.queuedSince, rt.QueuedSinceUs)
	}
	p.tasks[rt.RequestID] = t
	p.enqueue(t)
}

// fitsAnyKind reports whether any kind could hold the task when empty.
func (p *Scheduler) fitsAnyKind(class int, t Task) bool {
	c := &p.settings.Classes[class]
	if c.Spread != ScopeNone && c.MaxPerDomain < 1 {
		return false
	}
	for i, k := range p.settings.Kinds {
		if (c.Kind < 0 || c.Kind == i) &&
			t.Cores <= k.Cores*p.settings.CoresOvercommit && t.Memory <= k.Memory*p.settings.MemoryOvercommit {
			return true
		}
	}
	return false
}

func (p *Scheduler) attemptAccepted(e Accepted) {
	t := p.tasks[e.RequestID]
	if t == nil || t.accepted || t.cancelled || e.Attempt < 0 || e.Attempt >= len(t.attempts) {
		return
	}
	a := t.attempts[e.Attempt]
	t.accepted = true
	p.dequeue(t)
	p.recordResponse(a, e.RTTUs)
	if !p.settings.AcceptMeansRunning {
		p.redateDelta(a)
		a.starting = true
	}
	a.worker.recordSuccess(p.now, t.classIndex)
	p.contention = max(0, p.contention-contentionStep/contentionOffers)
	a.worker.attemptWindow = min(maxWindow, a.worker.attemptWindow+1/a.worker.attemptWindow)
	p.addTenantCores(t, 1)
	p.addRunning(t, a.worker)
	p.dirty = true
}

// ended takes the end of an attempt, which is also the end of a placed task.
func (p *Scheduler) attemptEnded(e AttemptEnded) {
	t := p.tasks[e.RequestID]
	if t == nil || e.Attempt < 0 || e.Attempt >= len(t.attempts) || t.attempts[e.Attempt].ended {
		return
	}
	a := t.attempts[e.Attempt]
	a.ended, p.dirty = true, true
	ran := t.accepted && a == t.attempts[len(t.attempts)-1]
	p.recordOutcome(t, a, e, ran)
	p.endResident(a.worker, t.Program)
	switch e.Outcome {
	case Rejected, ConnectFailed, NeverSent:
		p.removeDelta(a)
	default:
		p.addDelta(a.worker, -t.Cores, -t.Memory)
	}
	if e.Outcome == Rejected && (e.Cause == CauseCores || e.Cause == CauseMemory) {
		p.contention = min(maxContention, p.contention+contentionStep)
		p.recordRejection(a.worker, t, e.Cause)
	}
	if ran || e.Final || t.cancelled {
		p.forgetTask(t)
		return
	}
	switch e.Outcome {
	case Rejected, ConnectFailed, NeverSent:
		t.copyRunning = t.copyRunning || t.mayHaveRun != nil && e.Cause == CauseWrongWorker
	default:
		if t.mayHaveRun == nil {
			t.mayHaveRun = a
		}
	}
	p.enqueue(t)
}

// taskReported takes news of a running task: how much of what it asked it uses, how
// well its machine serves it, and how full that machine's memory is.
func (p *Scheduler) taskReported(e TaskReport) {
	t := p.tasks[e.RequestID]
	if t == nil || e.Attempt < 0 || e.Attempt >= len(t.attempts) {
		return
	}
	a := t.attempts[e.Attempt]
	switch e.Kind {
	case ReportRunning:
		a.starting = false
	case ReportCores:
		if t.Cores > 0 && t.accepted && !a.ended {
			p.recordUsage(0, t.Cores, &t.coresUsage, e.Value)
		}
	case ReportMemory:
		if t.Memory > 0 && t.accepted && !a.ended {
			p.recordUsage(1, t.Memory, &t.memoryUsage, e.Value)
		}
	case ReportService:
		p.calibrate(a.worker, &a.worker.coresCalibration, 0, p.saturationLoad()+p.saturationRange()*(1-e.Value), p.saturationLoad(), e.Value < 0.95, 0.5)
		p.migrateOne(a.worker, e.Value)
	case ReportMemoryPressure:
		p.calibrate(a.worker, &a.worker.memoryCalibration, 1, e.Value, memorySaturation, e.Value > memorySaturation*0.95, 0.5)
	}
}

package placement

// This module holds every decision. Its interface (settings, events and actions) is in
// api.go. Order of reading: placer.go (events), view.go, choose.go, dispatch.go,
// health.go, rules.go.

const (
	second = int64(1_000_000)

	// taken is the share of a machine that others are taken to have used, of the room
	// that the view newly shows, while room is short: each refusal adds a step, so many
	// offers accepted take it back.
	takenStep   = 0.01
	takenOffers = 12
	takenMost   = 0.2
)

// Handle takes what happened at now and returns what to do, in order.
func (p *Scheduler) Handle(now int64, events []Event) []Action {
	p.now, p.out = now, nil
	if p.born < 0 {
		p.born = now
		p.askAt = now + p.jitter(second/5)
	}
	for _, e := range events {
		p.event(e)
	}
	p.place()
	p.discover()
	p.wake()
	return p.out
}

// request takes in a task. One that can never be placed is refused at once.
func (p *Scheduler) request(rt Task) {
	if p.tasks[rt.RequestID] != nil {
		return
	}
	class, ok := p.classes[rt.Class]
	if !ok || rt.DeadlineUs <= p.now || !p.everFits(class, rt) {
		p.do(Reject{RequestID: rt.RequestID})
		return
	}
	t := &task{Task: rt, class: class, arrived: p.now, since: p.now}
	if rt.QueuedSinceUs > 0 {
		t.since = min(t.since, rt.QueuedSinceUs)
	}
	p.tasks[rt.RequestID] = t
	p.hold(t)
}

// everFits reports whether any kind could hold the task when empty.
func (p *Scheduler) everFits(class int, t Task) bool {
	c := &p.s.Classes[class]
	if c.Spread != ScopeNone && c.MaxPerDomain < 1 {
		return false
	}
	for i, k := range p.s.Kinds {
		if (c.Kind < 0 || c.Kind == i) &&
			t.Cores <= k.Cores*p.s.CoresOvercommit && t.Memory <= k.Memory*p.s.MemoryOvercommit {
			return true
		}
	}
	return false
}

func (p *Scheduler) accepted(e Accepted) {
	t := p.tasks[e.RequestID]
	if t == nil || t.placed || t.over || e.Attempt < 0 || e.Attempt >= len(t.attempts) {
		return
	}
	a := t.attempts[e.Attempt]
	t.placed = true
	p.unhold(t)
	p.answered(a, e.RTTUs)
	if !p.s.AcceptMeansRunning {
		p.rebind(a)
		a.starting = true
	}
	a.m.heal(p.now, t.class)
	p.taken = max(0, p.taken-takenStep/takenOffers)
	a.m.window = min(windowMost, a.m.window+1/a.m.window)
	p.holds(t, 1)
	p.runs(t, a.m)
	p.stirred = true
}

// done takes the end of an attempt, which is also the end of a placed task.
func (p *Scheduler) done(e AttemptEnded) {
	t := p.tasks[e.RequestID]
	if t == nil || e.Attempt < 0 || e.Attempt >= len(t.attempts) || t.attempts[e.Attempt].done {
		return
	}
	a := t.attempts[e.Attempt]
	a.done, p.stirred = true, true
	ran := t.placed && a == t.attempts[len(t.attempts)-1]
	p.judge(t, a, e, ran)
	p.letGo(a.m, t.Program)
	switch e.Outcome {
	case Rejected, ConnectFailed, NeverSent:
		p.unbind(a)
	default:
		p.bind(a.m, -t.Cores, -t.Memory)
	}
	if e.Outcome == Rejected && (e.Cause == CauseCores || e.Cause == CauseMemory) {
		p.taken = min(takenMost, p.taken+takenStep)
		p.refused(a.m, t, e.Cause)
	}
	if ran || e.Final || t.over {
		p.drop(t)
		return
	}
	switch e.Outcome {
	case Rejected, ConnectFailed, NeverSent:
		t.stands = t.stands || t.mayRun != nil && e.Cause == CauseWrongWorker
	default:
		if t.mayRun == nil {
			t.mayRun = a
		}
	}
	p.hold(t)
}

// noted takes news of a running task: how much of what it asked it uses, how
// well its machine serves it, and how full that machine's memory is.
func (p *Scheduler) noted(e TaskReport) {
	t := p.tasks[e.RequestID]
	if t == nil || e.Attempt < 0 || e.Attempt >= len(t.attempts) {
		return
	}
	a := t.attempts[e.Attempt]
	switch e.Kind {
	case ReportRunning:
		a.starting = false
	case ReportCores:
		if t.Cores > 0 && t.placed && !a.done {
			p.use(0, t.Cores, &t.useC, e.Value)
		}
	case ReportMemory:
		if t.Memory > 0 && t.placed && !a.done {
			p.use(1, t.Memory, &t.useM, e.Value)
		}
	case ReportService:
		p.bend(a.m, &a.m.bendC, 0, p.calm()+p.fade()*(1-e.Value), p.calm(), e.Value < 0.95, 0.5)
		p.relieve(a.m, e.Value)
	case ReportMemoryPressure:
		p.bend(a.m, &a.m.bendM, 1, e.Value, memoryFull, e.Value > memoryFull*0.95, 0.5)
	}
}

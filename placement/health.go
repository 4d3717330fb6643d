package placement

// This file judges machines by what becomes of their attempts and tasks.

import "slices"

const (
	// memoryFull is the share of memory in use over which machines slow down.
	memoryFull = 0.92
	// bendLeast bounds how little a machine may be taken to bear.
	bendLeast = 0.05
	// bendHalf is in what time half of a learned bend is forgotten: troubles
	// last some ten seconds, and what holds on tells again each second.
	bendHalf = 8 * second

	// What adds to the suspicion of a machine: no answer, an error or a loss, and no
	// answer while others of the class came.
	silenceHurt = 1.5
	errorHurt   = 0.7
	lossHurt    = 0.4
	// suspectHalf halves suspicion; machines over suspectOut get nothing, over
	// suspectTry one attempt at a time; suspectMost bounds how long one stays out.
	// suspectHeal is what a success leaves: a machine that loses most answers some.
	suspectHalf = 6 * second
	suspectHeal = 0.7
	suspectTry  = 0.25
	suspectMet  = 0.5 // what is left where a connection came up again
	suspectOut  = 1.0
	suspectMost = 6.0

	// windowFirst is how many unanswered attempts a machine may owe this placer at first;
	// answers let it grow to windowMost, 'too many offers wait' halves it.
	windowFirst = 3.0
	windowMost  = 12.0

	// leaves is how long a machine that turned a task away as not to be there, or
	// sent one away, is taken to drain though the list does not say so yet.
	leaves = 5 * second

	// moveUnder is the service below which a task may be moved, moveStart the
	// seconds lost by starting anew, moveSure how far gain must exceed price, as
	// hints are rough, and moveUnknown the seconds left where there is no hint.
	moveUnder   = 0.7
	moveAnyway  = 0.25 // and below this also with no room elsewhere
	moveStart   = 1.5
	moveSure    = 2.0
	moveUnknown = 4.0
	// moveOver is over how many seconds the excess is moved: use swings, so less
	// than all of it is meant to go.
	moveOver = 3.0
)

// judge feeds the health of a machine with the end of an attempt.
func (p *Scheduler) judge(t *task, a *attempt, e AttemptEnded, ran bool) {
	if a.waits {
		if e.Outcome == TimedOut {
			a.waits = false
			a.m.unanswered = slices.DeleteFunc(a.m.unanswered, func(b *attempt) bool { return a == b })
		} else {
			p.answered(a, e.RTTUs)
		}
	}
	switch {
	case e.Outcome == TimedOut:
		p.silent(t.class, a)
	case e.Outcome == ConnectFailed:
		a.m.hurt(p.now, silenceHurt)
	case e.Outcome == Failed:
		p.erred(t, a)
	case e.Outcome == Reset && (!ran || e.Cause == CauseUnknown):
		a.m.hurt(p.now, errorHurt)
	case e.Outcome == Rejected && e.Cause == CauseQueue:
		a.m.window = max(1, a.m.window/2)
		// A jammed machine refuses at once: it would use up all attempts.
		a.m.hurt(p.now, silenceHurt)
	case e.Outcome == Rejected && e.Cause == CauseWrongWorker && t.mayRun == nil, ran && e.Cause == CauseDrained:
		a.m.leavingTo = p.now + leaves
	}
}

// erred takes an error. It counts against the machine, unless another machine gave
// one for the same task: then the task can't be used, no further machine is asked,
// and those that were are cleared. It guards against tasks that no machine can use,
// each of which would keep several healthy machines out. It would harm where machines
// fail so often that two errors in a row are chance.
func (p *Scheduler) erred(t *task, a *attempt) {
	a.erred = true
	a.m.hurt(p.now, errorHurt)
	if !slices.ContainsFunc(t.attempts, func(b *attempt) bool { return b.erred && b.m != a.m }) {
		return // the next attempt goes to another machine, if there is one
	}
	t.unfit = true
	for _, b := range t.attempts {
		if b.erred {
			b.erred = false
			b.m.hurt(p.now, -errorHurt)
		}
	}
}

// reached takes it that a machine is there after all: what failed was a connection,
// with all that lay on it, so the machine is tried again, one attempt at a time. It
// would harm where a machine takes connections and answers nothing: so it has to
// accept something before that counts again.
func (p *Scheduler) reached(e WorkerReachable) {
	m := p.machines[e.Worker]
	if m == nil || m.reachedAt > 0 && slices.Max(m.heard) <= m.reachedAt {
		return
	}
	m.reachedAt, p.stirred = p.now, true
	for class := range m.doubts {
		m.doubts[class] = doubt{min(suspectMet, m.suspicion(p.now, class)), p.now}
	}
}

// silent takes an attempt that got no answer. It counts against the machine, but
// where that answered since the attempt went out, it is there: against the class
// alone if it answered others only, and little if it answered the same, as then a
// part of the answers is lost. It could harm by trusting a machine that is about
// to go silent: the next attempt tells.
func (p *Scheduler) silent(class int, a *attempt) {
	switch {
	case a.m.heard[class] > a.at:
		a.m.doubt(p.now, class, lossHurt)
	case slices.Max(a.m.heard) > a.at:
		a.m.doubt(p.now, class, silenceHurt)
	default:
		a.m.hurt(p.now, silenceHurt)
	}
}

// hurt adds to the suspicion of m for every class.
func (m *machine) hurt(now int64, by float64) {
	for class := range m.doubts {
		m.doubt(now, class, by)
	}
}

func (m *machine) doubt(now int64, class int, by float64) {
	m.doubts[class] = doubt{min(suspectMost, max(0, m.suspicion(now, class)+by)), now}
}

func (m *machine) heal(now int64, class int) {
	m.heard[class] = now
	m.doubts[class] = doubt{m.suspicion(now, class) * suspectHeal, now}
}

func (m *machine) suspicion(now int64, class int) float64 {
	return faded(m.doubts[class].score, now-m.doubts[class].at, suspectHalf)
}

// healthy reports whether m may get a task of a class. A machine that owes an
// answer for longer than answers take gets nothing, a suspect one is tried with
// one attempt at a time, and not with one that must not run twice.
func (p *Scheduler) healthy(m *machine, class int) bool {
	if len(m.unanswered) > 0 && p.rttMean > 0 && p.now-m.unanswered[0].at > p.patience() {
		return false
	}
	if m.probedAt > 0 && p.rttMean > 0 && p.now-m.probedAt > p.patience() {
		return false
	}
	s := m.suspicion(p.now, class)
	if s < suspectTry {
		return true
	}
	return s < suspectOut && len(m.unanswered) == 0 && p.s.Classes[class].Effect != Unsafe
}

// bend learns from poor service and from memory running short what a machine
// really bears: its asked share now, at a use of seen, where calm is wanted. It
// guards against slow machines, neighbours, and tasks that use more than they
// should, and lets go by itself. It would harm where one task of ours is served
// badly for a reason of its own.
func (p *Scheduler) bend(m *machine, f *float64, r int, seen, calm float64, poor bool, sure float64) {
	if !poor || m.kind < 0 || !p.s.HasView {
		return
	}
	m.relax(p.now, bendHalf)
	c, b := p.load(m)
	bc, bm := p.bears(m)
	share := [2]float64{c / bc, b / bm}[r] * *f
	want := min(1, max(bendLeast, share*calm/max(seen, calm)))
	*f += (want - *f) * sure
	p.noteBent(m)
	p.stirred = true
}

// relieve moves one own task off a machine that serves poorly, if what it would
// gain elsewhere in the time it still runs is well over what a move costs. It
// guards against machines stuck far over their calm level and those that slow down,
// where filters come too late. It would harm where the whole fleet is as full: then
// nothing fits and it stays.
func (p *Scheduler) relieve(m *machine, served float64) {
	if served > moveUnder || m.kind < 0 || p.now-m.movedAt < second*9/10 {
		return
	}
	var best *task
	var most float64
	for _, t := range m.running {
		c := &p.s.Classes[t.class]
		rem := p.remains(t)
		price := moveStart + p.s.MigrationCost*(rem+c.StartBonusS)
		gain := (1-served)*rem - moveSure*price
		if v := gain * c.Weight * (t.Cores + t.Memory); gain > 0 && v > most {
			best, most = t, v
		}
	}
	// All placers here hear the same, so each moves its part of the excess: what cores
	// are used over the calm level or, where the machine slowed down, what is asked of
	// it over what it bears now.
	excess := p.fade() * (1 - served) / (p.calm() + p.fade()*(1-served))
	excess = max(excess, 1-1/max(1, p.share(m)))
	chance := excess * float64(len(m.running)) / moveOver
	if best == nil || p.rng.Float64() >= chance || served > moveAnyway && !p.elsewhere(best, m) {
		return
	}
	m.movedAt = p.now
	p.do(Migrate{RequestID: best.RequestID})
	m.running = slices.DeleteFunc(m.running, func(t *task) bool { return t == best })
}

// remains is for how many seconds a task is still expected to run.
func (p *Scheduler) remains(t *task) float64 {
	if !t.HasRunHint || t.ExpectedRunUs <= 0 {
		return moveUnknown
	}
	return max(float64(t.ExpectedRunUs-(p.now-t.ranAt))/float64(second), moveUnknown/2)
}

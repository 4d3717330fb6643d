package placement

// This file is what a placer remembers of requests and running tasks. It decides nothing.

import (
	"math"
	"slices"
)

// attempt is one Place, or a task that was found running.
type attempt struct {
	m        *machine
	at       int64
	waits    bool // no Accepted and no outcome yet
	done     bool
	starting bool
	erred    bool // it was answered with an error
}

// task is a request that is owed an answer, or a task that runs.
type task struct {
	Task
	class    int
	arrived  int64
	since    int64 // since when its owner stands in line
	attempts []*attempt
	placed   bool
	ranAt    int64 // when it was placed
	waiting  bool
	over     bool     // its owner gave it up; an attempt is still out
	mayRun   *attempt // the first attempt that may have run
	stands   bool     // a machine said that a copy stands
	unfit    bool     // two machines gave an error for it
	useC     float64  // cores it was seen to use, over cores asked; 0: not told
	useM     float64
	rank     float64
	probes   int // sent for it
}

// shape is what held tasks of one search have in common.
type shape struct {
	class      int
	cores, mem float64
	program    uint64 // where a spread is stated
}

// use corrects the sums of what own tasks asked and use.
func (p *Scheduler) use(r int, asked float64, was *float64, now float64) {
	if *was == 0 {
		p.asked[r] += asked
	}
	p.used[r] += now - *was*asked
	*was = max(now/asked, 1e-9)
	p.bearing = p.multiples()
}

func (p *Scheduler) unhold(t *task) {
	if t.waiting {
		t.waiting = false
		p.waiting = slices.DeleteFunc(p.waiting, func(b *task) bool { return b == t })
	}
}

// erredOn reports whether m answered t with an error.
func (t *task) erredOn(m *machine) bool {
	return slices.ContainsFunc(t.attempts, func(a *attempt) bool { return a.erred && a.m == m })
}

func (p *Scheduler) holds(t *task, sign float64) {
	p.ownTotal += sign * t.Cores
	if i, ok := p.tenants[t.Tenant]; ok {
		p.ownCores[i] += sign * t.Cores
	}
}

// drop forgets a task that is over.
func (p *Scheduler) drop(t *task) {
	p.unhold(t)
	if t.placed {
		p.holds(t, -1)
		m := t.attempts[len(t.attempts)-1].m
		m.running = slices.DeleteFunc(m.running, func(b *task) bool { return b == t })
	}
	for r, v := range [2]*float64{&t.useC, &t.useM} {
		if *v > 0 {
			was := [2]float64{t.Cores, t.Memory}[r]
			p.asked[r] -= was
			p.used[r] -= was * *v
			*v = 0
			p.bearing = p.multiples()
		}
	}
	for _, a := range t.attempts {
		if a.done {
			continue
		}
		a.done = true
		if a.waits {
			a.waits = false
			a.m.unanswered = slices.DeleteFunc(a.m.unanswered, func(b *attempt) bool { return a == b })
		}
		p.letGo(a.m, t.Program)
	}
	delete(p.tasks, t.RequestID)
}

// answered keeps the mean and the spread of the time that answers take.
func (p *Scheduler) answered(a *attempt, rtt int64) {
	a.waits = false
	a.m.unanswered = slices.DeleteFunc(a.m.unanswered, func(b *attempt) bool { return a == b })
	d := float64(rtt) - p.rttMean
	if p.rttMean == 0 {
		p.rttMean, p.rttDev = float64(rtt), float64(rtt)/2
		return
	}
	p.rttMean += d * rttWeight
	p.rttDev += (math.Abs(d) - p.rttDev) * rttWeight
}

// existing takes over a task that runs. The view holds it already.
func (p *Scheduler) existing(e Adopted) {
	class, ok := p.classes[e.Class]
	if !ok || p.tasks[e.RequestID] != nil {
		return
	}
	m := p.machine(e.Worker)
	a := &attempt{m: m, at: p.now}
	t := &task{Task: e.Task, class: class, arrived: p.now, placed: true, attempts: []*attempt{a}}
	p.tasks[e.RequestID] = t
	p.keepHome(m, t.Program)
	p.holds(t, 1)
	p.runs(t, m)
}

// hold puts t among the waiting.
func (p *Scheduler) hold(t *task) {
	if !t.waiting {
		t.waiting, p.stirred = true, true
		p.waiting = append(p.waiting, t)
	}
}

// gone ends a request that its owner gave up. An attempt still out counts for
// the spread until its outcome.
func (p *Scheduler) gone(t *task) {
	if t == nil || t.placed {
		return
	}
	p.unhold(t)
	t.over = true
	if n := len(t.attempts); n == 0 || t.attempts[n-1].done {
		p.drop(t)
	}
}

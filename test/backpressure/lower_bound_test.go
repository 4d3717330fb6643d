package backpressure

import (
	"slices"
	"time"
)

// This file owns the bound on the results that any orchestrator can reach. It simulates all workers as one pool
// whose free capacity is always known. The pool inspects offers and starts tasks as fast as all workers
// together. Live-relay tasks start first, then all other tasks, in both groups in the order of submission.

// boundStep is the time step of the simulation.
const boundStep = 10 * ms

// pool simulates all workers as one.
type pool struct {
	cores, memory      float64          // free capacity
	inspectionsPerStep float64          // number of offers that all workers together inspect in one time step
	maxTokens          float64          // upper limit of the field tokens
	tokens             float64          // number of offers that the pool can inspect now
	slotFreeAt         []time.Duration  // time when each start slot becomes free
	completions        []poolCompletion // completions of running tasks
	lastStart          time.Duration    // time when the last task of the storm was accepted
	relaysInTime       int              // live-relay tasks of the storm that met their latency objective
}

// poolCompletion is the completion of a running task, which frees its capacity.
type poolCompletion struct {
	at  time.Duration
	job *job
}

// newPool returns the pool of the emulated workers. A worker that has just started contributes its full capacity and
// inspection rate, but the number of its start slots is multiplied by ColdStartRate for the whole simulation.
func newPool(workers int) *pool {
	p := &pool{maxTokens: float64(workers)}
	slots := 0.0
	for i, spec := range workerSpecs(workers, 0) {
		p.cores += spec.Cores
		p.memory += spec.Memory
		p.inspectionsPerStep += float64(boundStep) / float64((spec.InspectionTime[0]+spec.InspectionTime[1])/2)
		speed := 1.0
		if i < workers/coldDivisor {
			speed = spec.ColdStartRate
		}
		slots += speed * float64(spec.MaxStarting)
	}
	p.slotFreeAt = make([]time.Duration, int(slots))
	return p
}

// lowerBound returns two limits on the results of any orchestrator: the earliest time at which the last task of the
// storm can be accepted, relative to the start of the storm, and the largest fraction of the storm's live-relay tasks
// that can meet their latency objective.
func lowerBound(jobs []*job, workers int) (lastStart time.Duration, relaysInTime float64) {
	p := newPool(workers)
	arrivals := slices.SortedFunc(slices.Values(jobs), func(a, b *job) int { return int(a.at - b.at) })
	var pending []*job
	for now := arrivals[0].at; len(arrivals) > 0 || len(pending) > 0; now += boundStep {
		p.tokens = min(p.tokens+p.inspectionsPerStep, p.maxTokens)
		for len(arrivals) > 0 && arrivals[0].at <= now {
			pending = append(pending, arrivals[0])
			arrivals = arrivals[1:]
		}
		p.complete(now)
		slices.SortStableFunc(pending, func(a, b *job) int { return b.priority() - a.priority() })
		pending = slices.DeleteFunc(pending, func(j *job) bool { return p.start(j, now) })
	}
	return p.lastStart, float64(p.relaysInTime) / float64(max(1, countStormRelays(jobs)))
}

// complete frees the capacity of the tasks that have completed by now.
func (p *pool) complete(now time.Duration) {
	p.completions = slices.DeleteFunc(p.completions, func(c poolCompletion) bool {
		if c.at > now {
			return false
		}
		p.cores += c.job.Cores
		p.memory += c.job.Memory
		return true
	})
}

// start starts a task and returns true. It returns false if there is not enough free capacity or no inspection
// token.
func (p *pool) start(j *job, now time.Duration) bool {
	if j.Cores > p.cores || j.Memory > p.memory || p.tokens < 1 {
		return false
	}
	p.tokens--
	slot := p.nextSlot()
	startedAt := max(now, p.slotFreeAt[slot]) + j.StartTime
	p.slotFreeAt[slot] = startedAt
	p.cores -= j.Cores
	p.memory -= j.Memory
	p.completions = append(p.completions, poolCompletion{startedAt + j.RunTime, j})
	if j.inStorm {
		p.lastStart = max(p.lastStart, now)
		if j.isRelay() && startedAt-j.at <= j.class.latencyObjective {
			p.relaysInTime++
		}
	}
	return true
}

// nextSlot returns the index of the start slot that becomes free first.
func (p *pool) nextSlot() (first int) {
	for i := range p.slotFreeAt {
		if p.slotFreeAt[i] < p.slotFreeAt[first] {
			first = i
		}
	}
	return first
}

func (j *job) isRelay() bool { return j.Class == classRelay }

// priority returns the rank by which the pool starts pending tasks; higher ranks start first.
func (j *job) priority() int {
	if j.isRelay() {
		return 1
	}
	return 0
}

func countStormRelays(jobs []*job) (n int) {
	for _, j := range jobs {
		if j.inStorm && j.isRelay() {
			n++
		}
	}
	return n
}

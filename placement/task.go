package placement

// This file is what a placer remembers of requests and running tasks. It decides nothing.

import (
	"math"
	"slices"
)

// attempt is one Place, or a task that was found running.
type attempt struct {
	worker        *workerInfo
	sentAt       int64
	awaitingResponse    bool // no Accepted and no outcome yet
	ended     bool
	starting bool
	failed    bool // it was answered with an error
}

// taskInfo is a request that is owed an answer, or a task that runs.
type taskInfo struct {
	Task
	classIndex    int
	arrivedAt  int64
	queuedSince    int64 // since when its owner stands in line
	attempts []*attempt
	accepted   bool
	acceptedAt    int64 // when it was placed
	pending  bool
	cancelled     bool     // its owner gave it up; an attempt is still out
	mayHaveRun   *attempt // the first attempt that may have run
	copyRunning   bool     // a machine said that a copy stands
	unusable    bool     // two machines gave an error for it
	coresUsage     float64  // cores it was seen to use, over cores asked; 0: not told
	memoryUsage     float64
	priority     float64
	probesSent   int // sent for it
}

// taskShape is what held tasks of one search have in common.
type taskShape struct {
	class      int
	cores, memory float64
	program    uint64 // where a spread is stated
}

// recordUsage corrects the sums of what own tasks asked and use.
func (p *Scheduler) recordUsage(r int, asked float64, was *float64, now float64) {
	if *was == 0 {
		p.reportedRequests[r] += asked
	}
	p.reportedUsage[r] += now - *was*asked
	*was = max(now/asked, 1e-9)
	p.baseline = p.computeBaseline()
}

func (p *Scheduler) dequeue(t *taskInfo) {
	if t.pending {
		t.pending = false
		p.pending = slices.DeleteFunc(p.pending, func(b *taskInfo) bool { return b == t })
	}
}

// failedOn reports whether m answered t with an error.
func (t *taskInfo) failedOn(m *workerInfo) bool {
	return slices.ContainsFunc(t.attempts, func(a *attempt) bool { return a.failed && a.worker == m })
}

func (p *Scheduler) addTenantCores(t *taskInfo, sign float64) {
	p.totalCores += sign * t.Cores
	if i, ok := p.tenantIndexes[t.Tenant]; ok {
		p.tenantCores[i] += sign * t.Cores
	}
}

// forgetTask forgets a task that is over.
func (p *Scheduler) forgetTask(t *taskInfo) {
	p.dequeue(t)
	if t.accepted {
		p.addTenantCores(t, -1)
		m := t.attempts[len(t.attempts)-1].worker
		m.running = slices.DeleteFunc(m.running, func(b *taskInfo) bool { return b == t })
	}
	for r, v := range [2]*float64{&t.coresUsage, &t.memoryUsage} {
		if *v > 0 {
			was := [2]float64{t.Cores, t.Memory}[r]
			p.reportedRequests[r] -= was
			p.reportedUsage[r] -= was * *v
			*v = 0
			p.baseline = p.computeBaseline()
		}
	}
	for _, a := range t.attempts {
		if a.ended {
			continue
		}
		a.ended = true
		if a.awaitingResponse {
			a.awaitingResponse = false
			a.worker.unanswered = slices.DeleteFunc(a.worker.unanswered, func(b *attempt) bool { return a == b })
		}
		p.endResident(a.worker, t.Program)
	}
	delete(p.tasks, t.RequestID)
}

// recordResponse keeps the mean and the spread of the time that answers take.
func (p *Scheduler) recordResponse(a *attempt, rtt int64) {
	a.awaitingResponse = false
	a.worker.unanswered = slices.DeleteFunc(a.worker.unanswered, func(b *attempt) bool { return a == b })
	d := float64(rtt) - p.meanRTT
	if p.meanRTT == 0 {
		p.meanRTT, p.rttDeviation = float64(rtt), float64(rtt)/2
		return
	}
	p.meanRTT += d * rttWeight
	p.rttDeviation += (math.Abs(d) - p.rttDeviation) * rttWeight
}

// adopt takes over a task that runs. The view holds it already.
func (p *Scheduler) adopt(e Adopted) {
	class, ok := p.classIndexes[e.Class]
	if !ok || p.tasks[e.RequestID] != nil {
		return
	}
	m := p.ensureWorker(e.Worker)
	a := &attempt{worker: m, sentAt: p.now}
	t := &taskInfo{Task: e.Task, classIndex: class, arrivedAt: p.now, accepted: true, attempts: []*attempt{a}}
	p.tasks[e.RequestID] = t
	p.addResident(m, t.Program)
	p.addTenantCores(t, 1)
	p.addRunning(t, m)
}

// enqueue puts t among the waiting.
func (p *Scheduler) enqueue(t *taskInfo) {
	if !t.pending {
		t.pending, p.dirty = true, true
		p.pending = append(p.pending, t)
	}
}

// cancelRequest ends a request that its owner gave up. An attempt still out counts for
// the spread until its outcome.
func (p *Scheduler) cancelRequest(t *taskInfo) {
	if t == nil || t.accepted {
		return
	}
	p.dequeue(t)
	t.cancelled = true
	if n := len(t.attempts); n == 0 || t.attempts[n-1].ended {
		p.forgetTask(t)
	}
}

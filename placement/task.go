package placement

// This file is what a placer remembers of requests and running tasks. It decides nothing.

import (
	"math"
	"slices"
)

// attemptInfo is one Place, or a task that was found running.
type attemptInfo struct {
	worker           *workerInfo
	sentAt           int64
	awaitingResponse bool // no Accepted and no outcome yet
	ended            bool
	starting         bool
	failed           bool // it was answered with an error
}

// taskInfo is a request that is owed an answer, or a task that runs.
type taskInfo struct {
	Task
	classIndex  int
	arrivedAt   int64
	queuedSince int64 // since when its owner stands in line
	attempts    []*attemptInfo
	accepted    bool
	acceptedAt  int64 // when it was placed
	pending     bool
	cancelled   bool         // its owner gave it up; an attempt is still out
	mayHaveRun  *attemptInfo // the first attempt that may have run
	copyRunning bool         // a machine said that a copy stands
	unusable    bool         // two machines gave an error for it
	coresUsage  float64      // cores it was seen to use, over cores asked; 0: not told
	memoryUsage float64
	priority    float64
	probesSent  int // sent for it
}

// taskShape is what held tasks of one search have in common.
type taskShape struct {
	class         int
	cores, memory float64
	program       uint64 // where a spread is stated
}

// recordUsage corrects the sums of what own tasks asked and use.
func (p *Scheduler) recordUsage(resource int, requested float64, usage *float64, used float64) {
	if *usage == 0 {
		p.reportedRequests[resource] += requested
	}
	p.reportedUsage[resource] += used - *usage*requested
	*usage = max(used/requested, 1e-9)
	p.baseline = p.computeBaseline()
}

func (p *Scheduler) dequeue(task *taskInfo) {
	if task.pending {
		task.pending = false
		p.pending = slices.DeleteFunc(p.pending, func(other *taskInfo) bool { return other == task })
	}
}

// failedOn reports whether m answered t with an error.
func (t *taskInfo) failedOn(worker *workerInfo) bool {
	return slices.ContainsFunc(t.attempts, func(attempt *attemptInfo) bool { return attempt.failed && attempt.worker == worker })
}

func (p *Scheduler) addTenantCores(task *taskInfo, sign float64) {
	p.totalCores += sign * task.Cores
	if i, ok := p.tenantIndexes[task.Tenant]; ok {
		p.tenantCores[i] += sign * task.Cores
	}
}

// forgetTask forgets a task that is over.
func (p *Scheduler) forgetTask(task *taskInfo) {
	p.dequeue(task)
	if task.accepted {
		p.addTenantCores(task, -1)
		worker := task.attempts[len(task.attempts)-1].worker
		worker.running = slices.DeleteFunc(worker.running, func(other *taskInfo) bool { return other == task })
	}
	for resource, usage := range [2]*float64{&task.coresUsage, &task.memoryUsage} {
		if *usage > 0 {
			requested := [2]float64{task.Cores, task.Memory}[resource]
			p.reportedRequests[resource] -= requested
			p.reportedUsage[resource] -= requested * *usage
			*usage = 0
			p.baseline = p.computeBaseline()
		}
	}
	for _, attempt := range task.attempts {
		if attempt.ended {
			continue
		}
		attempt.ended = true
		if attempt.awaitingResponse {
			attempt.awaitingResponse = false
			attempt.worker.unanswered = slices.DeleteFunc(attempt.worker.unanswered, func(other *attemptInfo) bool { return attempt == other })
		}
		p.endResident(attempt.worker, task.Program)
	}
	delete(p.tasks, task.RequestID)
}

// recordResponse keeps the mean and the spread of the time that answers take.
func (p *Scheduler) recordResponse(attempt *attemptInfo, rtt int64) {
	attempt.awaitingResponse = false
	attempt.worker.unanswered = slices.DeleteFunc(attempt.worker.unanswered, func(other *attemptInfo) bool { return attempt == other })
	deviation := float64(rtt) - p.meanRTT
	if p.meanRTT == 0 {
		p.meanRTT, p.rttDeviation = float64(rtt), float64(rtt)/2
		return
	}
	p.meanRTT += deviation * rttWeight
	p.rttDeviation += (math.Abs(deviation) - p.rttDeviation) * rttWeight
}

// adopt takes over a task that runs. The view holds it already.
func (p *Scheduler) adopt(event Adopted) {
	classIndex, ok := p.classIndexes[event.Class]
	if !ok || p.tasks[event.RequestID] != nil {
		return
	}
	worker := p.ensureWorker(event.Worker)
	attempt := &attemptInfo{worker: worker, sentAt: p.now}
	task := &taskInfo{Task: event.Task, classIndex: classIndex, arrivedAt: p.now, accepted: true, attempts: []*attemptInfo{attempt}}
	p.tasks[event.RequestID] = task
	p.addResident(worker, task.Program)
	p.addTenantCores(task, 1)
	p.addRunning(task, worker)
}

// enqueue puts t among the waiting.
func (p *Scheduler) enqueue(task *taskInfo) {
	if !task.pending {
		task.pending, p.dirty = true, true
		p.pending = append(p.pending, task)
	}
}

// cancelRequest ends a request that its owner gave up. An attempt still out counts for
// the spread until its outcome.
func (p *Scheduler) cancelRequest(task *taskInfo) {
	if task == nil || task.accepted {
		return
	}
	p.dequeue(task)
	task.cancelled = true
	if count := len(task.attempts); count == 0 || task.attempts[count-1].ended {
		p.forgetTask(task)
	}
}

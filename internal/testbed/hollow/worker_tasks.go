package hollow

import (
	"time"

	"ravenhitch/internal/testbed"
)

// This file owns a worker's tasks: what they request of its capacity, their run times, and
// the reports of their completions.

// Codes of FINISH and ECHOED messages that workers use, as the protocol numbers them.
const (
	codeOK        = 1
	codeEnded     = 16
	codeCancelled = 31
	codeRejected  = 34
	codeFailed    = 47
)

// reportFor is how long a completion goes to each connection that is opened after it.
const reportFor = 60 * time.Second

// runningTask is one that was accepted and has not ended.
type runningTask struct {
	Task
	key          string
	orchestrator int
	connection   *connection // of its offer, nil where it ran before
	timer        *time.Timer // of its run time, nil before that starts
}

// completion is the end of a task, as it is reported on connections that open later.
type completion struct {
	line testbed.Line
	at   time.Time
}

// receiveOffer accepts an offer, or rejects it for want of capacity.
func (w *Worker) receiveOffer(from *connection, line testbed.Line) {
	t, err := ParseTask(*line.Blob)
	if err != nil {
		from.send(testbed.FinishLine("FINISH", line.Tag, codeFailed))
		return
	}
	w.mutex.Lock()
	shortage := w.reserve(t)
	if shortage == "" {
		task := &runningTask{Task: t, key: line.Opts["key"], orchestrator: from.orchestrator, connection: from}
		w.tasks[line.Tag] = task
		w.startRunTime(line.Tag, task)
	}
	w.mutex.Unlock()
	if shortage != "" {
		w.fleet.rejections.Add(1)
		rejection := testbed.FinishLine("FINISH", line.Tag, codeRejected)
		rejection.Opts["note"] = shortage
		from.send(rejection)
		return
	}
	w.fleet.RecordChange(w.index)
	w.fleet.observer.Accepted(w.ID, line.Opts["key"], line.Tag)
	blob := w.ID + " " + line.Tag
	from.send(testbed.Line{Verb: "STARTED", Tag: line.Tag, Opts: map[string]string{}, Blob: &blob})
}

// reserve takes what a task requests, or returns what is short. The lock is held.
func (w *Worker) reserve(t Task) (shortage string) {
	const slack = 1e-9 // what rounding may add
	switch {
	case w.requestedCores+t.Cores > w.Kind.Cores+slack:
		return "cpu_full"
	case w.requestedMemory+t.Memory > w.Kind.Memory+slack:
		return "mem_full"
	}
	w.requestedCores += t.Cores
	w.requestedMemory += t.Memory
	return ""
}

// startRunTime ends a task after its run time. The lock is held.
func (w *Worker) startRunTime(requestID string, task *runningTask) {
	task.timer = time.AfterFunc(task.RunTime, func() { w.complete(requestID, codeEnded) })
}

// AddRunning adds a task that ran before the test began; StartRunTimes starts its run time. It
// reports whether there was free capacity.
func (w *Worker) AddRunning(requestID, key string, t Task) bool {
	orchestrator, _ := OrchestratorOf(requestID)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.reserve(t) != "" {
		return false
	}
	w.tasks[requestID] = &runningTask{Task: t, key: key, orchestrator: orchestrator}
	w.fleet.RecordChange(w.index)
	return true
}

// StartRunTimes starts the run times of the tasks that AddRunning added.
func (f *Fleet) StartRunTimes() {
	for _, w := range f.Workers {
		w.mutex.Lock()
		for requestID, task := range w.tasks {
			if task.timer == nil {
				w.startRunTime(requestID, task)
			}
		}
		w.mutex.Unlock()
	}
}

// complete frees the capacity of a task and reports its completion: on the connection of its
// offer, else on those of its orchestrator, else on those that may be its; and on the next
// ones opened.
func (w *Worker) complete(requestID string, code int) {
	now := time.Now()
	line := testbed.FinishLine("FINISH", requestID, code)
	w.mutex.Lock()
	task := w.tasks[requestID]
	if task == nil || w.unresponsive {
		w.mutex.Unlock()
		return
	}
	w.remove(requestID, task)
	connections := w.reportTo(task)
	w.dropOldCompletions()
	w.unreported = append(w.unreported, completion{line, now})
	w.mutex.Unlock()
	w.fleet.RecordChange(w.index)
	w.fleet.observer.Ended(w.ID, requestID, now, false)
	for _, c := range connections {
		c.send(line)
	}
}

// remove takes a task off the worker. The lock is held.
func (w *Worker) remove(requestID string, task *runningTask) {
	delete(w.tasks, requestID)
	if task.timer != nil {
		task.timer.Stop()
	}
	w.requestedCores -= task.Cores
	w.requestedMemory -= task.Memory
}

// reportTo are the connections for the completion of a task. The lock is held.
func (w *Worker) reportTo(task *runningTask) []*connection {
	if task.connection != nil && w.connections[task.connection] {
		return []*connection{task.connection}
	}
	var unknown []*connection
	for c := range w.connections {
		switch c.orchestrator {
		case task.orchestrator:
			return []*connection{c}
		case unknownOrchestrator:
			unknown = append(unknown, c)
		}
	}
	return unknown
}

// dropOldCompletions drops what is reported no more. The lock is held.
func (w *Worker) dropOldCompletions() {
	for len(w.unreported) > 0 && time.Since(w.unreported[0].at) > reportFor {
		w.unreported = w.unreported[1:]
	}
}

// TaskCount is the number of running tasks.
func (w *Worker) TaskCount() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.tasks)
}

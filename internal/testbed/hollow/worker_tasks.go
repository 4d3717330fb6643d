package hollow

import (
	"time"

	"ravenhitch/internal/testbed"
)

// This file implements a worker's tasks: their requested capacity, their run times and the reports of
// their completions.

// Codes of the FINISH and ECHOED messages that workers send, with the numbers of the protocol.
const (
	codeOK        = 1
	codeEnded     = 16
	codeCancelled = 31
	codeRejected  = 34
	codeFailed    = 47
)

// completionRetention is the time after a task's end during which its completion is also sent on each
// new connection.
const completionRetention = 60 * time.Second

// runningTask is a task that was accepted and has not ended.
type runningTask struct {
	Task
	key          string
	orchestrator int
	connection   *connection // connection on which its offer arrived, nil if AddRunning added the task
	timer        *time.Timer // ends the task after its run time, nil until the run time starts
}

// completion is the report of a task's end, which the worker also sends on connections established later.
type completion struct {
	line testbed.Line
	at   time.Time
}

// receiveOffer accepts an offer, or rejects it for lack of capacity. An offer whose task description is invalid
// is answered as failed.
func (w *Worker) receiveOffer(from *connection, line testbed.Line) {
	t, err := ParseTask(*line.Blob)
	if err != nil {
		from.send(testbed.CodeLine("FINISH", line.Tag, codeFailed))
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
		rejection := testbed.CodeLine("FINISH", line.Tag, codeRejected)
		rejection.Opts["note"] = shortage
		from.send(rejection)
		return
	}
	w.fleet.RecordChange(w.index)
	w.fleet.observer.Accepted(w.ID, line.Opts["key"], line.Tag)
	blob := w.ID + " " + line.Tag
	from.send(testbed.Line{Verb: "STARTED", Tag: line.Tag, Opts: map[string]string{}, Blob: &blob})
}

// reserve reserves the capacity that a task requests. If there is not enough, it reserves nothing and
// returns the cause of the rejection. The caller holds the lock.
func (w *Worker) reserve(t Task) (shortage string) {
	const slack = 1e-9 // tolerance for rounding errors
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

// startRunTime starts the timer that ends a task after its run time. The caller holds the lock.
func (w *Worker) startRunTime(requestID string, task *runningTask) {
	task.timer = time.AfterFunc(task.RunTime, func() { w.complete(requestID, codeEnded) })
}

// AddRunning adds a task that was running before the test began. It reports whether there was enough free
// capacity. StartRunTimes starts the run time of the task.
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

// complete ends a task, frees its capacity and reports its completion or, with codeCancelled, confirms its cancel. The
// report goes to the connections that reportConnections returns, and to each connection opened within
// completionRetention. complete does nothing if the worker does not run the task or is unresponsive.
func (w *Worker) complete(requestID string, code int) {
	now := time.Now()
	line := testbed.CodeLine("FINISH", requestID, code)
	w.mutex.Lock()
	task := w.tasks[requestID]
	if task == nil || w.unresponsive {
		w.mutex.Unlock()
		return
	}
	w.remove(requestID, task)
	connections := w.reportConnections(task)
	w.dropOldCompletions()
	w.recentCompletions = append(w.recentCompletions, completion{line, now})
	w.mutex.Unlock()
	w.fleet.RecordChange(w.index)
	w.fleet.observer.Ended(w.ID, requestID, now, false)
	for _, c := range connections {
		c.send(line)
	}
}

// remove removes a task from the worker and frees its capacity. The caller holds the lock.
func (w *Worker) remove(requestID string, task *runningTask) {
	delete(w.tasks, requestID)
	if task.timer != nil {
		task.timer.Stop()
	}
	w.requestedCores -= task.Cores
	w.requestedMemory -= task.Memory
}

// reportConnections returns the connections on which to report the completion of a task. The first choice is the
// connection of its offer, if that connection is still open. The second is any connection of the same
// orchestrator. If there is neither, it returns all connections whose orchestrator is unknown. The caller holds
// the lock.
func (w *Worker) reportConnections(task *runningTask) []*connection {
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

// dropOldCompletions drops completions that are older than completionRetention. The caller holds the
// lock.
func (w *Worker) dropOldCompletions() {
	for len(w.recentCompletions) > 0 && time.Since(w.recentCompletions[0].at) > completionRetention {
		w.recentCompletions = w.recentCompletions[1:]
	}
}

// TaskCount returns the number of running tasks.
func (w *Worker) TaskCount() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.tasks)
}

package placement

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// This file contains the functions that draw the random events of a history.

func (h *history) anyWorker() string { return h.entries[h.random.IntN(len(h.entries))].Worker }

// anyRequestID returns the request ID of a random task in history.unfinished, or the ID "none" if that map
// is empty.
func (h *history) anyRequestID() string {
	requestIDs := slices.Sorted(maps.Keys(h.unfinished))
	if len(requestIDs) == 0 {
		return "none"
	}
	return requestIDs[h.random.IntN(len(requestIDs))]
}

// drawTask returns a task of a random class and shape.
func (h *history) drawTask() Task {
	h.requestCount++
	cores := []float64{.25, .5, 1, 2, 4, 8, 16, 30, 50, 90}[h.pick(5, 15, 25, 20, 15, 8, 5, 3, 2, 1)]
	memory := []float64{0.25, 1, 2, 8}[h.pick(1, 3, 5, 2)]
	classes := h.scheduler.settings.Classes
	task := Task{
		RequestID: fmt.Sprint("t", h.requestCount), Class: classes[h.random.IntN(len(classes))].Name, Cores: cores, Memory: cores * memory,
		DeadlineUs: h.now + second/2 + h.random.Int64N(10*second), Program: uint64(h.random.IntN(historyPrograms)),
		Tenant: []string{"small", "large", "none"}[h.random.IntN(3)], Retry: h.chance(0.1),
	}
	if h.chance(0.3) {
		task.Program = 0
	}
	if h.chance(0.6) {
		task.HasRunHint, task.ExpectedRunUs = true, h.random.Int64N(200*second)
	}
	if h.chance(0.2) {
		task.QueuedSinceUs = h.now - h.random.Int64N(5*second)
	}
	return task
}

func (h *history) drawRequests() (events []Event) {
	task := h.drawTask()
	count := 1 + h.random.IntN(3)
	burst := h.chance(0.1)
	if burst {
		count = 1 + h.random.IntN(historyBurst)
	}
	for range count {
		h.unfinished[task.RequestID] = task
		events = append(events, Request{task})
		next := h.drawTask()
		if burst {
			requestID := next.RequestID
			next = task
			next.RequestID = requestID
		}
		task = next
	}
	return events
}

// drawAdopted returns an adopted task, in some cases on a worker that was never listed.
func (h *history) drawAdopted() Event {
	task := h.drawTask()
	h.unfinished[task.RequestID] = task
	h.attempts[task.RequestID] = 1
	place := Place{RequestID: task.RequestID, Worker: h.anyWorker()}
	if h.chance(0.4) {
		place.Worker = fmt.Sprint("unlisted", h.random.IntN(5))
	}
	h.running = append(h.running, place)
	return Adopted{task, place.Worker}
}

// drawOutcomes returns random answers to unanswered attempts and ends of running tasks.
func (h *history) drawOutcomes() (events []Event) {
	for range 1 + h.random.IntN(3) {
		if len(h.offered) > 0 && h.chance(0.7) {
			i := h.random.IntN(len(h.offered))
			place := h.offered[i]
			h.offered = slices.Delete(h.offered, i, i+1)
			if h.chance(0.05) {
				continue // this attempt is never answered
			}
			events = append(events, h.drawResponse(place))
		} else if len(h.running) > 0 {
			i := h.random.IntN(len(h.running))
			place := h.running[i]
			h.running = slices.Delete(h.running, i, i+1)
			events = append(events, h.drawCompletion(place))
		}
	}
	return events
}

func (h *history) drawResponse(place Place) Event {
	attempt, rtt := h.attempts[place.RequestID]-1, 1+h.random.Int64N(30*ms)
	accepted := 70
	if h.condition == mostlyFailing {
		accepted = 10
	}
	ended := AttemptEnded{RequestID: place.RequestID, Attempt: attempt, Worker: place.Worker, RTTUs: rtt, Final: h.chance(0.05)}
	switch h.pick(accepted, 4, 12, 5, 4, 4, 2, 2) {
	case 0:
		h.running = append(h.running, place)
		return Accepted{RequestID: place.RequestID, Attempt: attempt, Worker: place.Worker, RTTUs: rtt}
	case 1:
		ended.Outcome = Failed
	case 2:
		ended.Outcome = Rejected
		ended.Cause = []Cause{CauseCores, CauseMemory, CauseQueue, CauseWrongWorker}[h.random.IntN(4)]
	case 3:
		ended.Outcome = TimedOut
	case 4:
		ended.Outcome = ConnectFailed
	case 5:
		ended.Outcome = Reset
	case 6:
		ended.Outcome = Cancelled
	case 7:
		ended.Outcome = NeverSent
	}
	return ended
}

func (h *history) drawCompletion(place Place) Event {
	ended := AttemptEnded{RequestID: place.RequestID, Attempt: h.attempts[place.RequestID] - 1, Worker: place.Worker, Outcome: Completed, Final: h.chance(0.5)}
	delete(h.unfinished, place.RequestID)
	switch h.pick(75, 10, 10, 5) {
	case 1:
		ended.Outcome = Reset
		ended.Cause = []Cause{CauseUnknown, CauseEvicted, CausePreempted, CauseDrained}[h.random.IntN(4)]
	case 2:
		ended.Outcome = Failed
	case 3:
		ended.Outcome = Cancelled
	}
	return ended
}

// drawDelta returns random changes to a few workers or, in some cases, to about a quarter of the fleet,
// which drains, is removed or becomes ready at the same time.
func (h *history) drawDelta() Event {
	var changed []Entry
	count := 1 + h.random.IntN(5)
	together, state := h.chance(0.08), WorkerState(h.pick(50, 25, 25))
	if together {
		count = 1 + len(h.entries)/4
	}
	for range count {
		i := h.random.IntN(len(h.entries))
		entry := h.drawFreeCapacity(h.entries[i], h.kindOf(h.entries[i]))
		if together {
			entry.State = state
		} else {
			entry.State = WorkerState(h.pick(92, 4, 4))
		}
		if h.chance(0.04) || together && state == Ready {
			entry.StartedAtUs = h.now - h.random.Int64N(second)
		}
		h.entries[i] = entry
		entry.Uncordoned = h.chance(0.02)
		changed = append(changed, entry)
	}
	return WorkerList{Kind: ListDelta, Entries: changed}
}

func (h *history) drawList() Event {
	list := WorkerList{Kind: []ListKind{ListFull, ListCached, ListFailed}[h.random.IntN(3)]}
	if list.Kind == ListFailed {
		return list
	}
	missing := 0.02
	if h.chance(0.1) {
		missing = 0.5
	}
	for _, entry := range h.entries {
		if !h.chance(missing) {
			list.Entries = append(list.Entries, entry)
		}
	}
	return list
}

func (h *history) drawReports() (events []Event) {
	for range min(len(h.running), 1+h.random.IntN(4)) {
		place := h.running[h.random.IntN(len(h.running))]
		report := TaskReport{RequestID: place.RequestID, Attempt: h.attempts[place.RequestID] - 1, Worker: place.Worker, Kind: ReportKind(1 + h.random.IntN(5))}
		task := h.unfinished[place.RequestID]
		switch report.Kind {
		case ReportCores:
			report.Value = task.Cores * (0.3 + h.random.Float64())
		case ReportMemory:
			report.Value = task.Memory * (0.3 + h.random.Float64())
		default:
			report.Value = h.random.Float64()*0.6 + 0.45
		}
		events = append(events, report)
	}
	return events
}

// drawProbeResult returns a random result of a probe, in some cases for a worker that was not probed.
func (h *history) drawProbeResult() []Event {
	worker := h.anyWorker()
	if len(h.probed) > 0 && h.chance(0.8) {
		worker, h.probed = h.probed[0], h.probed[1:]
	}
	event := ProbeResult{Worker: worker, Outcome: Completed, RTTUs: ms}
	if h.chance(0.2) {
		event.Outcome = TimedOut
	}
	kind := h.kindOf(h.entries[h.index[worker]])
	event.Load = Load{kind.Cores * (1 - h.utilization*h.random.Float64()*1.2), kind.Memory * (1 - h.utilization*h.random.Float64()*1.2),
		h.random.Float64() * 1.1, float64(h.random.IntN(6))}
	switch h.pick(80, 10, 5, 5) {
	case 1:
		event.Load.FreeCores, event.Load.FreeMemory = math.NaN(), math.NaN()
	case 2:
		event.Load.Utilization, event.Load.Queued = math.NaN(), math.NaN()
	case 3:
		event.Load.FreeCores, event.Load.Queued = 1e9, 1e9
	}
	return []Event{event}
}

func (h *history) drawBackpressure() Event {
	event := Backpressure{}
	if h.chance(0.6) {
		event.ReleaseRate = h.random.Float64() * 200
	}
	if h.chance(0.4) {
		for range h.scheduler.settings.Classes {
			event.Reserved = append(event.Reserved, float64(h.random.IntN(3)))
		}
	}
	return event
}

// syntheticTask returns a random task for which tests search for a worker. The task was not submitted to
// the scheduler, and the earlier attempts and errors of the task are random.
func (h *history) syntheticTask() *taskInfo {
	submitted := h.drawTask()
	classIndex := h.scheduler.requests.classIndexes[submitted.Class]
	task := &taskInfo{Task: submitted, classIndex: classIndex, arrivedAt: h.now - h.random.Int64N(3*second), queuedSince: h.now}
	task.priority = []float64{0, 0.01, 1, 1e6}[h.random.IntN(4)]
	if h.chance(0.5) {
		task.priority = h.scheduler.queue.priority(task)
	}
	anyWorker := func() *workerInfo { return h.scheduler.fleet.sorted[h.random.IntN(len(h.scheduler.fleet.sorted))] }
	for len(h.scheduler.fleet.sorted) > 0 && len(task.attempts) < 3 && h.chance(0.25) {
		task.attempts = append(task.attempts, &attemptInfo{worker: anyWorker(), sentAt: h.now - h.random.Int64N(4*second), ended: true, failed: h.chance(0.5)})
	}
	if len(task.attempts) > 0 && h.chance(0.5) {
		task.mayHaveRun = task.attempts[0]
	}
	return task
}

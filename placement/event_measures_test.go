package placement

import (
	"fmt"
	"slices"
	"testing"
)

// This file contains the units of work that TestModuleSlopes measures, and the functions that create
// the simulated environments (see site) of its cases.

// --- Requests ---

func warmSite(t *testing.T, workers int) *site {
	s := busySite(t, workers)
	s.warmUp(slopeWarmUp)
	return s
}

func measureExchange(s *site, m *meter) {
	e := s.prepare()
	m.measure(s.t, func() { s.run(e) })
	s.finish(e)
	s.handleEach(s.advanceToNextRequest())
}

// measureRejection measures a rejection for lack of cores, including the selection of another worker.
func measureRejection(s *site, m *meter) {
	e := s.prepare()
	s.place(e)
	e.mustPlace(s)
	var actions []Action
	m.measure(s.t, func() {
		actions = s.handle(AttemptEnded{RequestID: e.task.RequestID, Worker: e.place.Worker, Outcome: Rejected, Cause: CauseCores, RTTUs: siteRTT})
	})
	e.place = nil
	if next := ofType[Place](actions); len(next) == 1 {
		e.place = &next[0]
		s.now += siteRTT
		s.handle(Accepted{RequestID: e.task.RequestID, Attempt: 1, Worker: e.place.Worker, RTTUs: siteRTT})
		s.now += siteRTT
		s.handle(AttemptEnded{RequestID: e.task.RequestID, Attempt: 1, Worker: e.place.Worker, Outcome: Completed, Final: true})
	} else if !s.settings.Probes {
		s.t.Fatalf("got %d offers after a rejection, want 1", len(next))
	} else {
		s.handle(ClientCancelled{e.task.RequestID})
	}
	s.schedulerTasks = append(s.schedulerTasks, e.ended)
	s.handleEach(s.advanceToNextRequest())
}

// measureBurst measures the requests of a large job in one call of Handle. Afterwards, it cancels the
// requests that were not accepted, and ends the tasks of the others.
func measureBurst(s *site, m *meter) {
	job := s.nextJob()
	var events []Event
	for i := range burstTasks {
		task := job.task
		task.Class, task.Cores, task.Memory, task.DeadlineUs = s.settings.Classes[0].Name, 1, 2, s.now+siteDeadline
		task.RequestID = fmt.Sprint("burst-", s.now, "-", i)
		events = append(events, Request{task})
	}
	var actions []Action
	m.measure(s.t, func() { actions = s.handle(events...) })
	placed := ofType[Place](actions)
	if len(placed) == 0 && !s.settings.Probes {
		s.t.Fatal("got no offers for a burst of requests, want at least 1")
	}
	s.now += siteRTT
	for _, a := range placed {
		s.handle(Accepted{RequestID: a.RequestID, Worker: a.Worker, RTTUs: siteRTT})
	}
	for _, event := range events {
		s.handle(ClientCancelled{event.(Request).RequestID})
	}
	s.now += second
	for _, a := range placed {
		s.handle(AttemptEnded{RequestID: a.RequestID, Worker: a.Worker, Outcome: Completed, Final: true})
	}
	s.now += 20 * second
	s.handle(WorkerList{Kind: ListDelta, Entries: s.entries()})
}

// idleSite returns a site without tasks. All its workers have the same utilization, so thousands of workers
// of a large fleet are equal candidates.
func idleSite(t *testing.T, workers int) *site {
	return newSite(t, workers, *seedFlag, siteSettings(workers, *probesFlag), true)
}

// measureUnrelated measures a request without a program, for which no worker has an advantage.
func measureUnrelated(s *site, m *meter) {
	task := s.nextTask()
	task.Program = 0
	e := s.prepareTask(task)
	m.measure(s.t, func() { s.run(e) })
	e.mustPlace(s)
	s.finish(e)
	s.handleEach(s.advanceToNextRequest())
}

// --- Pending tasks ---

// fullSite returns a site whose workers are all full and where a number of tasks are pending.
func fullSite(t *testing.T, workers, pending int) *site {
	s := busySite(t, workers)
	for _, worker := range s.workers {
		worker.requestedCores, worker.requestedMemory = worker.cores, worker.memory
	}
	s.handle(WorkerList{Kind: ListDelta, Entries: s.entries()}, Backpressure{ReleaseRate: plannedStarts / siteSchedulers * float64(workers) / plannedWorkers})
	var events []Event
	for range pending {
		task := s.nextTask()
		task.DeadlineUs = s.now + pendingTimeout
		events = append(events, Request{task})
	}
	if placed := ofType[Place](s.handle(events...)); len(placed) > 0 {
		t.Fatalf("got %d tasks placed on full workers, want 0", len(placed))
	}
	return s
}

func (s *site) mustWait(actions []Action) {
	s.t.Helper()
	if count := len(ofType[Place](actions)) + len(ofType[Reject](actions)); count > 0 {
		s.t.Fatalf("got %d offers and rejections for pending tasks, want 0", count)
	}
}

// measurePendingEntry measures the handling of a list entry that shows no free capacity while tasks are
// pending.
func measurePendingEntry(s *site, m *meter) {
	s.now += s.betweenUs / (2 * siteSchedulers)
	worker := s.workers[s.random.IntN(len(s.workers))]
	var actions []Action
	m.measure(s.t, func() { actions = s.handle(WorkerList{Kind: ListDelta, Entries: []Entry{worker.currentEntry()}}) })
	s.mustWait(actions)
}

func measurePendingTimer(s *site, m *meter) {
	s.now += retryInterval
	var actions []Action
	m.measure(s.t, func() { actions = s.handle(TimerFired{"wake"}) })
	s.mustWait(actions)
}

// --- Drained and removed workers ---

// measureDrain measures one event that drains every worker whose index is a multiple of drainEvery.
func measureDrain(s *site, m *meter) {
	var entries []Entry
	for i, worker := range s.workers {
		if i%drainEvery == 0 {
			entry := worker.currentEntry()
			entry.State = Draining
			entries = append(entries, entry)
		}
	}
	s.now += second
	m.measure(s.t, func() { s.handle(WorkerList{Kind: ListDelta, Entries: entries}) })
	s.now += second
	s.handle(WorkerList{Kind: ListDelta, Entries: s.entries()})
}

// measureZoneLoss measures one event that removes all workers of a zone, and one event that lists the
// workers again after a restart.
func measureZoneLoss(s *site, removal, restart *meter) {
	const zone = "zone-1"
	var entries []Entry
	for _, worker := range s.workers {
		if worker.entry.Zone == zone {
			entry := worker.currentEntry()
			entry.State = Removed
			entries = append(entries, entry)
		}
	}
	s.now += second
	removal.measure(s.t, func() { s.handle(WorkerList{Kind: ListDelta, Entries: entries}) })
	s.schedulerTasks = slices.DeleteFunc(s.schedulerTasks, func(task *siteTask) bool {
		if task.worker.entry.Zone != zone {
			return false
		}
		s.handle(AttemptEnded{RequestID: task.RequestID, Worker: task.worker.entry.Worker, Outcome: Reset, Final: true})
		return true
	})
	s.now += 20 * second
	for i := range entries {
		worker := s.byName[entries[i].Worker]
		worker.entry.StartedAtUs, worker.requestedCores, worker.requestedMemory = s.now, 0, 0
		entries[i] = worker.currentEntry()
	}
	restart.measure(s.t, func() { s.handle(WorkerList{Kind: ListDelta, Entries: entries}) })
}

// warmingSite returns a site in which all workers of a zone have just restarted.
func warmingSite(t *testing.T, workers int) *site {
	s := busySite(t, workers)
	measureZoneLoss(s, new(meter), new(meter))
	return s
}

// measureFirstList measures the first complete list that a new scheduler handles.
func measureFirstList(s *site, m *meter) {
	scheduler, err := New(s.settings, *seedFlag)
	if err != nil {
		s.t.Fatal(err)
	}
	entries := s.entries()
	m.measure(s.t, func() { scheduler.Handle(s.now, []Event{WorkerList{Kind: ListFull, Entries: entries}}) })
}

// --- Reports ---

// reportCase returns a function that measures a report about a random running task. For ReportCores, value
// is a fraction of the cores that the task requests; otherwise it is the reported value.
func reportCase(kind ReportKind, value float64) func(*site, *meter) {
	return func(s *site, m *meter) {
		s.now += s.betweenUs
		task := s.schedulerTasks[s.random.IntN(len(s.schedulerTasks))]
		v := value
		if kind == ReportCores {
			v *= task.Cores
		}
		m.measure(s.t, func() { s.handle(TaskReport{task.RequestID, 0, task.worker.entry.Worker, kind, v}) })
	}
}

func measureProbeResult(s *site, m *meter) {
	s.now += s.betweenUs
	worker := s.workers[s.random.IntN(len(s.workers))]
	load := Load{worker.cores - worker.requestedCores, worker.memory - worker.requestedMemory, worker.requestedCores / worker.cores, reportedQueue}
	m.measure(s.t, func() { s.handle(ProbeResult{worker.entry.Worker, Completed, siteRTT, load}) })
}

// calibratedSite returns a site after reports of poor service about random tasks. The reports lower the
// effective capacity of the workers of these tasks until the calibrations decay.
func calibratedSite(t *testing.T, workers int) *site {
	s := busySite(t, workers)
	s.reportPoor(len(s.schedulerTasks))
	return s
}

func (s *site) reportPoor(tasks int) {
	for range tasks {
		task := s.schedulerTasks[s.random.IntN(len(s.schedulerTasks))]
		s.handle(TaskReport{task.RequestID, 0, task.worker.entry.Worker, ReportService, poorService})
	}
}

// measureCalibrated measures a request while calibrations decay, after a few new reports of poor service.
func measureCalibrated(s *site, m *meter) {
	s.reportPoor(1 + len(s.schedulerTasks)/100)
	measureExchange(s, m)
}

// --- Constrained placements ---

// serviceSite returns a site that runs a service with at most one task in each cell.
func serviceSite(t *testing.T, workers int) *site {
	s := newSite(t, workers, *seedFlag, withSpread(siteSettings(workers, *probesFlag)), false)
	cells := workers / workersInCell
	s.service = nil
	for range min(serviceTasks, cells*3/4) {
		e := &exchange{task: &siteTask{Task: s.replica()}}
		s.run(e)
		e.mustPlace(s)
		s.start(e.task, s.byName[e.place.Worker])
		s.service = append(s.service, e.task)
		s.now += s.betweenUs
	}
	s.advance(20 * second)
	return s
}

func (s *site) replica() Task {
	task := s.nextTask()
	task.Class, task.Program, task.Cores, task.Memory = spreadClass, 1, 1, 2
	return task
}

// measureReplica measures the request of another task of the service and the end of the oldest one.
func measureReplica(s *site, m *meter) {
	e := &exchange{task: &siteTask{Task: s.replica()}, ended: s.service[0]}
	s.service = s.service[1:]
	m.measure(s.t, func() { s.run(e) })
	e.mustPlace(s)
	s.end(e.ended)
	s.start(e.task, s.byName[e.place.Worker])
	s.service = append(s.service, e.task)
	s.handleEach(s.advanceToNextRequest())
}

// hugeSite returns a site with a few empty workers, the only workers with free capacity for a huge task.
func hugeSite(t *testing.T, workers int) *site {
	s := busySite(t, workers)
	empty := 0
	for _, worker := range s.workers {
		if worker.cores > hugeCores && empty < hugeWorkers {
			worker.requestedCores, worker.requestedMemory = 0, 0
			empty++
		}
	}
	s.handle(WorkerList{Kind: ListDelta, Entries: s.entries()})
	return s
}

// measureHuge measures the request and the end of a huge task.
func measureHuge(s *site, m *meter) {
	task := s.nextTask()
	task.Class, task.Program, task.Cores, task.Memory = s.settings.Classes[0].Name, 0, hugeCores, hugeMemory
	e := &exchange{task: &siteTask{Task: task}}
	m.measure(s.t, func() {
		s.run(e)
		if e.place != nil {
			s.handle(AttemptEnded{RequestID: task.RequestID, Worker: e.place.Worker, Outcome: Completed, Final: true})
		}
	})
	e.mustPlace(s)
	s.now += second
	s.handle(WorkerList{Kind: ListDelta, Entries: []Entry{s.byName[e.place.Worker].currentEntry()}})
}

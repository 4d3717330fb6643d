package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// This file simulates the environment of one scheduler in a large fleet: the workers, the tasks of all
// schedulers, the list of workers and the reports about running tasks. The slope tests measure the
// scheduler in this environment.

// The parameters of the simulated fleet. A fleet of plannedWorkers workers has plannedRunning running tasks
// and plannedStarts task starts per second. For a site with fewer or more workers, both numbers are scaled
// in proportion.
const (
	plannedWorkers   = 4000
	plannedRunning   = 34000
	plannedStarts    = 220.0 // task starts per second, by all schedulers together
	siteSchedulers   = 9
	siteZones        = 13
	siteTenants      = 60
	workersInCell    = 8
	siteViewDelay    = second // time until the list shows a change
	siteRTT          = 4 * ms
	siteStartTime    = second // time from the acceptance of a task until it runs
	siteRunTime      = 155 * second
	siteOpenJobs     = 4    // number of jobs from which the next task is drawn
	siteCoresUse     = 0.9  // fraction of the requested cores that tasks use
	siteMemoryUse    = 0.85 // fraction of the requested memory that tasks use
	siteUtilization  = 0.65 // fraction of the effective capacity that is requested
	sampledWorkers   = 16   // number of random workers among which another scheduler selects
	spreadClass      = "service"
	siteDeadline     = 10 * second
	programTaskLimit = 256
)

// siteSettings returns the settings of one scheduler of a fleet with a number of workers. probes states
// whether probes are permitted.
func siteSettings(workers int, probes bool) Settings {
	settings := Settings{
		FleetSize: siteSchedulers, Zone: "zone-0", HasView: true, PollsDiscovery: true, Pings: true, RetryAfter: true, Cancel: true,
		Probes: probes, ReportsFree: true, CoresOvercommit: 1, MemoryOvercommit: 1, UnitCores: 2.6, UnitMemory: 5.7,
		Kinds: []Kind{{"node-32", 28, 60}, {"node-64", 56, 120}},
		Classes: []Class{
			{Name: "web", Effect: Safe, ObjectiveUs: second, DeadlineUs: 6 * second, Weight: 1, StartBonusS: 10, Kind: -1, SaturationLoad: .8, SaturationRange: .25},
			{Name: "relay", Effect: Keyed, Group: ScopeAll, WindowUs: 5 * second, ObjectiveUs: 700 * ms, DeadlineUs: 5 * second, Weight: 3, StartBonusS: 10, Kind: -1, SaturationLoad: .8, SaturationRange: .25},
			{Name: "cut", Effect: Unsafe, ObjectiveUs: 6 * second, DeadlineUs: siteDeadline, Weight: 5, StartBonusS: 8, Kind: -1, SaturationLoad: .8, SaturationRange: .25},
			{Name: "render", Effect: Safe, ObjectiveUs: 6 * second, DeadlineUs: siteDeadline, Weight: 2, StartBonusS: 8, Kind: 1, SaturationLoad: .8, SaturationRange: .25},
		},
		OverQuotaWeight: 0.5, MaxAttempts: 3, AnswerSlackUs: 8 * ms, PollWithinUs: 10 * second, ColdStartRate: 0.21, WarmUpUs: 16 * second,
		DrainGraceUs: 2 * second, SlowStartWindowUs: 3 * second, SlowStartOffers: 25, TickUs: 2 * ms, MaxRetryAfterUs: 30 * second, MigrationCost: 0.08,
	}
	for i := range siteTenants {
		// Quotas range from 0.5 to nearly 1.5 times an equal part of the fleet's cores, so some are exceeded.
		mean := float64(workers) * (settings.Kinds[0].Cores + settings.Kinds[1].Cores) / 2 / siteTenants
		settings.Tenants = append(settings.Tenants, Tenant{fmt.Sprint("team-", i), mean * (0.5 + float64(i)/siteTenants)})
	}
	return settings
}

// withSpread adds a class that allows one task of a program in each cell.
func withSpread(settings Settings) Settings {
	class := settings.Classes[0]
	class.Name, class.Spread, class.MaxPerDomain = spreadClass, ScopeCell, 1
	settings.Classes = append(settings.Classes, class)
	return settings
}

// siteShapes lists the cores and memory of tasks, which are the same for all tasks of a job. Weights are in
// percent of the jobs.
var siteShapes = []struct {
	weight     int
	cores, mem float64
}{{10, .5, 1}, {25, 1, 2}, {15, 1, 6}, {20, 2, 4}, {12, 4, 6}, {8, 4, 12}, {8, 8, 16}, {2, 16, 24}}

// siteJobs lists the numbers of tasks of jobs, 8.2 on average. Weights are in thousandths of the jobs.
var siteJobs = []struct{ weight, tasks int }{
	{300, 1}, {200, 2}, {200, 4}, {150, 8}, {80, 16}, {40, 32}, {20, 64}, {7, 128}, {3, programTaskLimit}}

// siteWorker is the actual state of a worker, which the list shows after siteViewDelay.
type siteWorker struct {
	entry                           Entry // list entry without the free capacity
	cores, memory                   float64
	requestedCores, requestedMemory float64
}

func (w *siteWorker) utilization() float64 {
	return max(w.requestedCores/w.cores, w.requestedMemory/w.memory)
}

// currentEntry returns the worker's list entry with its current free capacity.
func (w *siteWorker) currentEntry() Entry {
	entry := w.entry
	entry.FreeCores, entry.FreeMemory = w.cores-w.requestedCores, w.memory-w.requestedMemory
	return entry
}

// siteTask is a requested or running task of the scheduler under test, or a running task of another
// scheduler. Its field worker is nil until the task starts.
type siteTask struct {
	Task
	worker *siteWorker
}

// siteJob is a job with tasks that have not been submitted yet.
type siteJob struct {
	task      Task // common properties of the tasks
	remaining int
}

// site is a scheduler with its simulated environment.
type site struct {
	t              testing.TB
	scheduler      *Scheduler
	random         *rand.Rand
	settings       Settings
	now            int64
	workers        []*siteWorker
	byName         map[string]*siteWorker
	schedulerTasks []*siteTask // running tasks of the scheduler under test
	otherTasks     []*siteTask // running tasks of the other schedulers
	service        []*siteTask // running tasks of spreadClass
	jobs           []siteJob
	requestCount   int
	changes        []siteChange // changes that the list does not show yet, in order of time
	reports        []siteReport // reports that were not sent yet, in order of time
	unplaced       int          // requests that got no offer and were cancelled
	idle           bool         // no tasks run on the workers initially
	betweenUs      int64        // time between two requests to the scheduler
}

type siteChange struct {
	visibleAt int64
	entry     Entry
}

type siteReport struct {
	reportedAt int64
	task       *siteTask
}

// newSite returns a site whose scheduler has a list of workers. Unless idle is true, tasks run on the
// workers.
func newSite(t testing.TB, workers int, seed uint64, settings Settings, idle bool) *site {
	t.Helper()
	scheduler, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	s := &site{
		t: t, scheduler: scheduler, random: rand.New(rand.NewPCG(seed, uint64(workers))), settings: settings, now: 1000 * second, idle: idle,
		byName: map[string]*siteWorker{}, betweenUs: int64(float64(second) * siteSchedulers / plannedStarts * plannedWorkers / float64(workers)),
	}
	for i := range workers {
		cell := i / workersInCell
		kind := settings.Kinds[s.random.IntN(len(settings.Kinds))]
		worker := &siteWorker{cores: kind.Cores, memory: kind.Memory, entry: Entry{
			Worker: fmt.Sprintf("worker-%05d", i), Kind: kind.Name, Cell: cell, Zone: fmt.Sprint("zone-", cell%siteZones)}}
		s.workers = append(s.workers, worker)
		s.byName[worker.entry.Worker] = worker
	}
	if !idle {
		s.fill(workers * plannedRunning / plannedWorkers)
	}
	s.handle(WorkerList{Kind: ListFull, Entries: s.entries()})
	s.adoptTasks()
	s.advance(20 * second)
	return s
}

// fill starts a number of tasks, divided evenly among all schedulers. It then adjusts the requested cores
// and memory of every worker, so that the mean utilization is close to siteUtilization regardless of the
// random tasks.
func (s *site) fill(running int) {
	for i := range running {
		task := &siteTask{Task: s.nextTask()}
		s.start(task, s.leastUtilizedOfSample())
		if i%siteSchedulers == 0 {
			s.schedulerTasks = append(s.schedulerTasks, task)
		} else {
			s.otherTasks = append(s.otherTasks, task)
		}
	}
	s.changes = nil
	missing := siteUtilization - s.meanUtilization()
	for _, worker := range s.workers {
		worker.requestedCores = max(0, worker.requestedCores+missing*worker.cores*s.effectiveCoresFactor())
		worker.requestedMemory = max(0, worker.requestedMemory+missing*worker.memory)
	}
}

// adoptTasks registers the running tasks of the scheduler under test with it, and reports their use of
// cores and memory.
func (s *site) adoptTasks() {
	var events []Event
	for _, task := range s.schedulerTasks {
		events = append(events, Adopted{task.Task, task.worker.entry.Worker})
		events = append(events, s.usageReports(task)...)
	}
	s.handle(events...)
}

func (s *site) usageReports(task *siteTask) []Event {
	worker := task.worker.entry.Worker
	return []Event{
		TaskReport{task.RequestID, 0, worker, ReportCores, task.Cores * siteCoresUse},
		TaskReport{task.RequestID, 0, worker, ReportMemory, task.Memory * siteMemoryUse},
	}
}

func (s *site) entries() []Entry {
	entries := make([]Entry, len(s.workers))
	for i, worker := range s.workers {
		entries[i] = worker.currentEntry()
	}
	return entries
}

// nextTask returns the next task of a random open job.
func (s *site) nextTask() Task {
	for len(s.jobs) < siteOpenJobs {
		s.jobs = append(s.jobs, s.nextJob())
	}
	i := s.random.IntN(len(s.jobs))
	job := &s.jobs[i]
	task := job.task
	s.requestCount++
	task.RequestID = fmt.Sprint("task-", s.requestCount)
	task.DeadlineUs = s.now + siteDeadline
	if job.remaining--; job.remaining == 0 {
		s.jobs = append(s.jobs[:i], s.jobs[i+1:]...)
	}
	return task
}

func (s *site) nextJob() siteJob {
	draw := s.random.IntN(1000)
	size := 0
	for _, job := range siteJobs {
		if size = job.tasks; draw < job.weight {
			break
		}
		draw -= job.weight
	}
	draw = s.random.IntN(100)
	task := Task{Class: s.settings.Classes[s.random.IntN(4)].Name, Program: s.random.Uint64() | 1,
		Tenant: s.settings.Tenants[s.random.IntN(siteTenants)].Name, HasRunHint: true, ExpectedRunUs: siteRunTime}
	for _, shape := range siteShapes {
		if task.Cores, task.Memory = shape.cores, shape.mem; draw < shape.weight {
			break
		}
		draw -= shape.weight
	}
	return siteJob{task, size}
}

// leastUtilizedOfSample returns the least utilized of sampledWorkers random workers, which approximates
// the selection of another scheduler with a similar view.
func (s *site) leastUtilizedOfSample() (best *siteWorker) {
	for range sampledWorkers {
		worker := s.workers[s.random.IntN(len(s.workers))]
		if best == nil || worker.utilization() < best.utilization() {
			best = worker
		}
	}
	return best
}

// start starts a task on a worker. The list shows the change after siteViewDelay.
func (s *site) start(task *siteTask, worker *siteWorker) {
	task.worker = worker
	worker.requestedCores, worker.requestedMemory = worker.requestedCores+task.Cores, worker.requestedMemory+task.Memory
	s.changed(worker)
}

func (s *site) end(task *siteTask) {
	task.worker.requestedCores, task.worker.requestedMemory = task.worker.requestedCores-task.Cores, task.worker.requestedMemory-task.Memory
	s.changed(task.worker)
}

func (s *site) changed(worker *siteWorker) {
	s.changes = append(s.changes, siteChange{s.now + siteViewDelay, worker.currentEntry()})
}

func (s *site) handle(events ...Event) []Action { return s.scheduler.Handle(s.now, events) }

// takeRandom removes a random task from a list and returns it.
func (s *site) takeRandom(list *[]*siteTask) *siteTask {
	tasks := *list
	i := s.random.IntN(len(tasks))
	task := tasks[i]
	tasks[i] = tasks[len(tasks)-1]
	*list = tasks[:len(tasks)-1]
	return task
}

// advanceToNextRequest simulates the rest of the fleet until the next request: each of the other schedulers
// ends a task and starts one. It sends the scheduler under test the reports about tasks that began to run,
// and returns the changes that the list now shows.
func (s *site) advanceToNextRequest() (changes []Event) {
	for range siteSchedulers - 1 {
		if len(s.otherTasks) == 0 {
			break
		}
		s.end(s.takeRandom(&s.otherTasks))
		task := &siteTask{Task: s.nextTask()}
		s.start(task, s.leastUtilizedOfSample())
		s.otherTasks = append(s.otherTasks, task)
	}
	s.now += s.betweenUs
	for len(s.reports) > 0 && s.reports[0].reportedAt <= s.now {
		task := s.reports[0].task
		s.reports = s.reports[1:]
		events := append(s.usageReports(task), TaskReport{task.RequestID, 0, task.worker.entry.Worker, ReportRunning, 0})
		s.handle(events...)
	}
	for len(s.changes) > 0 && s.changes[0].visibleAt <= s.now {
		changes = append(changes, WorkerList{Kind: ListDelta, Entries: []Entry{s.changes[0].entry}})
		s.changes = s.changes[1:]
	}
	return changes
}

// handleEach passes list changes to the scheduler, each in a separate call.
func (s *site) handleEach(changes []Event) {
	for _, event := range changes {
		s.handle(event)
	}
}

// warmUp runs a number of exchanges without measuring them.
func (s *site) warmUp(exchanges int) {
	for range exchanges {
		e := s.prepare()
		s.run(e)
		s.finish(e)
		s.handleEach(s.advanceToNextRequest())
	}
	s.unplaced = 0
}

// advance moves the clock forward without requests, and passes the outstanding list changes to the scheduler.
func (s *site) advance(us int64) {
	s.now += us
	var entries []Entry
	for _, c := range s.changes {
		entries = append(entries, c.entry)
	}
	s.changes = nil
	s.handle(WorkerList{Kind: ListDelta, Entries: entries})
}

// effectiveCoresFactor returns the effective capacity of a worker in cores, as a fraction of its cores. The
// fraction is the saturation load divided by the share of requested cores that tasks use. For memory, the
// fraction is 1.
func (s *site) effectiveCoresFactor() float64 {
	return s.settings.Classes[0].SaturationLoad / siteCoresUse
}

// meanUtilization returns the mean utilization of the workers, relative to their effective capacity.
func (s *site) meanUtilization() (mean float64) {
	for _, worker := range s.workers {
		mean += max(worker.requestedCores/(worker.cores*s.effectiveCoresFactor()), worker.requestedMemory/worker.memory) / float64(len(s.workers))
	}
	return mean
}

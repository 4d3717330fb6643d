// Package placement selects, for one orchestrator of a cluster, the worker of each task. Many
// orchestrators run side by side and share no state: a [Scheduler] depends only on its [Settings],
// its seed and the events that it receives. All times are in microseconds, on the clock whose time
// the caller passes to [Scheduler.Handle].
//
// A placement has three steps: filter the workers, score the workers that pass the filters, and
// offer the task to a worker with a score near the best. If no worker has free capacity, the
// scheduler may reserve one while the task stays pending.
//
// The package consists of components that own their state. The files are listed from the top layer
// to the bottom layer. A file uses only files that follow it in the list:
//
//	scheduler.go                             creation of the components; dispatch of events
//	pass.go timer.go                         scheduling passes; timer for the next call
//	continuity.go                            tasks of workers whose process may have been replaced
//	requests.go                              state of every request
//	migration.go                             migration of running tasks
//	search.go ordinals.go                    search for the worker of a task
//	filter.go score.go                       feasible, healthy and fitting workers; admission cost
//	queue.go quota.go                        pending tasks by priority; quotas of tenants
//	overload.go totals.go                    overload, placements of other schedulers; sums over all workers
//	view.go lag.go probe.go                  worker lists; lag of the view; probes and their reports
//	calibration.go                           learned effective capacity of single workers
//	slowstart.go health.go spread.go         slow start; outlier detection; anti-affinity
//	repeats.go discovery.go                  repeats of keyed tasks; polls of discovery
//	fleet.go                                 set of all workers
//	load.go                                  cores and memory requested of each worker
//	reservations.go index.go levels.go       reserved workers; index of workers by requested capacity
//	residents.go affinity.go capacity.go     resident programs; preferred workers; effective capacity
//	environment.go                           settings, clock, random source, actions
//	worker.go task.go                        one worker; one task and its attempts
//	settingscheck.go settings.go             validation of the settings; settings
//	events.go actions.go numbers.go          events; actions; arithmetic
//
// worker.go and task.go form one layer: a worker refers to its attempts, an attempt to its worker.
package placement

import (
	"fmt"
	"math/rand/v2"
)

// This file owns the [Scheduler]: it creates the components and dispatches events to them. All
// decisions are made by the components.

// Scheduler selects the worker of each task for one orchestrator. It is not safe for concurrent use.
type Scheduler struct {
	*environment
	capacity     *capacityModel
	index        *workerIndex
	reservations *reservations
	residents    *residents
	affinity     *affinity
	loads        *loadTracker
	fleet        *fleet
	calibration  *calibration
	totals       *totals
	overload     *overload
	spread       *spread
	slowStart    *slowStart
	health       *health
	view         *view
	probes       *probes
	search       *search
	quotas       *quotas
	queue        *queue
	migration    *migration
	requests     *requests
	continuity   *continuity
	pass         *schedulingPass
	discovery    *discovery
	timer        *timer
}

// New returns a scheduler whose random draws are determined by the seed and Settings.SelfIndex. If checks
// of the settings fail, New returns one [SettingError] for each failed check, joined.
func New(settings Settings, seed uint64) (*Scheduler, error) {
	if err := settings.check(); err != nil {
		// The prefix is the name of the program and not of this package, because the simulator protocol
		// carries this text to the operators of a deployment.
		return nil, fmt.Errorf("ravenhitch: %w", err)
	}
	random := rand.New(rand.NewPCG(seed, uint64(settings.SelfIndex)))
	env := &environment{settings: settings, random: random, startedAt: notStarted}
	s := &Scheduler{environment: env}
	s.createFleet()
	s.createEstimators()
	s.createDecisions()
	return s, nil
}

// createFleet creates the components that track the workers.
func (s *Scheduler) createFleet() {
	s.capacity = newCapacityModel(s.environment)
	s.index = newWorkerIndex(len(s.settings.Kinds))
	s.reservations = newReservations(s.index)
	s.residents = newResidents()
	s.affinity = newAffinity()
	s.loads = &loadTracker{
		environment: s.environment, capacity: s.capacity, index: s.index, reservations: s.reservations,
		lag: initialLagSteps * lagStep,
	}
	s.fleet = &fleet{
		environment: s.environment, capacity: s.capacity, loads: s.loads, index: s.index,
		residents: s.residents, affinity: s.affinity, workers: map[string]*workerInfo{},
		unlisted: map[*workerInfo]bool{}, uncordoned: map[*workerInfo]bool{},
	}
}

// createEstimators creates the components that compute estimates and sums, that limit the offers to a
// worker, and that process worker lists and probes.
func (s *Scheduler) createEstimators() {
	s.calibration = &calibration{
		environment: s.environment, capacity: s.capacity, loads: s.loads, index: s.index,
	}
	s.totals = &totals{
		environment: s.environment, fleet: s.fleet, loads: s.loads, index: s.index, capacity: s.capacity,
		calibration: s.calibration,
	}
	s.overload = &overload{
		environment: s.environment, fleet: s.fleet, loads: s.loads,
		reservedUnits: make([]float64, len(s.settings.Classes)),
	}
	s.spread = &spread{residents: s.residents}
	s.slowStart = &slowStart{environment: s.environment}
	s.health = &health{environment: s.environment}
	s.view = &view{
		environment: s.environment, fleet: s.fleet,
		lag: &lagEstimator{environment: s.environment, loads: s.loads},
	}
	s.probes = &probes{
		environment: s.environment, fleet: s.fleet, loads: s.loads, capacity: s.capacity,
		calibration: s.calibration,
	}
}

// createDecisions creates the components that make decisions.
func (s *Scheduler) createDecisions() {
	s.search = newSearch(search{
		environment: s.environment, fleet: s.fleet, loads: s.loads, capacity: s.capacity,
		index: s.index, residents: s.residents, health: s.health,
		filter: &filter{
			environment: s.environment, loads: s.loads, index: s.index, capacity: s.capacity,
			reservations: s.reservations, slowStart: s.slowStart, spread: s.spread, overload: s.overload,
		},
		scorer: &scorer{
			environment: s.environment, fleet: s.fleet, loads: s.loads, capacity: s.capacity,
			totals: s.totals, slowStart: s.slowStart,
			kinds: make([]kindCost, len(s.settings.Kinds)),
		},
	})
	s.quotas = newQuotas(s.environment, s.fleet)
	s.queue = &queue{environment: s.environment, quotas: s.quotas}
	s.migration = &migration{
		environment: s.environment, loads: s.loads, capacity: s.capacity, search: s.search,
	}
	s.requests = newRequests(requests{
		environment: s.environment, queue: s.queue, quotas: s.quotas, capacity: s.capacity,
		fleet: s.fleet, loads: s.loads, residents: s.residents, health: s.health,
		overload: s.overload, calibration: s.calibration, migration: s.migration,
	})
	s.pass = &schedulingPass{
		environment: s.environment, fleet: s.fleet, loads: s.loads, reservations: s.reservations,
		residents: s.residents, health: s.health, overload: s.overload, totals: s.totals, probes: s.probes,
		search: s.search, queue: s.queue, requests: s.requests, unschedulable: map[taskShape]bool{},
	}
	s.continuity = &continuity{
		environment: s.environment, fleet: s.fleet, loads: s.loads, requests: s.requests,
		uncertain: map[uncertaintyKey]*uncertainty{},
	}
	s.discovery = &discovery{environment: s.environment}
	s.timer = &timer{
		environment: s.environment, queue: s.queue, discovery: s.discovery, continuity: s.continuity,
	}
}

// Handle processes events at the time now, in microseconds, and returns the actions that the caller
// has to take, in order.
func (s *Scheduler) Handle(now int64, events []Event) []Action {
	s.now, s.actions = now, nil
	if s.startedAt < 0 {
		s.startedAt = now
		s.discovery.start()
	}
	for _, event := range events {
		s.handleEvent(event)
	}
	s.continuity.check()
	s.pass.run()
	s.discovery.poll()
	s.timer.set()
	return s.actions
}

// handleEvent dispatches an event to the component that processes it.
func (s *Scheduler) handleEvent(event Event) {
	switch event := event.(type) {
	case WorkerList:
		s.discovery.recordList(event.Kind)
		if event.Kind != ListFailed {
			s.view.apply(event)
		}
	case Request:
		s.requests.add(event.Task)
	case Adopted:
		s.requests.adopt(event)
	case Accepted:
		s.requests.attemptAccepted(event)
	case AttemptEnded:
		if event.Outcome == Completed {
			s.continuity.messageReceived(event.RequestID)
		}
		s.requests.attemptEnded(event)
	case TaskReport:
		s.continuity.messageReceived(event.RequestID)
		s.requests.taskReported(event)
	case ClientCancelled:
		s.requests.cancel(event.RequestID)
	case ProbeResult:
		s.probes.recordResult(event)
		s.continuity.reported(event)
	case ProcessUncertain:
		s.continuity.interrupted(event)
	case AdoptionUncertain:
		s.continuity.adopted(event)
	case WorkerReachable:
		s.health.recordReachable(s.fleet.workers[event.Worker])
	case WorkerUnreachable:
		s.health.recordUnreachable(s.fleet.workers[event.Worker])
	case Backpressure:
		s.overload.apply(event)
	case TimerFired:
		s.timer.fired()
	}
}

// Avoids reports whether suspicion excludes a worker from the tasks of every class. Such a worker gets a
// task only if no healthy worker fits the task.
func (s *Scheduler) Avoids(name string) bool {
	worker := s.fleet.workers[name]
	return worker != nil && s.health.ejected(worker)
}

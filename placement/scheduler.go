// Package placement decides, for one orchestrator of a cluster, which worker each task goes to.
// Many orchestrators run side by side and share nothing: a [Scheduler] depends only on its
// [Settings], its seed and the events that it was given. Time is in microseconds, on the clock
// that the caller passes to [Scheduler.Handle].
//
// A placement runs through named steps: filter the workers, score those that pass, and offer the
// task to one of the best, or reserve a worker while the task stays pending.
//
// The package consists of parts that own their state. A file uses only files on lines below its
// own, or to its right:
//
//	scheduler.go                             creates the parts and hands events to them
//	pass.go timer.go                         scheduling passes; when to be called again
//	requests.go                              life of every request
//	migration.go                             migration of running tasks
//	search.go ordinals.go                    search for the worker of a task
//	filter.go score.go                       feasible, healthy and fitting workers; admission cost
//	queue.go quota.go                        pending tasks by priority; tenants
//	overload.go totals.go                    concurrent placements; sums over all workers
//	view.go lag.go probe.go                  lists; how late they are; probes and their reports
//	calibration.go                           learned effective capacity of single workers
//	slowstart.go health.go spread.go         slow start; outlier detection; anti-affinity
//	repeats.go discovery.go                  repeats of keyed tasks; polls of discovery
//	fleet.go                                 which workers there are
//	load.go                                  how much is requested of each worker
//	reservations.go index.go levels.go       workers by how much is requested of them
//	residents.go affinity.go capacity.go     programs on workers; effective capacity
//	environment.go                           settings, clock, random source, actions
//	worker.go task.go                        one worker; one task and its attempts
//	settingscheck.go settings.go             checks of the settings; settings
//	events.go actions.go numbers.go          events; actions; arithmetic
//
// worker.go and task.go are one layer: a worker refers to its attempts, an attempt to its worker.
package placement

import (
	"fmt"
	"math/rand/v2"
)

// This file owns the scheduler as a whole: it creates the parts and hands events to them. It
// must never decide anything itself.

// Scheduler decides which worker each task goes to, for one orchestrator. It is not safe for
// concurrent use.
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
	pass         *schedulingPass
	discovery    *discovery
	timer        *timer
}

// New returns a scheduler, whose random draws follow from the seed. It returns a
// [SettingError] for each setting that is missing or contradictory, joined.
func New(settings Settings, seed uint64) (*Scheduler, error) {
	if err := settings.check(); err != nil {
		// Not "placement:", as the simulator's wire carries this text to the operators of a deployment.
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

// createFleet creates the parts that know the workers.
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

// createEstimators creates the parts that learn and sum up.
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

// createDecisions creates the parts that decide.
func (s *Scheduler) createDecisions() {
	s.search = newSearch(search{
		environment: s.environment, fleet: s.fleet, loads: s.loads, capacity: s.capacity,
		index: s.index, residents: s.residents, health: s.health,
		filter: &filter{
			environment: s.environment, loads: s.loads, index: s.index, capacity: s.capacity,
			reservations: s.reservations,
			health:       s.health, slowStart: s.slowStart, spread: s.spread, overload: s.overload,
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
	s.discovery = &discovery{environment: s.environment}
	s.timer = &timer{environment: s.environment, queue: s.queue, discovery: s.discovery}
}

// Handle takes what happened at now, in microseconds, and returns what to do, in order.
func (s *Scheduler) Handle(now int64, events []Event) []Action {
	s.now, s.actions = now, nil
	if s.startedAt < 0 {
		s.startedAt = now
		s.discovery.start()
	}
	for _, event := range events {
		s.handleEvent(event)
	}
	s.pass.run()
	s.discovery.poll()
	s.timer.set()
	return s.actions
}

// handleEvent hands an event to the part that takes it.
func (s *Scheduler) handleEvent(event Event) {
	switch event := event.(type) {
	case WorkerList:
		s.discovery.listed(event.Kind)
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
		s.requests.attemptEnded(event)
	case TaskReport:
		s.requests.taskReported(event)
	case ClientCancelled:
		s.requests.cancel(event.RequestID)
	case ProbeResult:
		s.probes.ended(event)
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

// Avoids reports whether a worker gets no task of any class, as it is suspected.
func (s *Scheduler) Avoids(name string) bool {
	worker := s.fleet.workers[name]
	return worker != nil && s.health.ejected(worker)
}

package placement

// This file is the state of a placer: its settings, and what events are handed to. It
// decides nothing.

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Scheduler decides for one placer. It is not safe for concurrent use.
type Scheduler struct {
	settings      Settings
	random        *rand.Rand
	classIndexes  map[string]int // by name
	tenantIndexes map[string]int
	// minSaturationLoad and minSaturationRange are the least Calm and Fade of all classes.
	minSaturationLoad, minSaturationRange float64

	now       int64
	startedAt int64
	actions   []Action
	timerAt   int64

	// What is known of machines.
	workers       map[string]*workerInfo
	sorted        []*workerInfo            // by name
	nameHashes    []uint64                 // of order
	ordinalsStale bool                     // ordinals and ids are those of an earlier order
	unlisted      map[*workerInfo]bool     // in order, and not listed
	foreignCount  int                      // listed machines of other placers
	uncordoned    map[*workerInfo]bool     // put back by hand, and perhaps used since
	lagDependent  []*workerInfo            // see lagDependentWorkers; and others
	calibrated    []*workerInfo            // whose bends may not be forgotten yet
	residents     map[uint64][]*workerInfo // which machines hold tasks of a program
	preferred     map[uint64][]*workerInfo // the first in the order hashed from a program
	version       int64                    // counts changes of what machines hold, and of their places
	counts        spreadCounts

	// What all machines together have and are asked for.
	baseline        fractions // what machines of no bend bear, as parts of their size
	requestedCores  float64   // cores that the listed machines are asked for
	listedCapacity  fractions // cores and memory of the listed machines
	means           fleetMeans
	cachedFreeUnits float64 // see room
	freeUnitsAt     int64   // when spare was computed

	// Searches for machines.
	index          workerIndex
	search         search
	visitCandidate func(*workerInfo) bool // consider, bound once
	ordinalBits    []uint64               // used by nth

	// Requests, and the round in which held ones are looked at.
	tasks           map[string]*taskInfo
	pending         []*taskInfo
	passTasks       []*taskInfo             // the held tasks of this round
	unschedulable   map[taskShape]bool      // what found no machine in this round
	reservations    map[*workerInfo]float64 // for held tasks of that rank, in this round
	reservedWorkers []*workerInfo           // the same machines, in the order in which they were kept
	dirty           bool                    // something happened that may let a held task go

	// Others' binds, while more tasks come than find room.
	contention           float64    // of the room that the view shows, by others
	concurrentPlacements [2]float64 // shares of all cores and memory bound by others since the view
	overloaded           bool       // more tasks come than find room
	reservedUnits        []float64  // units that a class leaves to those of more worth
	releaseRate          float64    // at which room comes while tasks wait, or 0

	// What is learned of the view, of answers and of own tasks.
	lagErrors        [lagSteps]float64
	lagObservations  float64
	lag              int64
	meanRTT          float64 // of answers, as TCP keeps it
	rttDeviation     float64
	reportedRequests [2]float64 // cores and memory asked by own tasks whose use is told
	reportedUsage    [2]float64
	tenantCores      []float64 // cores that own tasks hold, by tenant
	totalCores       float64

	pollAt       int64 // when to ask discovery next; 0: never
	pollAttempts int
	subscribed   bool
}

// New returns a placer. It reports what is missing or contradictory in s.
func New(settings Settings, seed uint64) (*Scheduler, error) {
	if err := settings.check(); err != nil {
		return nil, fmt.Errorf("ravenhitch: %w", err)
	}
	scheduler := &Scheduler{
		settings: settings, random: rand.New(rand.NewPCG(seed, uint64(settings.SelfIndex))), startedAt: -1, lag: initialLagSteps * lagStep,
		classIndexes: map[string]int{}, tenantIndexes: map[string]int{}, minSaturationLoad: math.Inf(1), minSaturationRange: math.Inf(1),
		workers: map[string]*workerInfo{}, unlisted: map[*workerInfo]bool{}, uncordoned: map[*workerInfo]bool{},
		residents: map[uint64][]*workerInfo{}, preferred: map[uint64][]*workerInfo{},
		tasks: map[string]*taskInfo{}, unschedulable: map[taskShape]bool{}, reservations: map[*workerInfo]float64{},
		tenantCores: make([]float64, len(settings.Tenants)), reservedUnits: make([]float64, len(settings.Classes)),
		index: newWorkerIndex(len(settings.Kinds)), search: newSearch(len(settings.Kinds)),
	}
	for i, class := range settings.Classes {
		scheduler.classIndexes[class.Name] = i
		scheduler.minSaturationLoad, scheduler.minSaturationRange = min(scheduler.minSaturationLoad, class.SaturationLoad), min(scheduler.minSaturationRange, class.SaturationRange)
	}
	for i, t := range settings.Tenants {
		scheduler.tenantIndexes[t.Name] = i
	}
	scheduler.baseline = scheduler.computeBaseline()
	scheduler.visitCandidate = scheduler.evaluate
	return scheduler, nil
}

func (s *Settings) check() error {
	var errs []error
	need := func(ok bool, what string) {
		if !ok {
			errs = append(errs, errors.New(what))
		}
	}
	need(s.FleetSize >= 1, "FleetSize is missing")
	need(s.SelfIndex >= 0 && s.SelfIndex < max(1, s.FleetSize), "SelfIndex is not below FleetSize")
	need(len(s.Classes) > 0, "Classes is missing")
	need(len(s.Kinds) > 0, "Kinds is missing")
	need(s.CoresOvercommit > 0, "CoresMultiple is missing")
	need(s.MemoryOvercommit > 0, "MemoryMultiple is missing")
	need(s.TickUs >= 0 && s.AnswerSlackUs >= 0 && s.DrainGraceUs >= 0 && s.WarmUpUs >= 0 &&
		s.SlowStartWindowUs >= 0 && s.PollWithinUs >= 0, "a time is negative")
	need(s.SlowStartOffers >= 0, "FreshOffers is negative")
	need(s.MaxAttempts >= 0, "AttemptsCap is negative")
	for _, kind := range s.Kinds {
		need(kind.Cores > 0 && kind.Memory > 0, "Kind "+kind.Name+" has no size")
	}
	for _, class := range s.Classes {
		need(class.Name != "", "a Class has no Name")
		need(class.Effect >= Safe && class.Effect <= Unsafe, "Class "+class.Name+": Effect is unknown")
		need(class.Effect != Keyed || class.Group >= ScopeCell && class.Group <= ScopeAll,
			"Class "+class.Name+": Group is missing or unknown")
		need(class.WindowUs >= 0 && class.ObjectiveUs >= 0 && class.DeadlineUs >= 0, "Class "+class.Name+": a time is negative")
		need(class.Kind >= -1 && class.Kind < len(s.Kinds), "Class "+class.Name+": Kind is unknown")
		need(class.Spread >= ScopeNone && class.Spread <= ScopeZone, "Class "+class.Name+": Apart is unknown")
	}
	return errors.Join(errs...)
}

func (p *Scheduler) emit(action Action) {
	p.actions = append(p.actions, action)
}

// Avoids reports whether a machine gets no task of any class, as it is suspected.
func (p *Scheduler) Avoids(name string) bool {
	worker := p.workers[name]
	if worker == nil {
		return false
	}
	for classIndex := range p.settings.Classes {
		if worker.suspicion(p.now, classIndex) < ejectionThreshold {
			return false
		}
	}
	return true
}

func (p *Scheduler) jitter(limit int64) int64 { return p.random.Int64N(max(1, limit)) + 1 }

// handleEvent hands an event to what decides about it.
func (p *Scheduler) handleEvent(event Event) {
	switch event := event.(type) {
	case WorkerList:
		p.updateWorkers(event)
	case Request:
		p.addRequest(event.Task)
	case Adopted:
		p.adopt(event)
	case Accepted:
		p.attemptAccepted(event)
	case AttemptEnded:
		p.attemptEnded(event)
	case TaskReport:
		p.taskReported(event)
	case ProbeResult:
		p.probeEnded(event)
	case WorkerReachable:
		p.workerReachable(event)
	case ClientCancelled:
		p.cancelRequest(p.tasks[event.RequestID])
	case Backpressure:
		p.releaseRate, p.dirty = event.ReleaseRate, true
		p.overloaded = event.ReleaseRate > 0 || slices.ContainsFunc(event.Reserved, func(v float64) bool { return v > 0 })
		clear(p.reservedUnits)
		copy(p.reservedUnits, event.Reserved)
	case TimerFired:
		p.timerAt, p.dirty = 0, true
	}
}

// inRange reports whether v is a number from least to most.
func inRange(value, low, high float64) bool { return value >= low && value <= high }

// decayed is what is left of v after an age, if half of it goes in each half.
func decayed(value float64, age, halfLife int64) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp2(-float64(age)/float64(halfLife))
}

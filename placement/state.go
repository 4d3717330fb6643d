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
	s       Settings
	rng     *rand.Rand
	classes map[string]int // by name
	tenants map[string]int
	// calmLevel and fadeLevel are the least Calm and Fade of all classes.
	calmLevel, fadeLevel float64

	now    int64
	born   int64
	out    []Action
	wakeAt int64

	// What is known of machines.
	machines     map[string]*machine
	order        []*machine            // by name
	ids          []uint64              // of order
	reordered    bool                  // ordinals and ids are those of an earlier order
	departed     map[*machine]bool     // in order, and not listed
	foreign      int                   // listed machines of other placers
	returned     map[*machine]bool     // put back by hand, and perhaps used since
	lagged       []*machine            // see laggedMachines; and others
	bent         []*machine            // whose bends may not be forgotten yet
	programs     map[uint64][]*machine // which machines hold tasks of a program
	preferred    map[uint64][]*machine // the first in the order hashed from a program
	homesChanged int64                 // counts changes of what machines hold, and of their places
	spread       spread

	// What all machines together have and are asked for.
	bearing    shares  // what machines of no bend bear, as parts of their size
	fleetAsked float64 // cores that the listed machines are asked for
	listedSize shares  // cores and memory of the listed machines
	means      means
	spare      float64 // see room
	spareAt    int64   // when spare was computed

	// Searches for machines.
	index  fleetIndex
	search search
	visit  func(*machine) bool // consider, bound once
	marks  []uint64            // used by nth

	// Requests, and the round in which held ones are looked at.
	tasks   map[string]*task
	waiting []*task
	round   []*task              // the held tasks of this round
	stuck   map[shape]bool       // what found no machine in this round
	kept    map[*machine]float64 // for held tasks of that rank, in this round
	keptNow []*machine           // the same machines, in the order in which they were kept
	stirred bool                 // something happened that may let a held task go

	// Others' binds, while more tasks come than find room.
	taken    float64    // of the room that the view shows, by others
	others   [2]float64 // shares of all cores and memory bound by others since the view
	crowd    bool       // more tasks come than find room
	keep     []float64  // units that a class leaves to those of more worth
	roomPace float64    // at which room comes while tasks wait, or 0

	// What is learned of the view, of answers and of own tasks.
	lagErr   [lagSteps]float64
	lagSeen  float64
	lag      int64
	rttMean  float64 // of answers, as TCP keeps it
	rttDev   float64
	asked    [2]float64 // cores and memory asked by own tasks whose use is told
	used     [2]float64
	ownCores []float64 // cores that own tasks hold, by tenant
	ownTotal float64

	askAt      int64 // when to ask discovery next; 0: never
	askTries   int
	subscribed bool
}

// New returns a placer. It reports what is missing or contradictory in s.
func New(s Settings, seed uint64) (*Scheduler, error) {
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("ravenhitch: %w", err)
	}
	p := &Scheduler{
		s: s, rng: rand.New(rand.NewPCG(seed, uint64(s.SelfIndex))), born: -1, lag: lagFirst * lagStep,
		classes: map[string]int{}, tenants: map[string]int{}, calmLevel: math.Inf(1), fadeLevel: math.Inf(1),
		machines: map[string]*machine{}, departed: map[*machine]bool{}, returned: map[*machine]bool{},
		programs: map[uint64][]*machine{}, preferred: map[uint64][]*machine{},
		tasks: map[string]*task{}, stuck: map[shape]bool{}, kept: map[*machine]float64{},
		ownCores: make([]float64, len(s.Tenants)), keep: make([]float64, len(s.Classes)),
		index: newFleetIndex(len(s.Kinds)), search: newSearch(len(s.Kinds)),
	}
	for i, c := range s.Classes {
		p.classes[c.Name] = i
		p.calmLevel, p.fadeLevel = min(p.calmLevel, c.SaturationLoad), min(p.fadeLevel, c.SaturationRange)
	}
	for i, t := range s.Tenants {
		p.tenants[t.Name] = i
	}
	p.bearing = p.multiples()
	p.visit = p.consider
	return p, nil
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
	for _, k := range s.Kinds {
		need(k.Cores > 0 && k.Memory > 0, "Kind "+k.Name+" has no size")
	}
	for _, c := range s.Classes {
		need(c.Name != "", "a Class has no Name")
		need(c.Effect >= Safe && c.Effect <= Unsafe, "Class "+c.Name+": Effect is unknown")
		need(c.Effect != Keyed || c.Group >= ScopeCell && c.Group <= ScopeAll,
			"Class "+c.Name+": Group is missing or unknown")
		need(c.WindowUs >= 0 && c.ObjectiveUs >= 0 && c.DeadlineUs >= 0, "Class "+c.Name+": a time is negative")
		need(c.Kind >= -1 && c.Kind < len(s.Kinds), "Class "+c.Name+": Kind is unknown")
		need(c.Spread >= ScopeNone && c.Spread <= ScopeZone, "Class "+c.Name+": Apart is unknown")
	}
	return errors.Join(errs...)
}

func (p *Scheduler) do(a Action) {
	p.out = append(p.out, a)
}

// Avoids reports whether a machine gets no task of any class, as it is suspected.
func (p *Scheduler) Avoids(name string) bool {
	m := p.machines[name]
	if m == nil {
		return false
	}
	for class := range p.s.Classes {
		if m.suspicion(p.now, class) < suspectOut {
			return false
		}
	}
	return true
}

func (p *Scheduler) jitter(most int64) int64 { return p.rng.Int64N(max(1, most)) + 1 }

// event hands an event to what decides about it.
func (p *Scheduler) event(e Event) {
	switch e := e.(type) {
	case WorkerList:
		p.list(e)
	case Request:
		p.request(e.Task)
	case Adopted:
		p.existing(e)
	case Accepted:
		p.accepted(e)
	case AttemptEnded:
		p.done(e)
	case TaskReport:
		p.noted(e)
	case ProbeResult:
		p.sampled(e)
	case WorkerReachable:
		p.reached(e)
	case ClientCancelled:
		p.gone(p.tasks[e.RequestID])
	case Backpressure:
		p.roomPace, p.stirred = e.ReleaseRate, true
		p.crowd = e.ReleaseRate > 0 || slices.ContainsFunc(e.Reserved, func(v float64) bool { return v > 0 })
		clear(p.keep)
		copy(p.keep, e.Reserved)
	case TimerFired:
		p.wakeAt, p.stirred = 0, true
	}
}

// within reports whether v is a number from least to most.
func within(v, least, most float64) bool { return v >= least && v <= most }

// faded is what is left of v after an age, if half of it goes in each half.
func faded(v float64, age, half int64) float64 {
	if v == 0 {
		return 0
	}
	return v * math.Exp2(-float64(age)/float64(half))
}

package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"
)

// This file owns what a life is made of, drawn from its seed. It must never look at the clock: the same seed gives the
// same plan.

const (
	// killDelay is how long after the longest deadline, counted as maxKillDeadline where it is longer, the kill
	// comes at the earliest, from the first signal to end on.
	killDelay       = 700 * time.Millisecond
	maxKillDeadline = 3 * time.Second
	// drainGrace is for how long a draining worker may get offers.
	drainGrace = 600 * time.Millisecond

	minStopAt, maxStopAt = 1200 * time.Millisecond, 2 * time.Second
	// faultsAfterStop is for how long after the first signal faults begin.
	faultsAfterStop = 800 * time.Millisecond
)

// faultKind is a kind of fault.
type faultKind string

// Faults of paths to workers, of workers, and of discovery.
const (
	faultCut            faultKind = "cut"
	faultDelay          faultKind = "delay"
	faultMute           faultKind = "mute" // what is sent to the worker arrives, and nothing comes back
	faultReset          faultKind = "reset"
	faultRestart        faultKind = "restart"      // at the same address
	faultDrain          faultKind = "drain"        // and it sends its tasks away one by one
	faultDrainSlowly    faultKind = "drain-slowly" // and its tasks go on
	faultHang           faultKind = "hang"         // to the end
	faultClose          faultKind = "close"        // of all connections
	faultDiscoveryCut   faultKind = "discovery-cut"
	faultDiscoveryDelay faultKind = "discovery-delay"
	faultDiscoveryMove  faultKind = "discovery-move" // to another address, with SIGHUP
)

var (
	pathFaults      = []faultKind{faultCut, faultDelay, faultMute, faultReset}
	workerFaults    = []faultKind{faultRestart, faultDrain, faultDrainSlowly, faultHang, faultClose}
	discoveryFaults = []faultKind{faultDiscoveryCut, faultDiscoveryDelay, faultDiscoveryMove}
)

// fault is one fault: of a worker or its path, or of the discovery of a process.
type fault struct {
	kind    faultKind
	at      time.Duration // since the begin of the life
	length  time.Duration
	process int
	worker  int // its index among the workers of the process; unless the fault is of discovery
}

// signalStep is one signal of the series that ends the processes.
type signalStep struct {
	after  time.Duration // the one before
	signal syscall.Signal
}

// plan is a life: its size, its faults and its end. Workers with an even index are reached by proxies.
type plan struct {
	seed              uint64
	processes         int
	workers           int // of each process
	clients           int // the same
	deadline          time.Duration
	sockets, memoryMB int
	crowd             int // connections that say nothing or half a message, of each process
	faults            []fault
	spoilsAnswers     bool // workers send half a message, or reset their connection in place of an answer
	stopAt            time.Duration
	signals           []signalStep
}

// signalSeries are the series of signals that end a process.
var signalSeries = [][]syscall.Signal{
	{syscall.SIGTERM},
	{syscall.SIGINT},
	{syscall.SIGTERM, syscall.SIGTERM},
	{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT},
	{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
	{syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM},
}

// drawPlan draws the life of a seed.
func drawPlan(seed uint64) plan {
	random := rand.New(rand.NewPCG(seed, 38))
	p := plan{
		seed:      seed,
		processes: 1 + random.IntN(3),
		workers:   3 + random.IntN(4),
		clients:   4 + random.IntN(9),
		deadline:  []time.Duration{600 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second}[random.IntN(4)],
		sockets:   256,
		memoryMB:  64,
		stopAt:    between(random, minStopAt, maxStopAt),
	}
	if random.IntN(3) == 0 {
		p.sockets, p.memoryMB, p.crowd = p.sockets/2, p.memoryMB/2, 100+random.IntN(400)
	}
	p.spoilsAnswers = random.IntN(3) == 0
	for range p.processes * (2 + random.IntN(4)) {
		p.faults = append(p.faults, p.drawFault(random))
	}
	slices.SortFunc(p.faults, func(a, b fault) int { return int(a.at - b.at) })
	for i, signal := range signalSeries[random.IntN(len(signalSeries))] {
		step := signalStep{signal: signal}
		if i > 0 && random.IntN(2) == 0 { // else in the same instant
			step.after = between(random, time.Millisecond, 300*time.Millisecond)
		}
		p.signals = append(p.signals, step)
	}
	return p
}

// drawFault draws one fault.
func (p *plan) drawFault(random *rand.Rand) fault {
	f := fault{
		at:      between(random, 100*time.Millisecond, p.stopAt+faultsAfterStop),
		length:  between(random, 100*time.Millisecond, 1500*time.Millisecond),
		process: random.IntN(p.processes),
	}
	switch random.IntN(5) {
	case 0, 1:
		f.kind, f.worker = pathFaults[random.IntN(len(pathFaults))], 2*random.IntN((p.workers+1)/2)
	case 2, 3:
		f.kind, f.worker = workerFaults[random.IntN(len(workerFaults))], 1+2*random.IntN(p.workers/2)
	default:
		f.kind = discoveryFaults[random.IntN(len(discoveryFaults))]
	}
	return f
}

func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// killAfter is how long after the first signal to end the kill comes at the earliest.
func (p *plan) killAfter() time.Duration { return min(p.deadline, maxKillDeadline) + killDelay }

// String is the plan in one line.
func (p plan) String() string {
	words := []string{fmt.Sprintf("processes=%d workers=%d clients=%d deadline=%s crowd=%d spoilt=%v stop=%s", p.processes, p.workers,
		p.clients, p.deadline, p.crowd, p.spoilsAnswers, p.stopAt.Round(time.Millisecond))}
	for _, f := range p.faults {
		words = append(words, fmt.Sprintf("%s:%d.%d@%s+%s", f.kind, f.process, f.worker, f.at.Round(time.Millisecond), f.length.Round(time.Millisecond)))
	}
	for _, step := range p.signals {
		words = append(words, fmt.Sprintf("%s+%s", step.signal, step.after.Round(time.Millisecond)))
	}
	return strings.Join(words, " ")
}

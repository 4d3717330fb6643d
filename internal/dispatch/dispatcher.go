// Package core owns the request table: every request that an owner has handed
// in and every task that stands, from their first message to their last. It
// turns what happened into events of the decision module, and the module's
// actions into offers, answers and releases. It knows no wire and no socket,
// and it reads no clock: the time is passed in.
//
// The invariants hold here, whatever a front, a node or the module does: one
// final answer for each request, one attempt out at a time, no offer after the
// end, none to a node past the drain limit, and at most one start of a task
// that must not run twice. Nothing here may block, and nothing but this package
// may decide that a request is over.
package dispatch

import (
	"fmt"
	"hash/fnv"
	"log/slog"
	"strconv"

	"ravenhitch/internal/backpressure"
	"ravenhitch/placement"
)

const (
	// terminationTimeout is how long a node has to tell the end of a task that was released or
	// moved before its owner may use the names of it again.
	terminationTimeout = 700_000
	// unlistedTimeout is how long a task may stand on a node that left the list: long enough for
	// the node's own word on it, which comes by another way. The list may tell of a node that
	// went some seconds late, and a task that ended with it must be told within 8 s.
	unlistedTimeout = 1_000_000
	// adoptedUnlistedTimeout is the same for a task that was handed in as standing on a node that
	// no list ever named: nobody else will tell its owner.
	adoptedUnlistedTimeout = 1_500_000
	sweepInterval          = 500_000
	// drainRetention is how long it is remembered that a node has left: well past the
	// last offer that could still be meant for it.
	drainRetention = 60_000_000
	// drainMargin is how long before the drain limit offers end here.
	drainMargin = 500_000
	// maxCachedResponses bounds the final words kept for set-ups that may be repeated.
	maxCachedResponses = 4096
)

type state int

const (
	stateNew         state = iota // not in the table yet
	statePending                  // no attempt is out
	stateOffered                  // an attempt is out
	stateCancelling               // the attempt was given up, and may still be out
	stateRunning                  // the node has said yes
	stateTerminating              // released or moved; the node's word is awaited
	stateRemoved                  // its owner gave it up
)

// request is one request, or one task that stands.
type request struct {
	Submission
	client           Client
	state            state
	keyHash          uint64 // of its task
	classIndex       int    // in the settings, the last where it is not there
	units            float64
	deadline         int64
	effect           placement.Effect
	attempts         int
	attempt          int // the number of the attempt that is out or stands
	sentAt           int64
	adoptedAt        int64 // when it was handed in as standing, or 0
	abandonAt        int64
	worker           string
	mayHaveRun       bool              // an attempt may have started
	firstRun         firstAttempt      // the first that may have
	endOutcome       placement.Outcome // ending: what becomes of the attempt; standing and due: of the task
	endCause         placement.Cause
	responseID       string // the tag that the owner knows it by
	startDescription string // what the node gave
	missingSince     int64
	wakeAt           int64 // when the core itself acts, or 0
	heapIndex        int   // in the heap
}

// firstRun is the first attempt of a request that may have started: where, and when it was offered.
type firstAttempt struct {
	node, zone string
	cell       int
	at         int64
}

// open reports whether its owner is owed an answer.
func (r *request) open() bool {
	return r.state == statePending || r.state == stateOffered || r.state == stateCancelling
}

// Counts are what the core has seen so far.
type Counts struct {
	Requests, Started, Rejected, Failed, Completed, Migrated, Cancelled, Adopted, Resumed int64
	Offers, TimedOut, ConnectFailed, RejectedByWorker, Reset, Blocked                     int64
}

// Dispatcher is the request table round one decision module. It is not safe for
// concurrent use.
type Dispatcher struct {
	scheduler        *placement.Scheduler
	settings         placement.Settings
	effects          map[string]placement.Effect
	workers          WorkerPool
	log              *slog.Logger
	now              int64
	requests         map[string]*request
	latestByKey      map[string]*request // the latest live request of each task
	aliases          map[string]*request // further tags of resumed requests
	unresponsive     map[string]*request // released, and of their end nothing is known
	tasksByWorker    runningTasks
	unclaimed        unclaimedCompletions // of tasks that are not known
	finalResponses   map[string]Response  // final words on set-ups that may be repeated
	finalOrder       []string
	deadlines        deadlineHeap
	timers           timerHeap
	events           []placement.Event
	drainingSince    map[string]int64 // when a node was told to drain or to be gone
	listed           map[string]bool
	hasList          bool // the list is followed
	confirmList      bool // the module waits for the list
	advisor          Advisor
	classIndex       map[string]int
	pendingUnits     []float64 // units that wait for room, by class
	pendingCount     int       // requests that do
	remainingUnits   []float64 // the same after the actions of a turn; kept for its room
	lastBackpressure backpressureReport
	pacer            responsePacer
	nextSweepAt      int64
	counts           Counts
	totals           map[string]ClassTotals // by class
	listFilter       listFilter
	tracer           Tracer
}

// New returns a core that decides with a new module.
func New(s placement.Settings, seed uint64, nodes WorkerPool, log *slog.Logger) (*Dispatcher, error) {
	p, err := placement.New(s, seed)
	if err != nil {
		return nil, fmt.Errorf("core: %w", err)
	}
	c := &Dispatcher{scheduler: p, settings: s, effects: map[string]placement.Effect{}, workers: nodes, log: log,
		requests: map[string]*request{}, latestByKey: map[string]*request{}, aliases: map[string]*request{},
		unresponsive: map[string]*request{}, tasksByWorker: runningTasks{}, unclaimed: unclaimedCompletions{byRequestID: map[string]unclaimedCompletion{}}, finalResponses: map[string]Response{}, drainingSince: map[string]int64{}, listed: map[string]bool{},
		advisor: backpressure.New(BackpressureSettings(s), seed), classIndex: map[string]int{}, pendingUnits: make([]float64, len(s.Classes)),
		tracer: Tracer{Log: log}, totals: map[string]ClassTotals{},
		listFilter: listFilter{listed: map[string]placement.Entry{}, cordoned: map[string]bool{}, uncordoned: map[string]bool{}}}
	for i, k := range s.Classes {
		c.effects[k.Name] = k.Effect
		c.classIndex[k.Name] = i
	}
	return c, nil
}

// Counts returns what was seen so far.
func (c *Dispatcher) Counts() Counts { return c.counts }

// OpenCount is how many requests are owed an answer.
func (c *Dispatcher) OpenCount() (n int) {
	for _, r := range c.requests {
		if r.open() {
			n++
		}
	}
	return n
}

// RunningCount is how many tasks stand.
func (c *Dispatcher) RunningCount() (n int) {
	for _, r := range c.requests {
		if r.state == stateRunning {
			n++
		}
	}
	return n
}

func (c *Dispatcher) event(e placement.Event) { c.events = append(c.events, e) }

// keyHash turns a name into the module's number for it.
func number(name string) uint64 {
	if v, err := strconv.ParseUint(name, 16, 64); err == nil {
		return v
	}
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// find returns the live request that owners know by a tag.
func (c *Dispatcher) find(tag string) *request {
	if r := c.requests[tag]; r != nil {
		return r
	}
	return c.aliases[tag]
}

// forget is the one place where a request leaves the table.
func (c *Dispatcher) forget(r *request) {
	c.disarm(r)
	c.to(r, stateRemoved)
	if c.requests[r.RequestID] == r {
		delete(c.requests, r.RequestID)
	}
	if c.latestByKey[r.Key] == r {
		delete(c.latestByKey, r.Key)
	}
	if r.responseID != r.RequestID {
		for tag, o := range c.aliases {
			if o == r {
				delete(c.aliases, tag)
			}
		}
	}
}

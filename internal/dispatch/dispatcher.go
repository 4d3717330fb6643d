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
	// cutWait is how long a node has to tell the end of a task that was released or
	// moved before its owner may use the names of it again.
	cutWait = 700_000
	// orphanAfter is how long a task may stand on a node that left the list: long enough for
	// the node's own word on it, which comes by another way. The list may tell of a node that
	// went some seconds late, and a task that ended with it must be told within 8 s.
	orphanAfter = 1_000_000
	// openAfter is the same for a task that was handed in as standing on a node that
	// no list ever named: nobody else will tell its owner.
	openAfter  = 1_500_000
	sweepEvery = 500_000
	// toldMost is how long it is remembered that a node has left: well past the
	// last offer that could still be meant for it.
	toldMost = 60_000_000
	// drainMargin is how long before the drain limit offers end here.
	drainMargin = 500_000
	// pastMost bounds the final words kept for set-ups that may be repeated.
	pastMost = 4096
)

type state int

const (
	fresh    state = iota // not in the table yet
	waiting               // no attempt is out
	out                   // an attempt is out
	ending                // the attempt was given up, and may still be out
	standing              // the node has said yes
	leaving               // released or moved; the node's word is awaited
	gone                  // its owner gave it up
)

// request is one request, or one task that stands.
type request struct {
	Submission
	owner    Client
	state    state
	number   uint64 // of its task
	class    int    // in the settings, the last where it is not there
	units    float64
	deadline int64
	effect   placement.Effect
	attempts int
	copy     int // the number of the attempt that is out or stands
	sentAt   int64
	foundAt  int64 // when it was handed in as standing, or 0
	abandon  int64
	node     string
	mayRun   bool              // an attempt may have started
	ran      ran               // the first that may have
	endAs    placement.Outcome // ending: what becomes of the attempt; standing and due: of the task
	endWhy   placement.Cause
	reply    string // the tag that the owner knows it by
	binding  string // what the node gave
	lostAt   int64
	due      int64 // when the core itself acts, or 0
	index    int   // in the heap
}

// ran is the first attempt of a request that may have started: where, and when it was offered.
type ran struct {
	node, zone string
	cell       int
	at         int64
}

// open reports whether its owner is owed an answer.
func (r *request) open() bool { return r.state == waiting || r.state == out || r.state == ending }

// Counts are what the core has seen so far.
type Counts struct {
	Requests, Started, Rejected, Failed, Completed, Migrated, Cancelled, Adopted, Resumed int64
	Offers, TimedOut, ConnectFailed, RejectedByWorker, Reset, Blocked                     int64
}

// Dispatcher is the request table round one decision module. It is not safe for
// concurrent use.
type Dispatcher struct {
	placer    *placement.Scheduler
	set       placement.Settings
	effects   map[string]placement.Effect
	nodes     WorkerPool
	log       *slog.Logger
	now       int64
	reqs      map[string]*request
	keys      map[string]*request // the latest live request of each task
	alias     map[string]*request // further tags of resumed requests
	silent    map[string]*request // released, and of their end nothing is known
	holdings  holdings
	unclaimed unclaimedEnds       // of tasks that are not known
	past      map[string]Response // final words on set-ups that may be repeated
	pastAge   []string
	due       dues
	bells     bells
	events    []placement.Event
	told      map[string]int64 // when a node was told to drain or to be gone
	listed    map[string]bool
	channel   bool // the list is followed
	observe   bool // the module waits for the list
	advisor   Advisor
	classes   map[string]int
	held      []float64 // units that wait for room, by class
	waits     int       // requests that do
	after     []float64 // the same after the actions of a turn; kept for its room
	pressed   pressure
	spread    spread
	sweepAt   int64
	counts    Counts
	ends      map[string]ClassTotals // by class
	roster    roster
	tracer    Tracer
}

// New returns a core that decides with a new module.
func New(s placement.Settings, seed uint64, nodes WorkerPool, log *slog.Logger) (*Dispatcher, error) {
	p, err := placement.New(s, seed)
	if err != nil {
		return nil, fmt.Errorf("core: %w", err)
	}
	c := &Dispatcher{placer: p, set: s, effects: map[string]placement.Effect{}, nodes: nodes, log: log,
		reqs: map[string]*request{}, keys: map[string]*request{}, alias: map[string]*request{},
		silent: map[string]*request{}, holdings: holdings{}, unclaimed: unclaimedEnds{byTag: map[string]unclaimedEnd{}}, past: map[string]Response{}, told: map[string]int64{}, listed: map[string]bool{},
		advisor: backpressure.New(BackpressureSettings(s), seed), classes: map[string]int{}, held: make([]float64, len(s.Classes)),
		tracer: Tracer{Log: log}, ends: map[string]ClassTotals{},
		roster: roster{last: map[string]placement.Entry{}, out: map[string]bool{}, back: map[string]bool{}}}
	for i, k := range s.Classes {
		c.effects[k.Name] = k.Effect
		c.classes[k.Name] = i
	}
	return c, nil
}

// Counts returns what was seen so far.
func (c *Dispatcher) Counts() Counts { return c.counts }

// OpenCount is how many requests are owed an answer.
func (c *Dispatcher) OpenCount() (n int) {
	for _, r := range c.reqs {
		if r.open() {
			n++
		}
	}
	return n
}

// RunningCount is how many tasks stand.
func (c *Dispatcher) RunningCount() (n int) {
	for _, r := range c.reqs {
		if r.state == standing {
			n++
		}
	}
	return n
}

func (c *Dispatcher) event(e placement.Event) { c.events = append(c.events, e) }

// number turns a name into the module's number for it.
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
	if r := c.reqs[tag]; r != nil {
		return r
	}
	return c.alias[tag]
}

// forget is the one place where a request leaves the table.
func (c *Dispatcher) forget(r *request) {
	c.disarm(r)
	c.to(r, gone)
	if c.reqs[r.RequestID] == r {
		delete(c.reqs, r.RequestID)
	}
	if c.keys[r.Key] == r {
		delete(c.keys, r.Key)
	}
	if r.reply != r.RequestID {
		for tag, o := range c.alias {
			if o == r {
				delete(c.alias, tag)
			}
		}
	}
}

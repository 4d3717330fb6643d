// Package dispatch owns the request table: every request that a client has submitted and every running task,
// from its first message to its last. It turns the submissions and cancels of clients and the reports of
// workers into events for the scheduler, and the scheduler's actions into offers, responses and releases. It
// handles no wire format and no sockets, and it reads no clock: callers pass in the time, in microseconds.
//
// The invariants of requests (state.go) hold whatever a client, a worker or the scheduler does. No function
// of this package may block, and no other package may decide that a request is over.
package dispatch

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"

	"ravenhitch/internal/backpressure"
	"ravenhitch/placement"
)

// This file owns the table itself: how requests are inserted, found and removed. It must change the state of
// a request only by a transition (state.go).

// Units of time, in microseconds.
const (
	millisecond = 1_000
	second      = 1_000 * millisecond
)

// Counts holds the counters of a dispatcher since its creation.
type Counts struct {
	Requests, Started, Rejected, Failed, Completed, Migrated, Cancelled, Adopted, Resumed int64
	Offers, TimedOut, ConnectFailed, RejectedByWorker, Reset, Blocked                     int64
}

// Dispatcher is the request table of one scheduler. It is not safe for concurrent use.
type Dispatcher struct {
	scheduler  *placement.Scheduler
	settings   placement.Settings
	effects    map[string]placement.Effect // effect of a repeated start, by class
	classIndex map[string]int              // index in the settings, by class
	workers    WorkerPool
	advisor    Advisor
	log        *slog.Logger
	tracer     Tracer

	now    int64             // current time, as callers pass it to the methods, in microseconds
	events []placement.Event // events to pass to the scheduler in the next turn

	// The request table (requests), and other data by request ID, key or worker.
	requests      map[string]*request // by request ID
	maxRequests   int                 // maximum number of entries of requests and unresponsive together
	latestByKey   map[string]*request // latest request of each task, by key
	aliases       map[string]*request // resumed requests, by the request IDs of repeats (see request.aliases)
	unresponsive  map[string]*request // requests of unresponsive tasks (unresponsive.go), by request ID
	tasksByWorker runningTasks
	history       offerHistory
	unclaimed     unclaimedCompletions
	inherited     inheritance
	responses     responseCache

	// Deadlines, timers, and the pacing of responses.
	deadlines   deadlineHeap
	timers      timerHeap
	nextSweepAt int64
	pacer       responsePacer

	// The list of workers.
	listFilter    listFilter
	listed        map[string]bool
	drainingSince map[string]int64 // time since which a worker counts as draining or removed, by worker
	hasList       bool             // a list was received
	rejectsAll    bool             // RejectAll was called
	confirmList   bool             // the scheduler has requested the list or its changes, and Turn has to answer

	// Data for the backpressure reports to the advisor and the scheduler (backpressure.go).
	pendingUnits     []float64 // units of pending requests, by class
	pendingCount     int
	remainingUnits   []float64 // pendingUnits after the actions of a turn; kept to reuse its memory
	lastBackpressure backpressureReport

	counts Counts
	totals map[string]ClassTotals
}

// New returns a dispatcher with a new scheduler and the default advisor. seed seeds the random numbers of both. The
// dispatcher sends its offers through the worker pool. New returns an error if the settings are invalid.
func New(settings placement.Settings, seed uint64, workers WorkerPool, log *slog.Logger) (*Dispatcher, error) {
	scheduler, err := placement.New(settings, seed)
	if err != nil {
		return nil, fmt.Errorf("dispatch: invalid settings: %w", err)
	}
	d := &Dispatcher{
		scheduler:  scheduler,
		settings:   settings,
		effects:    map[string]placement.Effect{},
		classIndex: map[string]int{},
		workers:    workers,
		advisor:    backpressure.New(BackpressureSettings(settings), seed),
		log:        log,
		tracer:     Tracer{Log: log},

		requests:      map[string]*request{},
		maxRequests:   math.MaxInt,
		latestByKey:   map[string]*request{},
		aliases:       map[string]*request{},
		unresponsive:  map[string]*request{},
		tasksByWorker: runningTasks{},
		unclaimed:     newUnclaimedCompletions(),
		inherited:     inheritance{ownRequests: &requestFilter{}},
		responses:     newResponseCache(),

		listFilter:    newListFilter(),
		listed:        map[string]bool{},
		drainingSince: map[string]int64{},

		pendingUnits: make([]float64, len(settings.Classes)),
		totals:       map[string]ClassTotals{},
	}
	for i, class := range settings.Classes {
		d.effects[class.Name] = class.Effect
		d.classIndex[class.Name] = i
	}
	return d, nil
}

// Counts returns the counters since the creation of the dispatcher.
func (d *Dispatcher) Counts() Counts { return d.counts }

// OpenCount returns the number of open requests, which still get a final response.
func (d *Dispatcher) OpenCount() (count int) {
	for _, r := range d.requests {
		if r.state.isOpen() {
			count++
		}
	}
	return count
}

// RunningCount returns the number of running tasks, excluding terminating tasks.
func (d *Dispatcher) RunningCount() (count int) {
	for _, r := range d.requests {
		if r.state == stateRunning {
			count++
		}
	}
	return count
}

// queueEvent queues an event for the next call of the scheduler.
func (d *Dispatcher) queueEvent(e placement.Event) { d.events = append(d.events, e) }

// find returns the request in the table with the given request ID, or the request that was resumed under this
// ID, or nil.
func (d *Dispatcher) find(requestID string) *request {
	if r := d.requests[requestID]; r != nil {
		return r
	}
	return d.aliases[requestID]
}

// insert adds a new request to the table.
func (d *Dispatcher) insert(r *request) {
	d.requests[r.RequestID] = r
	d.inherited.recordOwn(r.RequestID)
	if r.Key != "" {
		d.latestByKey[r.Key] = r
	}
}

// remove removes a request from the table. No other function removes requests.
func (d *Dispatcher) remove(r *request) {
	d.disarm(r)
	d.transition(r, eventRemoved)
	d.history.add(r.RequestID, r.priorOffers)
	if d.requests[r.RequestID] == r {
		delete(d.requests, r.RequestID)
	}
	if d.latestByKey[r.Key] == r {
		delete(d.latestByKey, r.Key)
	}
	for _, alias := range r.aliases {
		delete(d.aliases, alias)
	}
}

// sorted returns the requests ordered by request ID, so that the same events lead to the same actions.
func (d *Dispatcher) sorted() []*request {
	return sortByRequestID(slices.Collect(maps.Values(d.requests)))
}

// sortByRequestID sorts requests in place and returns them.
func sortByRequestID(requests []*request) []*request {
	slices.SortFunc(requests, func(a, b *request) int { return cmp.Compare(a.RequestID, b.RequestID) })
	return requests
}

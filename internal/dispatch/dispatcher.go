// Package dispatch owns the request table: every request that a client has submitted and every
// running task, from their first message to their last. It turns what happened into events of the
// scheduler, and the scheduler's actions into offers, responses and releases. It knows no wire and
// no socket, and it reads no clock: the time is passed in, in microseconds.
//
// The invariants of requests (state.go) hold here, whatever a client, a worker or the scheduler
// does. Nothing here may block, and nothing but this package may decide that a request is over.
package dispatch

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"ravenhitch/internal/backpressure"
	"ravenhitch/placement"
)

// This file owns the table itself: how requests enter it, are found in it, and leave it. It must never
// change the state of a request but by a transition (state.go).

// Units of the times here, which are in microseconds.
const (
	millisecond = 1_000
	second      = 1_000 * millisecond
)

// Counts are what the dispatcher has counted since it was created.
type Counts struct {
	Requests, Started, Rejected, Failed, Completed, Migrated, Cancelled, Adopted, Resumed int64
	Offers, TimedOut, ConnectFailed, RejectedByWorker, Reset, Blocked                     int64
}

// Dispatcher is the request table around one scheduler. It is not safe for concurrent use.
type Dispatcher struct {
	scheduler  *placement.Scheduler
	settings   placement.Settings
	effects    map[string]placement.Effect // of a repeated start, by class
	classIndex map[string]int              // in the settings, by class
	workers    WorkerPool
	advisor    Advisor
	log        *slog.Logger
	tracer     Tracer

	now    int64             // of the current call
	events []placement.Event // for the scheduler, at the next turn

	// The requests. Each is in the table by its request ID until it is removed.
	requests      map[string]*request
	latestByKey   map[string]*request // the latest live request of each task
	aliases       map[string]*request // by further request IDs of resumed requests
	unresponsive  map[string]*request // removed from the table; their workers have not reported the end
	tasksByWorker runningTasks
	unclaimed     unclaimedCompletions
	responses     responseCache

	// The times to come.
	deadlines   deadlineHeap
	timers      timerHeap
	nextSweepAt int64
	pacer       responsePacer

	// The list of workers.
	listFilter    listFilter
	listed        map[string]bool
	drainingSince map[string]int64 // when a worker was first listed as draining or removed
	hasList       bool             // a list has come
	confirmList   bool             // the scheduler waits for confirmation that the list is followed

	// What is reported to the advisor and the scheduler of pending requests and free capacity.
	pendingUnits     []float64 // by class
	pendingCount     int
	remainingUnits   []float64 // pendingUnits after the actions of a turn; reused for its memory
	lastBackpressure backpressureReport

	counts Counts
	totals map[string]ClassTotals
}

// New returns a dispatcher that decides with a new scheduler. It sends offers by workers.
func New(settings placement.Settings, seed uint64, workers WorkerPool, log *slog.Logger) (*Dispatcher, error) {
	scheduler, err := placement.New(settings, seed)
	if err != nil {
		return nil, fmt.Errorf("dispatch: %w", err)
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
		latestByKey:   map[string]*request{},
		aliases:       map[string]*request{},
		unresponsive:  map[string]*request{},
		tasksByWorker: runningTasks{},
		unclaimed:     newUnclaimedCompletions(),
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

// Counts returns what was counted so far.
func (d *Dispatcher) Counts() Counts { return d.counts }

// OpenCount is the number of requests that are owed a response.
func (d *Dispatcher) OpenCount() (count int) {
	for _, r := range d.requests {
		if r.state.isOpen() {
			count++
		}
	}
	return count
}

// RunningCount is the number of running tasks, without terminating ones.
func (d *Dispatcher) RunningCount() (count int) {
	for _, r := range d.requests {
		if r.state == stateRunning {
			count++
		}
	}
	return count
}

// queueEvent queues an event for the scheduler.
func (d *Dispatcher) queueEvent(e placement.Event) { d.events = append(d.events, e) }

// find returns the live request that clients know by a request ID, or nil.
func (d *Dispatcher) find(requestID string) *request {
	if r := d.requests[requestID]; r != nil {
		return r
	}
	return d.aliases[requestID]
}

// insert puts a new request into the table.
func (d *Dispatcher) insert(r *request) {
	d.requests[r.RequestID] = r
	if r.Key != "" {
		d.latestByKey[r.Key] = r
	}
}

// remove is the one place where a request leaves the table.
func (d *Dispatcher) remove(r *request) {
	d.disarm(r)
	d.transition(r, eventRemoved)
	if d.requests[r.RequestID] == r {
		delete(d.requests, r.RequestID)
	}
	if d.latestByKey[r.Key] == r {
		delete(d.latestByKey, r.Key)
	}
	if r.responseID == r.RequestID {
		return // it was never resumed under another request ID
	}
	for alias, resumed := range d.aliases {
		if resumed == r {
			delete(d.aliases, alias)
		}
	}
}

// sorted lists the requests by request ID, so that the same events give the same actions.
func (d *Dispatcher) sorted() []*request {
	return sortByRequestID(slices.Collect(maps.Values(d.requests)))
}

// sortByRequestID sorts requests in place and returns them.
func sortByRequestID(requests []*request) []*request {
	slices.SortFunc(requests, func(a, b *request) int { return cmp.Compare(a.RequestID, b.RequestID) })
	return requests
}

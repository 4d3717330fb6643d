// Package workerpool owns the connections of an orchestrator to its workers. It carries offers, cancels,
// releases and probes of the dispatcher to them, and turns what they send into outcomes for the
// dispatcher. All of it runs on the event loop; every time is in microseconds of the loop's clock
// unless its type says otherwise.
package workerpool

// This file owns the set of workers: which ones discovery lists, the periodic sweep over all of them,
// and the outcomes that wait for the dispatcher. It must never call the dispatcher from within a call of
// the dispatcher, and never end an attempt because its time is up: deadlines belong to the dispatcher.

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"ravenhitch/internal/descriptors"
	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/ratelog"
)

const (
	millisecond = int64(1_000)
	second      = 1_000 * millisecond

	// sweepInterval is the time between two sweeps over all workers.
	sweepInterval = 500 * millisecond
	// unlistedLinger is how long the connections to a worker that left the list stay open for what it still
	// has to report. There must be a limit, as a worker that vanished never closes them.
	unlistedLinger = 10 * second
)

// Pool connects the dispatcher to the workers. It owns the link to each of them.
type Pool struct {
	loop          *eventloop.Loop
	dispatcher    *dispatch.Dispatcher
	log           *ratelog.Logger
	tracer        dispatch.Tracer
	dialTimeoutUs int64
	pingsAllowed  bool // the deployment lets workers be sent pings
	links         map[string]*link
	sortedLinks   []*link                  // links by worker ID, nil where that is to be sorted anew
	isAssigned    func(worker string) bool // this orchestrator places tasks there, nil: at all workers
	offers        uint64                   // offers so far
	offersSent    int64                    // offers that were sent completely and are settled
	outcomes      []func()                 // found during calls of the dispatcher, and not reported yet
	delayedOffers []delayedOffer           // wait until their clients are seen
	budget        *descriptors.Budget      // nil where there are enough descriptors for all
	idle          idleConns
	// keepAlive is after how long without a packet from a worker's system TCP keepalive sends it a probe; 0 where
	// its acknowledgements do not prove the worker's connection alive.
	keepAlive time.Duration
}

var _ dispatch.WorkerPool = (*Pool)(nil)

// New returns a pool without workers. dialTimeoutUs, in microseconds, bounds how long a connection may take
// to come up; pingsAllowed says that workers may be sent pings. SetDispatcher sets the dispatcher.
func New(loop *eventloop.Loop, dialTimeoutUs int64, pingsAllowed bool, log *slog.Logger) *Pool {
	return &Pool{
		loop:          loop,
		dialTimeoutUs: dialTimeoutUs,
		pingsAllowed:  pingsAllowed,
		log:           ratelog.New(log),
		tracer:        dispatch.Tracer{Log: log},
		links:         map[string]*link{},
	}
}

// SetTraceSuffixes limits the trace to the request IDs that end in one of the suffixes; none traces all.
func (p *Pool) SetTraceSuffixes(suffixes []string) { p.tracer.Suffixes = suffixes }

// SetKeepAlive lets TCP keepalive prove that a connection is alive, and has the system send a probe once nothing
// has come from the worker's system for the given time. No proxy may answer in the workers' place.
func (p *Pool) SetKeepAlive(after time.Duration) { p.keepAlive = after }

// ShareDescriptors makes the pool connect workers only as the budget allows.
func (p *Pool) ShareDescriptors(budget *descriptors.Budget) { p.budget = budget }

// SetDispatcher sets the dispatcher that outcomes are reported to, and starts the periodic sweep.
func (p *Pool) SetDispatcher(dispatcher *dispatch.Dispatcher) {
	p.dispatcher = dispatcher
	p.loop.After(sweepInterval, p.sweep)
}

// SetAssigned sets at which workers this orchestrator places tasks: connections to these are kept up, and to
// the others while tasks run there. isAssigned must give the same answers until the next call.
func (p *Pool) SetAssigned(isAssigned func(worker string) bool) {
	p.isAssigned = isAssigned
	for _, l := range p.linksByID() {
		if l.assigned = p.assigned(l.workerID); l.assigned {
			l.ensureConnected()
		}
	}
}

func (p *Pool) assigned(worker string) bool { return p.isAssigned == nil || p.isAssigned(worker) }

// linksByID returns all links, sorted by worker ID. The slice stays as it is while links come and go.
func (p *Pool) linksByID() []*link {
	if p.sortedLinks == nil {
		p.sortedLinks = slices.SortedFunc(maps.Values(p.links), func(a, b *link) int {
			return strings.Compare(a.workerID, b.workerID)
		})
	}
	return p.sortedLinks
}

func (p *Pool) add(l *link) {
	p.links[l.workerID] = l
	p.sortedLinks = nil
}

func (p *Pool) remove(l *link) {
	delete(p.links, l.workerID)
	p.sortedLinks = nil
}

// sweep maintains the links of workers that are assigned here, are connected, have unconfirmed releases or run tasks.
func (p *Pool) sweep() {
	for _, l := range p.linksByID() {
		if l.assigned || len(l.conns) > 0 || len(l.releases) > 0 {
			l.sweep(p.dispatcher.TasksOn(l.workerID), p.loop.Now())
		}
	}
	for _, worker := range p.dispatcher.WorkersWithTasks() { // unassigned ones
		if l := p.links[worker]; l != nil && !l.assigned && len(l.conns) == 0 {
			l.sweep(p.dispatcher.TasksOn(worker), p.loop.Now())
		}
	}
	p.loop.After(sweepInterval, p.sweep)
}

// reportLater reports an outcome to the dispatcher in the next turn, not from within its call.
func (p *Pool) reportLater(report func()) {
	p.outcomes = append(p.outcomes, report)
	p.loop.RunAgain()
}

// DeliverPending reports to the dispatcher the outcomes that were found during its calls. The orchestrator calls it
// in each turn once all that came in was read; offers that were delayed until then are sent first, and at once.
func (p *Pool) DeliverPending() {
	p.sendDelayedOffers()
	for len(p.outcomes) > 0 {
		batch := p.outcomes
		p.outcomes = nil
		for _, report := range batch {
			report()
		}
	}
}

// UpdateWorker applies the address of a worker from discovery, and whether it is listed. Where the address changed,
// the connections to the former one are closed.
func (p *Pool) UpdateWorker(worker, addr string, listed bool) {
	l := p.links[worker]
	if l == nil {
		if !listed {
			return
		}
		l = &link{pool: p, workerID: worker, addr: addr, assigned: p.assigned(worker)}
		p.add(l)
	}
	if listed && addr != l.addr {
		l.addr = addr
		l.closeAll(errAddressChanged)
	}
	l.listed = listed
	if listed {
		l.ensureConnected()
		return
	}
	p.unlist(l)
}

// unlist removes a worker that is no longer listed: at once where it has no connection, else after
// unlistedLinger, unless it is listed again by then.
func (p *Pool) unlist(l *link) {
	l.redialTimer.Stop()
	if len(l.conns) == 0 {
		p.remove(l)
		return
	}
	p.loop.After(unlistedLinger, func() {
		if p.links[l.workerID] == l && !l.listed {
			l.closeAll(errUnlisted)
			p.remove(l)
		}
	})
}

// WorkerStarted applies from discovery when the process of a worker started, a Unix time in microseconds.
func (p *Pool) WorkerStarted(worker string, startedAt int64) {
	if l := p.links[worker]; l != nil && startedAt > l.processStartedAt {
		l.processStartedAt, l.restartPending = startedAt, true
		l.applyRestart()
	}
}

// RemoveUnlisted removes the workers that a full list did not name.
func (p *Pool) RemoveUnlisted(listed map[string]bool) {
	for _, l := range p.linksByID() {
		if !listed[l.workerID] {
			p.UpdateWorker(l.workerID, "", false)
		}
	}
}

// Close aborts the connections on which an attempt may be open, at the end of the program. After a plain close the
// system would go on sending what is in its buffers, and an offer would arrive that nobody waits for.
func (p *Pool) Close() {
	for _, l := range p.links {
		for _, c := range l.conns {
			if len(c.openOffers) > 0 || c.cancels.pending() {
				c.conn.Abort()
			}
		}
	}
}

// trace writes one step of a request at debug level.
func (p *Pool) trace(step, requestID string, args ...any) {
	p.tracer.Step(step, requestID, p.loop.Now(), args...)
}

// Package workerpool owns the connections of an orchestrator to its workers. It sends the offers, cancels,
// releases and probes of the dispatcher to the workers, and translates the messages of the workers into
// outcomes for the dispatcher. All of the package runs on the event loop. Times are in microseconds of the
// loop's clock unless their type says otherwise.
package workerpool

// This file owns the set of links to workers, the periodic sweep of the links, and the outcomes that wait to be
// reported to the dispatcher. It must never report an outcome to the dispatcher while the dispatcher is calling the
// pool, and never end an attempt because its deadline has passed: deadlines belong to the dispatcher.

import (
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
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

	// sweepInterval is the time between two calls of Pool.sweep.
	sweepInterval = 500 * millisecond
	// unlistedLinger is the maximum time for which the connections to a worker stay open after discovery has stopped
	// listing the worker. They stay open so that the worker can send its remaining reports. The time is limited
	// because a worker that has vanished never closes its connections.
	unlistedLinger = 10 * second
)

// Pool connects the dispatcher to the workers. It owns the link to each worker.
type Pool struct {
	loop           *eventloop.Loop
	dispatcher     *dispatch.Dispatcher
	log            *ratelog.Logger
	tracer         dispatch.Tracer
	dialTimeoutUs  int64
	pingsAllowed   bool                     // the deployment allows pings to workers
	links          map[string]*link         // by worker ID
	sortedLinks    []*link                  // the links sorted by worker ID; nil if they must be sorted again
	isAssigned     func(worker string) bool // reports whether a worker is assigned to this orchestrator; nil if all are
	connsDialled   uint64                   // number of connections to workers that were dialled
	pingsSent      uint64                   // number of pings to workers
	offersMade     uint64                   // number of offers that the dispatcher has made
	offersSent     int64                    // number of offers that were sent completely and are no longer open
	pendingReports []func()                 // called by DeliverPending; each reports an outcome to the dispatcher
	delayedOffers  []delayedOffer           // offers that wait until the connections of their clients have been read
	retired        bool                     // Retire was called
	receivers      map[*workerConn]bool     // connections outside of the links that may still receive reports
	budget         *descriptors.Budget      // nil if ShareDescriptors was not called
	idle           idleConns
	collection     collection
	random         *rand.Rand // orders the workers of a collection
	counts         Counts
	// keepAlive is the time without a packet from the worker's operating system after which TCP keepalive sends a
	// probe. It is 0 if TCP acknowledgements do not prove that the connection to the worker is alive.
	keepAlive time.Duration
}

var _ dispatch.WorkerPool = (*Pool)(nil)

// New returns a pool without workers. dialTimeoutUs is the maximum time, in microseconds, for establishing a
// connection and for the answer to a probe. It also limits the wait for the answer to a ping behind a cancel (see
// confirmationTimeout). pingsAllowed is true if the pool may send pings to workers. SetDispatcher must be called before
// the first worker is added.
func New(loop *eventloop.Loop, dialTimeoutUs int64, pingsAllowed bool, log *slog.Logger) *Pool {
	return &Pool{
		loop:          loop,
		dialTimeoutUs: dialTimeoutUs,
		pingsAllowed:  pingsAllowed,
		log:           ratelog.New(log),
		tracer:        dispatch.Tracer{Log: log},
		links:         map[string]*link{},
		receivers:     map[*workerConn]bool{},
		random:        rand.New(rand.NewPCG(0, 0)),
	}
}

// SetSeed sets the seed of the order in which the pool connects to workers that may keep completions for an earlier process.
func (p *Pool) SetSeed(seed uint64) { p.random = rand.New(rand.NewPCG(seed, 0)) }

// SetTraceSuffixes limits the trace to the request IDs that end in one of the suffixes. Without suffixes, all
// requests are traced.
func (p *Pool) SetTraceSuffixes(suffixes []string) { p.tracer.Suffixes = suffixes }

// SetKeepAlive makes the pool accept TCP acknowledgements as proof that a connection is alive, and sets the idle time
// of TCP keepalive for connections established later: the operating system sends a probe after idleTime without a
// packet from the worker's operating system. No proxy between the pool and a worker may acknowledge packets on the
// worker's behalf. If idleTime is 0, only received data proves that a connection is alive, and the default keepalive
// of package eventloop stays in effect.
func (p *Pool) SetKeepAlive(idleTime time.Duration) { p.keepAlive = idleTime }

// ShareDescriptors makes the pool open connections to workers only if the budget admits them. The budget does not limit
// connections for late completions.
func (p *Pool) ShareDescriptors(budget *descriptors.Budget) { p.budget = budget }

// SetDispatcher sets the dispatcher to which the pool reports outcomes, and starts the periodic sweep.
func (p *Pool) SetDispatcher(dispatcher *dispatch.Dispatcher) {
	p.dispatcher = dispatcher
	p.loop.After(sweepInterval, p.sweep)
}

// SetAssigned sets the function that reports whether this orchestrator places tasks at a worker. The pool keeps
// connections to assigned workers up, and to other workers only while tasks run there. isAssigned must return the same
// result for a worker until the next call of SetAssigned.
func (p *Pool) SetAssigned(isAssigned func(worker string) bool) {
	p.isAssigned = isAssigned
	for _, l := range p.linksByID() {
		if l.assigned = p.assigned(l.workerID); l.assigned {
			l.ensureConnected()
		}
	}
}

func (p *Pool) assigned(worker string) bool { return p.isAssigned == nil || p.isAssigned(worker) }

// linksByID returns all links, sorted by worker ID. The returned slice does not change when links are added or
// removed.
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

// sweep maintains the links of workers that are assigned to this orchestrator, are connected, have unconfirmed
// releases or run tasks.
func (p *Pool) sweep() {
	p.sweepCollection()
	for _, l := range p.linksByID() {
		if l.assigned || len(l.conns) > 0 || len(l.releases) > 0 {
			l.sweep(p.dispatcher.TasksOn(l.workerID), p.loop.Now())
		}
	}
	// Tasks may also run at unassigned workers without connections and releases, which the loop above skips.
	for _, worker := range p.dispatcher.WorkersWithTasks() {
		if l := p.links[worker]; l != nil && !l.assigned && len(l.conns) == 0 {
			l.sweep(p.dispatcher.TasksOn(worker), p.loop.Now())
		}
	}
	p.loop.After(sweepInterval, p.sweep)
}

// reportLater queues a function that reports an outcome to the dispatcher, and requests another turn of the loop.
// DeliverPending calls the function. The outcome is not reported at once because the dispatcher may be calling the
// pool at that moment.
func (p *Pool) reportLater(report func()) {
	p.pendingReports = append(p.pendingReports, report)
	p.loop.RunAgain()
}

// DeliverPending reports to the dispatcher the outcomes that were queued by reportLater. The orchestrator calls
// DeliverPending in each turn of the loop after the received data has been read. Before the reports, DeliverPending
// sends the delayed offers and flushes them immediately.
func (p *Pool) DeliverPending() {
	p.sendDelayedOffers()
	for len(p.pendingReports) > 0 {
		batch := p.pendingReports
		p.pendingReports = nil
		for _, report := range batch {
			report()
		}
	}
}

// UpdateWorker applies an update from discovery: the address of a worker and whether the worker is listed. If the
// address changed, the connections to the old address are closed.
func (p *Pool) UpdateWorker(worker, addr string, listed bool) {
	l := p.links[worker]
	if l == nil {
		if !listed {
			return
		}
		l = &link{pool: p, workerID: worker, addr: addr, assigned: p.assigned(worker), listedAt: p.loop.Now()}
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

// unlist removes a worker that is no longer listed. A worker without a connection is removed immediately. Any other
// worker is removed after unlistedLinger, or earlier if its last connection breaks or is closed by the worker, unless
// it is listed again by then.
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

// UpdateWorkerStart applies the start time of a worker's process, a Unix time in microseconds, that discovery reported.
// It ignores a time that is not later than the known one.
func (p *Pool) UpdateWorkerStart(worker string, startedAt int64) {
	p.updateStart(worker, startedAt, false)
}

// UpdateLatestWorkerStart applies a time that the start of a worker's process is not later than.
func (p *Pool) UpdateLatestWorkerStart(worker string, latest int64) {
	p.updateStart(worker, latest, true)
}

func (p *Pool) updateStart(worker string, startedAt int64, isLatest bool) {
	l := p.links[worker]
	if l == nil || startedAt <= l.processStartedAt {
		return
	}
	l.processStartedAt, l.startIsLatest, l.restartPending = startedAt, isLatest, true
	p.log.Debug("worker start listed", "worker", worker, "started_at_us", startedAt, "age_us", p.loop.Now()-startedAt, "is_latest", isLatest)
	l.applyRestart()
}

// RemoveUnlisted removes the workers that are missing from a full list of discovery.
func (p *Pool) RemoveUnlisted(listed map[string]bool) {
	for _, l := range p.linksByID() {
		if !listed[l.workerID] {
			p.UpdateWorker(l.workerID, "", false)
		}
	}
}

// Close aborts the connections on which an attempt may be open. It is called when the program ends. After a plain
// close, the operating system would continue to send its buffers, and the worker would receive an offer whose result
// nobody awaits.
func (p *Pool) Close() {
	for _, l := range p.links {
		for _, c := range l.conns {
			if len(c.openOffers) > 0 || c.cancels.pending() {
				c.conn.Abort()
			}
		}
	}
}

// nextConnNumber returns the number of a connection to a worker that is dialled now.
func (p *Pool) nextConnNumber() uint64 {
	p.connsDialled++
	return p.connsDialled
}

// nextPingTag returns the tag of a ping that is sent now. No two pings have the same tag, so that the answer to one is never
// taken for the answer to another.
func (p *Pool) nextPingTag() string {
	p.pingsSent++
	return fmt.Sprintf("%016x", p.pingsSent)
}

// trace logs one step of a request at debug level.
func (p *Pool) trace(step, requestID string, args ...any) {
	p.tracer.Step(step, requestID, p.loop.Now(), args...)
}

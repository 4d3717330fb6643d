package workerpool

// This file owns the set of workers: whom the list names, the look at all of them at intervals,
// and the offers and tests of the core on their way to a worker. It must never send an offer
// that the core did not ask for, and never take silence for an answer: time limits belong to
// the core.

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"ravenhitch/internal/descriptors"
	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/jsonlines"
	"ravenhitch/internal/ratelog"
	"ravenhitch/placement"
)

const (
	// staleAfter is how long an offer may lie on a connection on which nothing came
	// in before new offers go out on a new one.
	staleAfter = 400_000
	minRedial  = 100_000
	maxRedial  = 2_000_000
	// partAfter is how long the connections to a worker that left the list are kept
	// for what it still has to say: one that vanished would keep them for ever.
	partAfter = 10_000_000
	// maxQuiet is how long nothing may come in on a connection to a worker where
	// tasks stand before another is opened: the old one may be dead without a sign, and
	// the ends of tasks come on the next. An end not told for 8 s is lost.
	maxQuiet   = 3_000_000
	sweepNodes = 500_000
	// deadEntriesAfter is how long a worker may refuse connections and say nothing on those that
	// it has before it counts as dead: well over the pause of a busy one, and with
	// maxQuiet and two sweeps before it still under the 8 s in which an end is to be told.
	deadAfter = 2_000_000
	// deadUntested is the same where the deployment allows no tests.
	deadUntested = 4_000_000
	// maxStray bounds the connections to one worker.
	maxStray = 4
	// maxHalf is how long half a message may wait for its rest. Workers write theirs
	// whole: what stops short spoils all that would come behind it.
	maxHalf = 250_000
	// maxUnheardClient is how long before an offer leaves its client must have been heard. A client
	// that is gone for 0.1 s gets no attempt any more; the other half is for the rest of the
	// turn, up to the write.
	maxUnheardClient = 50_000
	// maxTries is how often an offer is put on a connection that breaks before the
	// offer has left; after that the worker counts as not reached.
	maxTries = 3
	// keepAliveSlack is how much longer than due the answer to the system's question may take.
	keepAliveSlack = 1_000_000
)

var errHalf = fmt.Errorf("%w: it stops short", jsonlines.ErrMessage)

// Pool is the core's way to the workers.
type Pool struct {
	l       *eventloop.Loop
	core    *dispatch.Dispatcher
	log     *ratelog.Logger
	tracer  dispatch.Tracer
	dialUs  int64
	tests   bool // workers may be sent tests
	links   map[string]*link
	order   []*link                  // links by name, nil where that is to be found anew
	own     func(worker string) bool // this orchestrator places tasks there, nil: at all workers
	tries   int64                    // offers that left whole and are settled
	pending []func()                 // outcomes found while the core was acting
	held    []held                   // offers that wait until their clients are heard
	budget  *descriptors.Budget      // nil where there are enough descriptors for all
	idle    idleConns
	// keepAlive is after how long without a sign the system asks a worker's for one, 0: what the
	// system sees of a connection proves nothing here.
	keepAlive time.Duration
}

// New returns the links, of which there are none yet; tests says that workers may be
// sent tests. Use sets the core.
func New(l *eventloop.Loop, dialUs int64, tests bool, log *slog.Logger) *Pool {
	return &Pool{l: l, dialUs: dialUs, tests: tests, log: ratelog.New(log), tracer: dispatch.Tracer{Log: log}, links: map[string]*link{}}
}

// SetTraceSuffixes limits the trace to the tags that end in one of the endings; none traces all.
func (n *Pool) SetTraceSuffixes(endings []string) { n.tracer.Suffixes = endings }

// SetKeepAlive makes the system's signs of life prove that a connection is alive, and has it ask for
// one after so long without. Between here and the workers nothing may answer in their place.
func (n *Pool) SetKeepAlive(after time.Duration) { n.keepAlive = after }

// ShareDescriptors makes the pool connect workers only as the budget allows.
func (n *Pool) ShareDescriptors(b *descriptors.Budget) { n.budget = b }

// SetDispatcher names the core that is told of outcomes.
func (n *Pool) SetDispatcher(c *dispatch.Dispatcher) {
	n.core = c
	n.l.After(sweepNodes, n.sweep)
}

// SetAssigned says at which workers this orchestrator places tasks: connections to these are kept, and to
// the others while tasks stand there. own must answer alike until the next call.
func (n *Pool) SetAssigned(own func(worker string) bool) {
	n.own = own
	for _, k := range n.sorted() {
		if k.own = n.owns(k.id); k.own {
			k.ensure()
		}
	}
}

func (n *Pool) owns(worker string) bool { return n.own == nil || n.own(worker) }

// sorted is all links by name. It stays as it is while links come and go.
func (n *Pool) sorted() []*link {
	if n.order == nil {
		n.order = slices.SortedFunc(maps.Values(n.links), func(a, b *link) int { return strings.Compare(a.id, b.id) })
	}
	return n.order
}

func (n *Pool) add(k *link) {
	n.links[k.id], n.order = k, nil
}

func (n *Pool) remove(k *link) {
	delete(n.links, k.id)
	n.order = nil
}

// sweep looks at each worker.
func (n *Pool) sweep() {
	for _, k := range n.sorted() {
		if k.own || len(k.conns) > 0 || len(k.unheard) > 0 {
			k.sweep(n.core.TasksOn(k.id), n.l.Now())
		}
	}
	for _, id := range n.core.WorkersWithTasks() { // others where tasks stand
		if k := n.links[id]; k != nil && !k.own && len(k.conns) == 0 {
			k.sweep(n.core.TasksOn(id), n.l.Now())
		}
	}
	n.l.After(sweepNodes, n.sweep)
}

// sweep opens another connection where the one there may be dead: tasks stand
// there and nothing came for long. Without offers nobody would notice, and ends of
// tasks would wait for ever. (A connection on which an offer was given up while
// nothing came in is closed at the give-up.)
func (k *link) sweep(held dispatch.TaskSummary, now int64) {
	if len(k.unheard) > 0 {
		maps.DeleteFunc(k.unheard, func(_ string, at int64) bool { return now-at > unheardFor })
	}
	k.takeStart()
	if held.Count == 0 {
		k.ensure() // where there was no room before
		k.part()
		return
	}
	k.require()
	if len(k.conns) == 0 || len(k.conns) >= maxStray {
		return
	}
	if nc := k.conns[len(k.conns)-1]; nc.c.IsUp() && nc.quiet(now) && k.n.budget.AdmitsWorker() {
		k.dial()
	}
	k.listen(held, now)
}

// later tells the core of an outcome in the next turn, not from within a call.
func (n *Pool) later(f func()) {
	n.pending = append(n.pending, f)
	n.l.RunAgain()
}

// held is an offer that waits on its connection until its client is heard.
type held struct {
	nc *workerConn
	s  *sent
}

// DeliverPending tells the core what was found while it was acting. It is called once what came in
// was read, and so the offers that waited for that leave first, and at once.
func (n *Pool) DeliverPending() {
	waiting := n.held
	n.held = nil
	for _, h := range waiting {
		if h.nc.open[h.s.RequestID] == h.s { // else it was withdrawn, or its connection broke
			h.nc.start(h.s)
			h.nc.c.Flush()
		}
	}
	for len(n.pending) > 0 {
		p := n.pending
		n.pending = nil
		for _, f := range p {
			f()
		}
	}
}

// OffersSent is how many offers have left whole.
func (n *Pool) OffersSent() int64 {
	t := n.tries
	for _, k := range n.links {
		for _, nc := range k.conns {
			for _, s := range nc.open {
				if s.left(nc.c) {
					t++
				}
			}
		}
	}
	return t
}

// UpdateWorker takes what the channel tells of a worker. A new address, or one that
// another worker had, gets connections of its own.
func (n *Pool) UpdateWorker(id, addr string, listed bool) {
	k := n.links[id]
	if k == nil {
		if !listed {
			return
		}
		k = &link{n: n, id: id, addr: addr, own: n.owns(id)}
		n.add(k)
	}
	if listed && addr != k.addr {
		k.addr = addr
		k.closeAll()
	}
	k.listed = listed
	if listed {
		k.ensure()
		return
	}
	k.redial.Stop()
	if len(k.conns) == 0 {
		n.remove(k)
		return
	}
	n.l.After(partAfter, func() {
		if n.links[id] == k && !k.listed {
			k.closeAll()
			n.remove(k)
		}
	})
}

// WorkerStarted takes when the process of a worker began, as the channel tells.
func (n *Pool) WorkerStarted(id string, at int64) {
	if k := n.links[id]; k != nil && at > k.startedAt {
		k.startedAt, k.restarted = at, true
		k.takeStart()
	}
}

// RemoveUnlisted forgets the workers that a whole list did not name.
func (n *Pool) RemoveUnlisted(named map[string]bool) {
	for _, k := range n.sorted() {
		if !named[k.id] {
			n.UpdateWorker(k.id, "", false)
		}
	}
}

// Offer implements core.Nodes.
func (n *Pool) Offer(node string, o dispatch.Offer) {
	now := n.l.Now()
	n.offer(node, &sent{Offer: o, at: now, until: now + o.TimeoutUs})
}

func (n *Pool) offer(node string, s *sent) {
	var nc *workerConn
	if k := n.links[node]; k != nil {
		nc = k.usable()
	}
	if nc == nil {
		n.later(func() {
			n.core.TaskEnded(n.l.Now(), node, s.RequestID, placement.ConnectFailed, placement.CauseUnknown)
		})
		return
	}
	s.tries++
	nc.open[s.RequestID] = s
	if nc.c.IsUp() {
		nc.start(s)
	}
}

// Probe implements core.Nodes.
func (n *Pool) Probe(node string) {
	k := n.links[node]
	var nc *workerConn
	if k != nil {
		nc = k.usable()
	}
	if nc == nil {
		n.later(func() {
			n.core.ProbeAnswered(n.l.Now(), placement.ProbeResult{Worker: node, Outcome: placement.ConnectFailed})
		})
		return
	}
	tag := strconv.FormatInt(n.l.Now(), 16)
	nc.probes[tag] = n.l.Now()
	nc.send(&jsonlines.Message{Verb: jsonlines.VerbEcho, Tag: tag, HasRC: true})
	n.l.After(n.dialUs, func() { nc.probed(tag, placement.TimedOut, "") })
}

// trace writes one step of a request at debug level.
func (n *Pool) trace(step, tag string, args ...any) { n.tracer.Step(step, tag, n.l.Now(), args...) }

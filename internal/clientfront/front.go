package clientfront

// This file owns the connections from owners: which set-ups came on which, what
// is still owed to each, how long one may keep a place without a use for it, and
// the releases that found no connection. What an owner may not send is turned
// away here and never passed on. It decides nothing about tasks, and must never
// close a connection that is owed an answer before that answer is written.

import (
	"log/slog"

	"ravenhitch/internal/descriptors"
	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/ratelog"
)

// Front serves owners.
type Front struct {
	l      *eventloop.Loop
	core   *dispatch.Dispatcher
	log    *ratelog.Logger
	tracer dispatch.Tracer
	most   int                 // connections
	budget *descriptors.Budget // nil where there are enough descriptors for all
	idleUs int64               // after which a connection without a set-up is closed
	conns  map[*clientConn]bool
	latest *clientConn // the one that spoke last, of those that a task was started for
	unsent []unsent    // releases that found no connection
	dials  uint64      // connections so far
}

const (
	// minIdle is how long a connection must have been quiet to be closed for
	// another: a set-up may be on its way on one that was just used. minHush is the
	// same for one that never had a task: whoever connects for one asks at once, and
	// what crosses the close within 50 ms is sent again.
	minIdle = 1_000_000
	minHush = 100_000
	// keptForEnds is how many connections that had tasks are not closed for room while one
	// that had none will make room soon: ends are told on them, also those whose own
	// connection is gone. A flood takes every place within minHush.
	keptForEnds = 8
	// maxHush is how long a connection may take for its first message, and for the
	// rest of a message that has begun: owners may take 2 s to write one, and who never
	// does is owed a close within 3 s.
	maxHush    = 2_400_000
	sweepEvery = 250_000
	// maxUnsent bounds the releases that wait for an owner to connect, and unsentHold how
	// long they wait for one that is known to be an owner while others are connected: half of
	// the second in which an owner is to be told.
	maxUnsent  = 10_000
	unsentHold = 500_000
	// A connection on which no task was bound yet may have maxOpen set-ups open,
	// more are refused at once, and maxFaults messages that can't be used. It guards
	// the turn of the usual owners, whose connections carry tasks that stand.
	maxOpen   = 32
	maxFaults = 64
	// maxLeft is what a longer wait, in milliseconds, is read as: it fits the core's
	// clock and is still no wait that the core takes.
	maxLeft = 1e12
)

// NewFront returns a front that holds at most so many connections, each for
// idleUs after its last message at the longest, 0 for ever.
func NewFront(l *eventloop.Loop, c *dispatch.Dispatcher, most int, idleUs int64, log *slog.Logger) *Front {
	return &Front{l: l, core: c, most: most, idleUs: idleUs, log: ratelog.New(log), tracer: dispatch.Tracer{Log: log},
		conns: map[*clientConn]bool{}}
}

// ShareDescriptors makes the front admit clients only as the budget allows.
func (f *Front) ShareDescriptors(b *descriptors.Budget) { f.budget = b }

// MaxConnections is how many connections the front holds at most.
func (f *Front) MaxConnections() int { return f.most }

// SetTraceSuffixes limits the trace to the tags that end in one of the endings; none traces all.
func (f *Front) SetTraceSuffixes(endings []string) { f.tracer.Suffixes = endings }

// Connections is how many owners are connected.
func (f *Front) Connections() int { return len(f.conns) }

// HasUndelivered reports whether an end now would lose something: part of a set-up is on its way, an
// answer waits for its owner to read, or a release for an owner to connect.
func (f *Front) HasUndelivered() bool {
	if len(f.unsent) > 0 {
		return true
	}
	for o := range f.conns {
		if o.halfAt > 0 || o.c.BytesBuffered() > 0 {
			return true
		}
	}
	return false
}

// Listen starts to accept owners at addr, or on the listening socket fd where that is
// not 0: it belongs to the platform, which keeps it from one process to the next.
func (f *Front) Listen(addr string, fd int) (string, error) {
	f.l.After(sweepEvery, f.sweep)
	accept := func() eventloop.Handler { return &clientConn{f: f, open: map[string]bool{}} }
	if fd > 0 {
		return f.l.ListenInherited(fd, f.room, accept)
	}
	return f.l.Listen(addr, f.room, accept)
}

// room makes room where the limit is reached, or no descriptor is left for clients: it closes a connection with nothing
// open on it, first of all one that never said anything, then one that never had a
// task, then one that had; of each the one quiet longest. Those of the first two sorts
// come by the hundred, and who waits for their places waits in the system's queue,
// where no answer reaches it.
func (f *Front) room() bool {
	if len(f.conns) < f.most && f.budget.AdmitsClient() {
		return true
	}
	var best *clientConn
	now, bound, soon := f.l.Now(), 0, false
	for o := range f.conns {
		if o.bound {
			bound++
		}
		if len(o.open) > 0 {
			continue
		}
		if now-o.usedAt < o.minRest() {
			soon = soon || !o.bound
			continue
		}
		if best == nil || o.use() < best.use() || o.use() == best.use() && o.usedAt < best.usedAt {
			best = o
		}
	}
	if best == nil || best.bound && soon && bound <= keptForEnds {
		f.log.Warn("client connection limit reached", "connections", len(f.conns))
		return false
	}
	best.end()
	return true
}

// sweep closes the connections that keep a place and have no use for it.
func (f *Front) sweep() {
	now := f.l.Now()
	for o := range f.conns {
		switch {
		case !o.spoke && now-o.usedAt > maxHush, o.halfAt > 0 && now-o.halfAt > maxHush:
			f.log.Warn("client message timed out", "spoke", o.spoke)
			o.end()
		case len(o.open) == 0 && f.idleUs > 0 && now-o.usedAt > f.idleUs:
			o.end()
		}
	}
	if len(f.unsent) > 0 && now-f.unsent[0].at > unsentHold {
		if o := f.any(usedToSpeak); o != nil {
			f.flush(o)
		}
	}
	f.l.After(sweepEvery, f.sweep)
}

func (f *Front) drop(o *clientConn) {
	delete(f.conns, o)
	if f.latest == o {
		f.latest = nil
	}
}

// any returns a connection that is up and was of use, at the least as given, or nil: the one
// used last of those that a task was started for, else of those that said where one runs,
// else of those that spoke. Releases go to ones that never had a task only where nobody
// better came: whoever connects may be anybody.
func (f *Front) any(least int) *clientConn {
	if f.latest != nil && f.latest.c.IsUp() {
		return f.latest
	}
	var best *clientConn
	for o := range f.conns {
		if o.c.IsUp() && o.use() >= least && (best == nil || o.use() > best.use() || o.use() == best.use() && o.usedAt > best.usedAt) {
			best = o
		}
	}
	return best
}

// unsent is a release that found no connection.
type unsent struct {
	at   int64
	text []byte
}

// flush sends an owner the releases that found no connection.
func (f *Front) flush(o *clientConn) {
	if !o.c.IsUp() {
		return
	}
	for _, u := range f.unsent {
		o.c.Write(u.text)
	}
	f.unsent = nil
}

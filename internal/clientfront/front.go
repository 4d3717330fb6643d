// Package clientfront serves clients on the JSON-lines protocol. It reads their submissions, cancels and
// releases, and writes the responses and completions that the dispatcher has for them. It decides nothing
// about tasks.
package clientfront

// This file owns the set of connections from clients, the socket that accepts them and the periodic sweep over
// them. It must never serve more than its maximum of connections.

import (
	"log/slog"

	"ravenhitch/internal/descriptors"
	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/ratelog"
)

// The units of the event loop's clock, which counts microseconds.
const (
	millisecond = 1_000
	second      = 1_000 * millisecond
)

// sweepInterval is the time between two sweeps over the connections and unreported completions.
const sweepInterval = 250 * millisecond

// Front serves clients. It belongs to the event loop.
type Front struct {
	loop          *eventloop.Loop
	dispatcher    *dispatch.Dispatcher
	log           *ratelog.Logger
	tracer        dispatch.Tracer
	maxConns      int
	budget        *descriptors.Budget // nil where there are enough descriptors for all
	idleTimeoutUs int64               // after which a connection without an open request is closed, 0 for never
	clients       map[*clientConn]bool
	latestStarted *clientConn // of the connections for which a task was started the last active one, nil for none
	unreported    []unreportedCompletion
	accepted      uint64 // connections so far
}

// NewFront returns a front that serves at most maxConns connections. It closes one without an open request
// idleTimeoutUs after its last message, or never where that is 0.
func NewFront(loop *eventloop.Loop, dispatcher *dispatch.Dispatcher, maxConns int, idleTimeoutUs int64,
	log *slog.Logger) *Front {
	return &Front{loop: loop, dispatcher: dispatcher, maxConns: maxConns, idleTimeoutUs: idleTimeoutUs,
		log: ratelog.New(log), tracer: dispatch.Tracer{Log: log}, clients: map[*clientConn]bool{}}
}

// ShareDescriptors makes the front admit clients only as the budget allows.
func (f *Front) ShareDescriptors(budget *descriptors.Budget) { f.budget = budget }

// MaxConnections is how many connections the front serves at most.
func (f *Front) MaxConnections() int { return f.maxConns }

// SetTraceSuffixes limits the trace to the request IDs that end in one of the suffixes; none traces all.
func (f *Front) SetTraceSuffixes(suffixes []string) { f.tracer.Suffixes = suffixes }

// Connections is how many clients are connected.
func (f *Front) Connections() int { return len(f.clients) }

// HasUndelivered reports whether an end now would lose something: a part of a message came, bytes wait
// for a client to read them, or a completion waits for a client to connect.
func (f *Front) HasUndelivered() bool {
	if len(f.unreported) > 0 {
		return true
	}
	for client := range f.clients {
		if client.partialSince > 0 || client.conn.BytesBuffered() > 0 {
			return true
		}
	}
	return false
}

// Listen starts to accept clients at addr, or on the listening socket fd where that is not 0: such a
// socket belongs to the platform, which passes it on from one process to the next. It returns the address.
func (f *Front) Listen(addr string, fd int) (string, error) {
	f.loop.After(sweepInterval, f.sweep)
	accept := func() eventloop.Handler { return &clientConn{front: f, openRequests: map[string]bool{}} }
	if fd > 0 {
		return f.loop.ListenInherited(fd, admission{f}, accept)
	}
	return f.loop.Listen(addr, admission{f}, accept)
}

// sweep closes the connections that timed out, and reports completions that have waited long enough. It
// runs as long as the loop does.
func (f *Front) sweep() {
	now := f.loop.Now()
	f.closeTimedOut(now)
	f.reportOverdue(now)
	f.loop.After(sweepInterval, f.sweep)
}

// add registers a connection that was accepted, and numbers it.
func (f *Front) add(client *clientConn) {
	f.clients[client] = true
	f.accepted++
	client.number = f.accepted
}

// remove forgets a connection that is closed.
func (f *Front) remove(client *clientConn) {
	delete(f.clients, client)
	if f.latestStarted == client {
		f.latestStarted = nil
	}
}

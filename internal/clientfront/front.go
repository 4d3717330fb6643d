// Package clientfront serves clients over the JSON-lines protocol. It reads their submissions, cancels and
// releases, and writes the dispatcher's responses and completions to them. It makes no decisions about tasks.
package clientfront

// This file owns the set of client connections, the socket that accepts them and the periodic sweep over them. It
// must never serve more than the configured maximum number of connections.

import (
	"log/slog"

	"ravenhitch/internal/descriptors"
	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/ratelog"
)

// Units of time on the event loop's clock, which counts microseconds.
const (
	millisecond = 1_000
	second      = 1_000 * millisecond
)

// sweepInterval is the time between two sweeps over the connections and unreported completions.
const sweepInterval = 250 * millisecond

// Front serves the clients of an orchestrator. It belongs to the event loop: while the loop runs, only code on the
// loop may use the front.
type Front struct {
	loop          *eventloop.Loop
	dispatcher    *dispatch.Dispatcher
	log           *ratelog.Logger
	tracer        dispatch.Tracer
	maxConns      int
	budget        *descriptors.Budget // nil if there are enough descriptors for all connections
	idleTimeoutUs int64               // maximum idle time of a connection without open requests, 0 for no limit
	clients       map[*clientConn]bool
	latestStarted *clientConn // most recently active connection with a started task, or nil if there is none
	unreported    []unreportedCompletion
	accepted      uint64 // number of connections accepted so far
}

// NewFront returns a front that serves at most maxConns connections. The front closes a connection without open
// requests idleTimeoutUs microseconds after its last message, or never if idleTimeoutUs is 0.
func NewFront(loop *eventloop.Loop, dispatcher *dispatch.Dispatcher, maxConns int, idleTimeoutUs int64,
	log *slog.Logger) *Front {
	return &Front{loop: loop, dispatcher: dispatcher, maxConns: maxConns, idleTimeoutUs: idleTimeoutUs,
		log: ratelog.New(log), tracer: dispatch.Tracer{Log: log}, clients: map[*clientConn]bool{}}
}

// ShareDescriptors makes the front admit clients only while the descriptor budget allows it.
func (f *Front) ShareDescriptors(budget *descriptors.Budget) { f.budget = budget }

// MaxConnections returns the maximum number of connections that the front serves.
func (f *Front) MaxConnections() int { return f.maxConns }

// SetTraceSuffixes limits the trace to request IDs that end in one of the suffixes. If there are no suffixes, all
// request IDs are traced.
func (f *Front) SetTraceSuffixes(suffixes []string) { f.tracer.Suffixes = suffixes }

// Connections returns the number of connected clients.
func (f *Front) Connections() int { return len(f.clients) }

// HasUndelivered reports whether the front would lose data if the process ended now: an incomplete message was
// received, output waits for a client to read it, or a completion waits for a client to connect.
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

// Listen starts to accept clients and returns the address that it listens on. It listens at addr, or on the
// inherited listening socket fd if fd is above 0. An inherited socket belongs to the platform, which passes the
// socket on from one process to the next.
func (f *Front) Listen(addr string, fd int) (string, error) {
	f.loop.After(sweepInterval, f.sweep)
	accept := func() eventloop.Handler { return &clientConn{front: f, openRequests: map[string]bool{}} }
	if fd > 0 {
		return f.loop.ListenInherited(fd, admission{f}, accept)
	}
	return f.loop.Listen(addr, admission{f}, accept)
}

// sweep closes the connections that have timed out and reports the completions that have waited long enough. It runs
// every sweepInterval for as long as the event loop runs.
func (f *Front) sweep() {
	now := f.loop.Now()
	f.closeTimedOut(now)
	f.reportOverdue(now)
	f.loop.After(sweepInterval, f.sweep)
}

// add registers an accepted connection and assigns its number.
func (f *Front) add(client *clientConn) {
	f.clients[client] = true
	f.accepted++
	client.number = f.accepted
}

// remove removes a closed connection from the front.
func (f *Front) remove(client *clientConn) {
	delete(f.clients, client)
	if f.latestStarted == client {
		f.latestStarted = nil
	}
}

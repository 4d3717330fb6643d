// Package clientfront serves clients over the JSON-lines protocol. It reads the messages in which clients submit or
// cancel a request or release a task, and writes the dispatcher's responses and completions to the clients. It makes
// no decisions about tasks.
package clientfront

// This file owns the set of client connections, the start of listening for them and the periodic sweep over them. The
// front must never serve more than the configured maximum number of connections.

import (
	"log/slog"
	"time"

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

const (
	// sweepInterval is the time between two sweeps over the connections and unreported completions, in microseconds.
	sweepInterval = 250 * millisecond
	// closeRetryTime is the time, in microseconds, for which CloseClients repeats reads and writes that fail for lack of
	// buffers, every closeRetryInterval.
	closeRetryTime     = 60 * millisecond
	closeRetryInterval = 5 * time.Millisecond
)

// Front serves the clients of an orchestrator. It belongs to the event loop: while the loop runs, only the goroutine
// of the loop may use the front.
type Front struct {
	loop          *eventloop.Loop
	dispatcher    *dispatch.Dispatcher
	log           *ratelog.Logger
	tracer        dispatch.Tracer
	maxConns      int
	budget        *descriptors.Budget // nil if ShareDescriptors was not called
	idleTimeoutUs int64               // maximum idle time of a connection without open requests and tasks, 0 for no limit
	clients       map[*clientConn]bool
	// latestStarted is the most recently active connection on which a task was started. It is nil before the first
	// task is started. When the connection is closed, latestStarted becomes nil until another connection on which a
	// task was started becomes active.
	latestStarted *clientConn
	tasks         taskRecord
	unreported    []completion
	// unconfirmed holds the completions that were sent and that no client has confirmed, by request ID.
	unconfirmed      map[string]sentCompletion
	completionCounts CompletionCounts
	connectionCounts ConnectionCounts
	accepted         uint64 // number of connections accepted so far
}

// NewFront returns a front that serves at most maxConns connections. The front closes a connection that has neither an open
// request nor a running task and has received no message for more than idleTimeoutUs microseconds. If idleTimeoutUs is 0,
// there is no idle timeout.
func NewFront(loop *eventloop.Loop, dispatcher *dispatch.Dispatcher, maxConns int, idleTimeoutUs int64,
	log *slog.Logger) *Front {
	return &Front{loop: loop, dispatcher: dispatcher, maxConns: maxConns, idleTimeoutUs: idleTimeoutUs,
		log: ratelog.New(log), tracer: dispatch.Tracer{Log: log}, clients: map[*clientConn]bool{}, tasks: taskRecord{},
		unconfirmed: map[string]sentCompletion{}}
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

// CloseClients closes all connections when the program ends. Immediately before it closes a connection, it reads what the
// client has sent meanwhile and responds to it: the client has handed over a request once it has written it. If input were
// left, the kernel would also reset the connection, and the client could lose responses that it has not read yet. While the
// system is out of buffers, CloseClients blocks for up to closeRetryTime. The event loop must have ended.
func (f *Front) CloseClients() {
	for end := f.loop.Clock() + closeRetryTime; f.respondToAll() && f.loop.Clock() < end; {
		time.Sleep(closeRetryInterval)
	}
	for client := range f.clients {
		client.conn.ReadAll()
		client.rejectOpen()
		client.conn.Close()
	}
}

// respondToAll responds to what all clients have sent. It reports whether that has failed for lack of buffers.
func (f *Front) respondToAll() (lacksBuffers bool) {
	for client := range f.clients {
		client.conn.ReadAll()
		client.rejectOpen()
		client.conn.Flush()
		lacksBuffers = lacksBuffers || client.conn.LacksResource()
	}
	return lacksBuffers
}

// Listen starts to accept clients and returns the address that it listens on. It listens at addr, or on the
// inherited listening socket fd if fd is above 0. An inherited socket belongs to the platform that starts the
// orchestrator. The platform passes the socket on from one process to the next. For an inherited socket whose address
// is not an IPv4 address, Listen returns "".
func (f *Front) Listen(addr string, fd int) (address string, err error) {
	accept := func() eventloop.Handler { return &clientConn{front: f, openRequests: map[string]bool{}} }
	if fd > 0 {
		address, err = f.loop.ListenInherited(fd, admission{f}, accept)
	} else {
		address, err = f.loop.Listen(addr, admission{f}, accept)
	}
	if err == nil {
		f.loop.After(sweepInterval, f.sweep)
	}
	return address, err
}

// sweep closes the connections that have timed out, and reports the unreported completions once the oldest of them is
// overdue. It runs every sweepInterval for as long as the event loop runs.
func (f *Front) sweep() {
	now := f.loop.Now()
	f.closeTimedOut(now)
	f.reportOverdue(now)
	f.sweepUnconfirmed(now)
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

package admin

// This file owns the connections of operators: one call of one line each, one reply, then
// the close. It must never delay a request of a client, nor let connections that send
// nothing take the place of one that sends a call.

import (
	"bytes"
	"fmt"
	"log/slog"
	"slices"

	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/ratelog"
)

const (
	second = 1_000_000 // microseconds

	// maxConnections is how many connections are open at a time. For a further one, the
	// oldest one without a whole call is closed.
	maxConnections = 24
	// callTimeoutUs is how long a connection may take to send its call.
	callTimeoutUs = 10 * second
)

// Handler carries out a call of an operator. It is called on the event loop, once for each
// valid call. It calls reply once, on the loop, at once or later.
type Handler func(call Call, reply func([]byte))

// Listener accepts connections of operators.
type Listener struct {
	loop    *eventloop.Loop
	log     *ratelog.Logger
	handler Handler
	open    []*connection // oldest first
}

// NewListener returns a listener that hands calls to handler.
func NewListener(loop *eventloop.Loop, log *slog.Logger, handler Handler) *Listener {
	return &Listener{loop: loop, log: ratelog.New(log), handler: handler}
}

// Listen starts to accept connections, and returns the address in use. The loop closes
// the socket when it ends.
func (l *Listener) Listen(addr string) (string, error) {
	accept := func() eventloop.Handler { return &connection{listener: l} }
	return l.loop.Listen(addr, admission{l}, accept)
}

// admission admits connections to a listener.
type admission struct{ listener *Listener }

// HasCapacity implements eventloop.Admission.
func (a admission) HasCapacity() bool { return len(a.listener.open) < maxConnections }

// MakeCapacity implements eventloop.Admission: it closes the oldest connection without a call.
func (a admission) MakeCapacity() bool {
	for _, c := range a.listener.open {
		if !c.called {
			c.close()
			return true
		}
	}
	return false
}

// connection is one connection of an operator. It implements eventloop.Handler.
type connection struct {
	listener *Listener
	conn     *eventloop.Conn
	called   bool // its whole call has come
	timer    *eventloop.Timer
}

// Opened implements eventloop.Handler.
func (c *connection) Opened(conn *eventloop.Conn) {
	c.conn = conn
	c.listener.open = append(c.listener.open, c)
	c.timer = c.listener.loop.After(callTimeoutUs, c.close)
}

// Closed implements eventloop.Handler.
func (c *connection) Closed(*eventloop.Conn, error) { c.remove() }

// Data implements eventloop.Handler.
func (c *connection) Data(_ *eventloop.Conn, data []byte) (used int, err error) {
	if c.called {
		return len(data), nil // one call a connection
	}
	end := bytes.IndexByte(data, '\n')
	if end < 0 && len(data) <= MaxCallLength {
		return 0, nil
	}
	c.called = true
	if end < 0 || end >= MaxCallLength {
		c.reply(ErrorReply(fmt.Sprintf("expected a call of at most %d bytes", MaxCallLength)))
		return len(data), nil
	}
	c.handle(string(data[:end]))
	return len(data), nil
}

// handle hands a call to the handler, or replies that it is malformed.
func (c *connection) handle(line string) {
	call, err := ParseCall(line)
	if err != nil {
		c.listener.log.Warn("malformed admin call", "err", err)
		c.reply(ErrorReply(err.Error()))
		return
	}
	c.listener.handler(call, c.reply)
}

// reply answers the one call that a connection may send, so it closes the connection too.
func (c *connection) reply(b []byte) {
	c.conn.Write(b)
	c.close()
}

// close ends the connection from this side. The event loop does not call Closed then, so the
// connection is removed here.
func (c *connection) close() {
	c.remove()
	c.conn.Close()
}

// remove stops the timer, and makes place for another connection.
func (c *connection) remove() {
	c.timer.Stop()
	if i := slices.Index(c.listener.open, c); i >= 0 {
		c.listener.open = slices.Delete(c.listener.open, i, i+1)
	}
}

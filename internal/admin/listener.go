package admin

// This file owns the connections of operators. A connection carries one call of one line and its
// reply, and is then closed. The listener must never delay a client's request. Connections that send
// nothing must never cause the listener to refuse a connection that sends a call.

import (
	"bytes"
	"fmt"
	"log/slog"
	"slices"

	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/ratelog"
)

const (
	second = 1_000_000 // in microseconds

	// maxConnections is the maximum number of open connections. To accept a further
	// connection, the listener closes the oldest connection without a complete call.
	maxConnections = 24
	// callTimeoutUs is the maximum time, in microseconds, for which a connection stays open. It
	// bounds the time until the call is complete and its reply is written.
	callTimeoutUs = 10 * second
)

// Handler carries out an admin call. It is called on the event loop, once for each valid call. It
// must call reply once, on the event loop, immediately or later.
type Handler func(call Call, reply func([]byte))

// Listener accepts connections of operators and passes their calls to a Handler.
type Listener struct {
	loop    *eventloop.Loop
	log     *ratelog.Logger
	handler Handler
	open    []*connection // open connections, oldest first
}

// NewListener returns a listener that passes calls to handler.
func NewListener(loop *eventloop.Loop, log *slog.Logger, handler Handler) *Listener {
	return &Listener{loop: loop, log: ratelog.New(log), handler: handler}
}

// Listen starts to accept connections at addr and returns the address that the socket listens on. The
// event loop closes the socket when the loop is closed.
func (l *Listener) Listen(addr string) (string, error) {
	accept := func() eventloop.Handler { return &connection{listener: l} }
	return l.loop.Listen(addr, admission{l}, accept)
}

// admission limits the number of open connections of a listener.
type admission struct{ listener *Listener }

// HasCapacity implements eventloop.Admission.
func (a admission) HasCapacity() bool { return len(a.listener.open) < maxConnections }

// MakeCapacity implements eventloop.Admission. It closes the oldest connection without a complete call
// and reports whether there was one.
func (a admission) MakeCapacity() bool {
	for _, c := range a.listener.open {
		if !c.hasCall {
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
	hasCall  bool // true once the call is complete or exceeds MaxCallLength
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
	if c.hasCall {
		return len(data), nil // a connection carries only one call
	}
	end := bytes.IndexByte(data, '\n')
	if end < 0 && len(data) <= MaxCallLength {
		return 0, nil
	}
	c.hasCall = true
	if end < 0 || end >= MaxCallLength {
		c.reply(ErrorReply(fmt.Sprintf("expected a call of at most %d bytes", MaxCallLength)))
		return len(data), nil
	}
	c.handle(string(data[:end]))
	return len(data), nil
}

// handle passes a call to the handler, or replies with an error if the call is malformed.
func (c *connection) handle(line string) {
	call, err := ParseCall(line)
	if err != nil {
		c.listener.log.Warn("malformed admin call", "err", err)
		c.reply(ErrorReply(err.Error()))
		return
	}
	c.listener.handler(call, c.reply)
}

// reply sends the reply to the connection's only call, and closes the connection.
func (c *connection) reply(b []byte) {
	c.conn.Write(b)
	c.close()
}

// close closes the connection from this side. The event loop does not call Closed in this case, so
// close also removes the connection from the listener.
func (c *connection) close() {
	c.remove()
	c.conn.Close()
}

// remove stops the timer and removes the connection from the listener's open connections.
func (c *connection) remove() {
	c.timer.Stop()
	if i := slices.Index(c.listener.open, c); i >= 0 {
		c.listener.open = slices.Delete(c.listener.open, i, i+1)
	}
}

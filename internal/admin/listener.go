package admin

// This file owns the connections of operators: one call of one line each, one answer, and
// the close. It must never hold a request of an owner back, nor let operators' connections
// that send nothing take the place of one that does.

import (
	"bytes"
	"fmt"
	"log/slog"
	"slices"

	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/ratelog"
)

const (
	// maxAdminConns is how many connections are open at a time; the oldest one that has not
	// sent its whole call makes room.
	maxAdminConns = 24
	// adminCallTimeout is how long a connection may take for its call.
	adminCallTimeout = 10_000_000
)

// Handler carries out a call of an operator. It is called on the loop, once for each
// whole call, and may answer later, but on the loop.
type Handler func(call Call, answer func([]byte))

// Listener takes operators' calls.
type Listener struct {
	l      *eventloop.Loop
	log    *ratelog.Logger
	handle Handler
	open   []*adminConn // oldest first
}

// NewListener returns a listener that hands calls to handle.
func NewListener(l *eventloop.Loop, log *slog.Logger, handle Handler) *Listener {
	return &Listener{l: l, log: ratelog.New(log), handle: handle}
}

// Listen starts to take calls, and returns the address in use.
func (a *Listener) Listen(addr string) (string, error) {
	return a.l.Listen(addr, a.room, func() eventloop.Handler { return &adminConn{listener: a} })
}

// room reports whether another connection can be taken, and ends one for it where need be.
func (a *Listener) room() bool {
	if len(a.open) < maxAdminConns {
		return true
	}
	for _, c := range a.open {
		if !c.called {
			c.close()
			return true
		}
	}
	return false
}

// adminConn is one connection of an operator.
type adminConn struct {
	listener *Listener
	conn     *eventloop.Conn
	called   bool // its whole call has come
	timer    *eventloop.Timer
}

// Opened implements loop.Handler.
func (c *adminConn) Opened(conn *eventloop.Conn) {
	c.conn = conn
	c.listener.open = append(c.listener.open, c)
	c.timer = c.listener.l.After(adminCallTimeout, c.close)
}

// Closed implements loop.Handler.
func (c *adminConn) Closed(*eventloop.Conn, error) { c.forget() }

// forget takes the connection off the list of those that are open.
func (c *adminConn) forget() {
	c.timer.Stop()
	if i := slices.Index(c.listener.open, c); i >= 0 {
		c.listener.open = slices.Delete(c.listener.open, i, i+1)
	}
}

func (c *adminConn) close() {
	c.forget()
	c.conn.Close()
}

func (c *adminConn) answer(b []byte) {
	c.conn.Write(b)
	c.close()
}

// Data implements loop.Handler.
func (c *adminConn) Data(_ *eventloop.Conn, b []byte) (int, error) {
	if c.called {
		return len(b), nil // one call a connection
	}
	end := bytes.IndexByte(b, '\n')
	if end < 0 && len(b) <= MaxCallLength {
		return 0, nil
	}
	c.called = true
	if end < 0 || end >= MaxCallLength {
		c.answer(ErrorReply(fmt.Sprintf("expected a call of at most %d bytes", MaxCallLength)))
		return len(b), nil
	}
	call, err := ParseCall(string(b[:end]))
	if err != nil {
		c.listener.log.Warn("malformed admin call", "err", err)
		c.answer(ErrorReply(err.Error()))
		return len(b), nil
	}
	c.listener.handle(call, c.answer)
	return len(b), nil
}

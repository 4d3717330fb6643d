package platform

// This file owns the connections of operators' staff: one line each, one answer, and
// the close. It must never hold a request back, nor let callers that say nothing keep
// the place of one that does.

import (
	"bytes"
	"fmt"
	"log/slog"

	"ravenhitch/internal/loop"
	"ravenhitch/internal/manage"
)

const (
	// deskMost is how many callers are held at a time; the one that came first and
	// has not finished its call makes room.
	deskMost = 24
	// deskHush is how long a caller may take for its line.
	deskHush = 10_000_000
)

// Desk answers operators' calls. Ask is called once for each whole call and may answer
// later, but from the loop.
type Desk struct {
	l    *loop.Loop
	log  *Limited
	ask  func(c manage.Call, answer func([]byte))
	open []*caller // in order of coming
}

// NewDesk returns a desk that hands calls to ask.
func NewDesk(l *loop.Loop, log *slog.Logger, ask func(manage.Call, func([]byte))) *Desk {
	return &Desk{l: l, log: NewLimited(log), ask: ask}
}

// Listen starts to take calls.
func (d *Desk) Listen(addr string) (string, error) {
	return d.l.Listen(addr, d.room, func() loop.Handler { return &caller{d: d} })
}

func (d *Desk) room() bool {
	if len(d.open) < deskMost {
		return true
	}
	for _, c := range d.open {
		if !c.asked {
			c.end()
			return true
		}
	}
	return false
}

// caller is one connection.
type caller struct {
	d     *Desk
	c     *loop.Conn
	asked bool
	hush  *loop.Timer
}

// Opened implements loop.Handler.
func (c *caller) Opened(conn *loop.Conn) {
	c.c = conn
	c.d.open = append(c.d.open, c)
	c.hush = c.d.l.After(deskHush, c.end)
}

// Closed implements loop.Handler.
func (c *caller) Closed(*loop.Conn, error) { c.leave() }

func (c *caller) leave() {
	c.hush.Stop()
	for i, o := range c.d.open {
		if o == c {
			c.d.open = append(c.d.open[:i], c.d.open[i+1:]...)
			return
		}
	}
}

func (c *caller) end() {
	c.leave()
	c.c.Close()
}

func (c *caller) answer(b []byte) {
	c.c.Write(b)
	c.end()
}

// Data implements loop.Handler.
func (c *caller) Data(_ *loop.Conn, b []byte) (int, error) {
	if c.asked {
		return len(b), nil // one call a connection
	}
	i := bytes.IndexByte(b, '\n')
	if i < 0 && len(b) <= manage.CallMost {
		return 0, nil
	}
	c.asked = true
	if i < 0 || i >= manage.CallMost {
		c.answer(manage.No(fmt.Sprintf("expected a call of at most %d bytes", manage.CallMost)))
		return len(b), nil
	}
	call, err := manage.ParseCall(string(b[:i]))
	if err != nil {
		c.d.log.Warn("a call of operators' staff can't be used", "err", err)
		c.answer(manage.No(err.Error()))
		return len(b), nil
	}
	c.d.ask(call, c.answer)
	return len(b), nil
}

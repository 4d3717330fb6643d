package peer

// This file owns the connections that others begin: a greeting each, and the records that
// follow some. It must never take a record from one that the table does not know by that
// name and life.

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"ravenhitch/internal/loop"
	"ravenhitch/internal/peer/peerpb"
)

// guest is a connection that another one began.
type guest struct {
	p     *Peers
	timer *loop.Timer
	c     *loop.Conn
	from  string
	kind  Kind // of the records that come; 0 before the greeting, and where none do
}

// Opened implements loop.Handler.
func (g *guest) Opened(c *loop.Conn) {
	g.c = c
	g.p.guests++
	g.timer = g.p.l.After(guestFor, func() {
		g.leave()
		c.Close()
	})
}

// leave gives its place back.
func (g *guest) leave() {
	if g.kind == 0 {
		g.timer.Stop()
		g.p.guests--
	} else if l := (lane{g.from, g.kind}); g.p.carriers[l] == g {
		delete(g.p.carriers, l)
	}
}

// carry makes it the one connection of its lane: whoever opened an earlier one has given
// that up. It holds no guest's place any more, so that many lanes keep nobody from the door.
func (g *guest) carry(from string, k Kind) {
	g.leave()
	g.from, g.kind = from, k
	if old := g.p.carriers[lane{from, k}]; old != nil {
		old.c.Close()
	}
	g.p.carriers[lane{from, k}] = g
}

// Closed implements loop.Handler.
func (g *guest) Closed(*loop.Conn, error) { g.leave() }

// Data implements loop.Handler.
func (g *guest) Data(c *loop.Conn, b []byte) (int, error) {
	used := 0
	for {
		m, n, err := unframe(b[used:], g.most())
		if err == nil && n > 0 {
			err = g.message(c, m)
		}
		if err != nil {
			g.p.counts.Refused++
			g.p.warn.Warn("a peer is cut off", "err", err)
			return 0, err
		}
		if used += n; n == 0 {
			return used, nil
		}
	}
}

func (g *guest) most() uint64 {
	if g.kind > 0 {
		return recordMost + 64
	}
	return frameMost
}

func (g *guest) message(c *loop.Conn, m []byte) error {
	if g.kind > 0 {
		var r peerpb.Record
		if err := proto.Unmarshal(m, &r); err != nil {
			return fmt.Errorf("%w: a record of %s: %w", ErrForm, g.from, err)
		}
		g.p.counts.RecordsTaken++
		if take := g.p.takes[g.kind]; take != nil {
			take(g.from, r.GetData())
		}
		return nil
	}
	h, _, err := Greet(g.p.s.Cluster, m)
	if err != nil {
		return err
	}
	if h.GetKind() > 0 {
		if _, life, ok := g.p.table.Lives(h.GetName()); !ok || life != h.GetLife() {
			return fmt.Errorf("%w: no member %s of that life is known here", ErrForm, h.GetName())
		}
		if waits[Kind(h.GetKind())] == 0 {
			return fmt.Errorf("%w: %s sends records of kind %d", ErrVersion, h.GetName(), h.GetKind())
		}
		g.carry(h.GetName(), Kind(h.GetKind()))
	}
	c.Write(g.p.hello(0))
	return nil
}

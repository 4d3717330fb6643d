package workerpool

// This file owns the connections that are opened only to hear of ends. A worker tells
// the end of a task on the connection of its set-up while it believes in that, and on
// the next one opened. Where such a connection was closed here, or died, and the worker
// does not know, the end comes only on one that is opened after it. Where the worker hears
// of a close, that holds for the ends that crossed it, and one more connection is enough. It carries no
// offer, so that its own end loses nothing, and must never take one.

import (
	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
)

const (
	// lateEndsEvery is how often such a connection is opened: an end not told for 8 s is lost.
	lateEndsEvery = maxQuiet
	// lateEndsLife is how long one is kept for what the worker has to say.
	lateEndsLife = 500_000
	// lateEndsRoom is how many descriptors must be free: offers and clients come first.
	lateEndsRoom = 32
)

type lateEnds struct{ workerConn }

// listen opens such a connection where tasks stand whose set-up came by a connection that is
// gone, unless another connection was opened in time.
func (k *link) listen(held dispatch.TaskSummary, now int64) {
	unknown, crossed := held.OldestSentAt < k.goneAt, held.OldestSentAt < k.prunedAt && k.openedAt <= k.prunedAt
	if held.Count == 0 || !unknown && !crossed || now-max(k.openedAt, k.prunedAt) < lateEndsEvery || k.n.l.FreeDescriptors() < lateEndsRoom {
		return
	}
	if n := len(k.conns); n == 0 || !k.conns[n-1].c.IsUp() {
		return // the next one that comes up is such a connection
	}
	k.openedAt = now // also where it fails: not in every sweep
	e := &lateEnds{workerConn{k: k, probes: map[string]int64{}}}
	if c, err := k.n.l.Dial(k.addr, k.n.dialUs, e); err == nil {
		e.c = c
	}
}

// Opened implements loop.Handler.
func (e *lateEnds) Opened(c *eventloop.Conn) { e.k.n.l.After(lateEndsLife, c.Close) }

// Data implements loop.Handler. Half a message is not waited for: it ends soon, and
// that it does says nothing of the worker.
func (e *lateEnds) Data(c *eventloop.Conn, b []byte) (int, error) {
	used, err := e.workerConn.Data(c, b)
	e.half.Stop()
	return used, err
}

// Closed implements loop.Handler. That it did not come up says nothing: offers tell.
func (e *lateEnds) Closed(*eventloop.Conn, error) {}

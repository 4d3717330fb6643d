package platform

// This file owns how descriptors are shared between clients and workers where both could
// use more than there are. Each side may borrow what the other does not use, and leaves free
// what the other is sure of; the command channel always finds one. Where a worker without
// a connection is wanted, one that is idle makes room. It must never close a connection
// that anything waits on.

import (
	"cmp"
	"slices"

	"ravenhitch/internal/loop"
)

const (
	// keptFree descriptors are left by clients and workers for the command channel, for
	// operators' calls, and for what is accepted before what made room for it is closed.
	keptFree = 4
	// ownUse is what the program holds for itself beside keptFree: where clients come in, and
	// the channel's connection.
	ownUse = 2
	// sureForClients is the share of the budget, one in so many, up to which workers leave
	// room for clients: clients hold at most a third of the limit.
	sureForClients = 3
	// leftForClients is the share, one in so many, that is left even by connections to workers
	// where tasks stand, or for which an offer waits.
	leftForClients = 8
	// idleAgain is how soon idle workers are looked for again where there were none.
	idleAgain = 100_000
)

// sharing is what clients and workers know of each other's descriptors.
type sharing struct {
	l       *loop.Loop
	budget  int
	most    int // clients' connections at most
	clients func() int
	workers int           // connections to workers
	idle    []*workerConn // to workers, that may be closed for another
	idleAt  int64         // when those were last gathered
	none    bool          // there were none
}

// connected counts connections to workers that were opened, or that ended.
func (s *sharing) connected(count int) {
	if s != nil {
		s.workers += count
	}
}

// clientsRoom reports whether another client may be let in beside those that are there.
func (s *sharing) clientsRoom() bool {
	if s == nil {
		return true
	}
	sure := s.budget - s.most - keptFree - ownUse
	return s.l.Free() > keptFree+max(0, sure-s.workers)
}

// workersRoom reports whether another worker may be connected beside those that are.
func (s *sharing) workersRoom() bool {
	if s == nil {
		return true
	}
	return s.l.Free() > keptFree+max(0, s.budget/sureForClients-s.clients())
}

// neededRoom reports whether another worker may be connected that can't be done without.
func (s *sharing) neededRoom() bool {
	return s.l.Free() > keptFree+max(0, s.budget/leftForClients-s.clients())
}

// Share makes clients and workers share the descriptors of the loop's budget.
func Share(f *Front, n *Nodes, budget int) {
	s := &sharing{l: f.l, budget: budget, most: f.most, clients: f.Connections}
	f.sharing, n.sharing = s, s
}

// makeRoom finds room for a connection to a worker that is wanted now: what is free, what an
// idle worker has, or at last what clients do not use.
func (n *Nodes) makeRoom() bool {
	s := n.sharing
	if s.workersRoom() || s.closeIdle() {
		return true
	}
	if now := n.l.Now(); now != s.idleAt && !(s.none && now-s.idleAt < idleAgain) {
		n.gatherIdle()
		if s.closeIdle() {
			return true
		}
	}
	return s.neededRoom()
}

// closeIdle closes the connection unused longest of those that are still idle.
func (s *sharing) closeIdle() bool {
	for len(s.idle) > 0 {
		nc := s.idle[0]
		s.idle = s.idle[1:]
		if nc.isIdle() && nc.usedAt <= s.idleAt {
			nc.end(nil)
			return true
		}
	}
	return false
}

// gatherIdle notes the connections to workers that nothing waits on and where no task
// stands, the one unused longest first.
func (n *Nodes) gatherIdle() {
	s := n.sharing
	s.idle, s.idleAt = s.idle[:0], n.l.Now()
	for id, k := range n.links {
		if len(k.conns) == 1 && !n.core.Holds(id) && k.conns[0].isIdle() {
			s.idle = append(s.idle, k.conns[0])
		}
	}
	s.none = len(s.idle) == 0
	slices.SortFunc(s.idle, func(a, b *workerConn) int {
		return cmp.Or(cmp.Compare(a.usedAt, b.usedAt), cmp.Compare(a.k.id, b.k.id))
	})
}

// isIdle reports whether nothing is open on the connection, nor waits for an answer.
func (nc *workerConn) isIdle() bool {
	return nc.c.Up() && len(nc.open) == 0 && len(nc.probes) == 0 && !nc.ends.any() && len(nc.k.unheard) == 0 && len(nc.k.fading) == 0
}

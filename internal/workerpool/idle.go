package workerpool

// This file owns which connections to workers are idle, and closes one where a worker without a
// connection is wanted and no descriptor is left for it. It must never close a connection that
// anything waits on.

import (
	"cmp"
	"slices"
)

// minIdleScan is how soon idle connections are looked for again where there were none.
const minIdleScan = 100_000

// idleConns are the connections that may be closed for another, as of the last scan.
type idleConns struct {
	conns     []*workerConn // the one unused longest first
	scannedAt int64
	none      bool // the last scan found none
}

// makeRoom finds a descriptor for a connection to a worker that is wanted now: a free one, that of an
// idle connection, or at last one that clients do not use.
func (n *Pool) makeRoom() bool {
	if n.budget.AdmitsWorker() || n.closeIdle() {
		return true
	}
	if now := n.l.Now(); now != n.idle.scannedAt && !(n.idle.none && now-n.idle.scannedAt < minIdleScan) {
		n.scanIdle()
		if n.closeIdle() {
			return true
		}
	}
	return n.budget.AdmitsRequiredWorker()
}

// closeIdle closes the connection unused longest of those that are still idle.
func (n *Pool) closeIdle() bool {
	for len(n.idle.conns) > 0 {
		nc := n.idle.conns[0]
		n.idle.conns = n.idle.conns[1:]
		if nc.isIdle() && nc.usedAt <= n.idle.scannedAt {
			nc.end(nil)
			return true
		}
	}
	return false
}

// scanIdle notes the connections to workers that nothing waits on and where no task runs.
func (n *Pool) scanIdle() {
	n.idle.conns, n.idle.scannedAt = n.idle.conns[:0], n.l.Now()
	for id, k := range n.links {
		if len(k.conns) == 1 && !n.core.HasTasksOn(id) && k.conns[0].isIdle() {
			n.idle.conns = append(n.idle.conns, k.conns[0])
		}
	}
	n.idle.none = len(n.idle.conns) == 0
	slices.SortFunc(n.idle.conns, func(a, b *workerConn) int {
		return cmp.Or(cmp.Compare(a.usedAt, b.usedAt), cmp.Compare(a.k.id, b.k.id))
	})
}

// isIdle reports whether nothing is open on the connection, nor waits for an answer.
func (nc *workerConn) isIdle() bool {
	return nc.c.IsUp() && len(nc.open) == 0 && len(nc.probes) == 0 && !nc.ends.any() && len(nc.k.unheard) == 0 && len(nc.k.fading) == 0
}

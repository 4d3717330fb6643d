package workerpool

// This file tracks which connections to workers are idle, and closes an idle connection if a connection to another
// worker is needed and no descriptor is free. It must never close a connection on which anything awaits an answer.

import (
	"cmp"
	"slices"
)

// minIdleScanInterval is the minimum time between a scan that found no idle connection and the next scan.
const minIdleScanInterval = 100 * millisecond

// idleConns holds the result of the last scan for connections that may be closed to free a descriptor.
type idleConns struct {
	conns     []*workerConn // least recently used first
	scannedAt int64         // time of the last scan
	foundNone bool          // the last scan found no idle connection
}

// ensureDescriptor reports whether a descriptor is available for a required connection to a worker. It first looks
// for a free descriptor, then closes an idle connection, and finally uses a descriptor of the clients' share that
// clients do not use.
func (p *Pool) ensureDescriptor() bool {
	if p.budget.AdmitsWorker() || p.closeIdleConn() {
		return true
	}
	if p.mayScanIdleConns() {
		p.scanIdleConns()
		if p.closeIdleConn() {
			return true
		}
	}
	return p.budget.AdmitsRequiredWorker()
}

// mayScanIdleConns reports whether to scan for idle connections again. There is at most one scan in a turn of the
// loop, and no scan within minIdleScanInterval of a scan that found none.
func (p *Pool) mayScanIdleConns() bool {
	age := p.loop.Now() - p.idle.scannedAt
	return age != 0 && (!p.idle.foundNone || age >= minIdleScanInterval)
}

// closeIdleConn closes the least recently used connection of the last scan that is still idle and has not been used
// since, and reports whether there was one.
func (p *Pool) closeIdleConn() bool {
	for len(p.idle.conns) > 0 {
		c := p.idle.conns[0]
		p.idle.conns = p.idle.conns[1:]
		if c.isIdle() && c.lastUsedAt <= p.idle.scannedAt {
			c.close(errIdle)
			return true
		}
	}
	return false
}

// scanIdleConns records the idle connections to workers that have only one connection and no tasks. Those on which a worker may
// still report completions that it kept for an earlier process come last.
func (p *Pool) scanIdleConns() {
	p.idle.conns, p.idle.scannedAt = p.idle.conns[:0], p.loop.Now()
	for _, l := range p.links {
		if l.isSpare() {
			p.idle.conns = append(p.idle.conns, l.conns[0])
		}
	}
	p.idle.foundNone = len(p.idle.conns) == 0
	slices.SortFunc(p.idle.conns, func(a, b *workerConn) int {
		return cmp.Or(cmp.Compare(a.link.idleRank(), b.link.idleRank()), cmp.Compare(a.lastUsedAt, b.lastUsedAt),
			cmp.Compare(a.link.workerID, b.link.workerID))
	})
}

// idleRank returns the rank of the link's idle connection: connections of a lower rank are closed first.
func (l *link) idleRank() int {
	if l.awaitsCollection() {
		return 1
	}
	return 0
}

package workerpool

// This file owns which connections to workers are idle, and closes one where a connection to another worker is
// needed and no descriptor is left for it. It must never close a connection that anything waits on.

import (
	"cmp"
	"slices"
)

// minIdleScanInterval is how soon idle connections are looked for again where there were none.
const minIdleScanInterval = 100 * millisecond

// idleConns are the connections that may be closed for another one, as of the last scan.
type idleConns struct {
	conns     []*workerConn // least recently used first
	scannedAt int64
	foundNone bool // by the last scan
}

// ensureDescriptor finds a descriptor for a connection to a worker that is needed now, and reports whether there is
// one: a free one, that of an idle connection, or at last one that clients do not use.
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

// mayScanIdleConns reports whether a scan may find more than the last one did: at most one in a turn, and after one
// that found none only once minIdleScanInterval is over.
func (p *Pool) mayScanIdleConns() bool {
	age := p.loop.Now() - p.idle.scannedAt
	return age != 0 && (!p.idle.foundNone || age >= minIdleScanInterval)
}

// closeIdleConn closes the least recently used of the connections that are still idle, and reports whether there
// was one.
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

// scanIdleConns notes the connections to workers that nothing waits on and where no task runs.
func (p *Pool) scanIdleConns() {
	p.idle.conns, p.idle.scannedAt = p.idle.conns[:0], p.loop.Now()
	for worker, l := range p.links {
		if len(l.conns) == 1 && !p.dispatcher.HasTasksOn(worker) && l.conns[0].isIdle() {
			p.idle.conns = append(p.idle.conns, l.conns[0])
		}
	}
	p.idle.foundNone = len(p.idle.conns) == 0
	slices.SortFunc(p.idle.conns, func(a, b *workerConn) int {
		return cmp.Or(cmp.Compare(a.lastUsedAt, b.lastUsedAt), cmp.Compare(a.link.workerID, b.link.workerID))
	})
}

package workerpool

// This file owns the end of the connections to workers in a shutdown, before the process ends. A worker that finds no
// connection open keeps its reports for the next process, whereas a report that this process has read is lost if no client
// of its task can be reached any more.

import "slices"

// Retire closes the connections on which nothing awaits an answer, and dials no more workers except for offers and for
// releases that are unconfirmed. It is called again until the process ends, because further connections may become idle.
func (p *Pool) Retire() {
	p.retired = true
	for _, l := range p.linksByID() {
		for _, c := range slices.Clone(l.conns) {
			if c.isIdle() {
				c.close(errRetired)
			}
		}
	}
	for c := range p.receivers {
		if !c.lingering && c.conn.IsUp() {
			c.linger()
		}
	}
}

// MayReceive reports whether a worker's report may still be received: a connection is open, or lingers.
func (p *Pool) MayReceive() bool {
	if len(p.receivers) > 0 {
		return true
	}
	for _, l := range p.links {
		if len(l.conns) > 0 {
			return true
		}
	}
	return false
}

// mayDial reports whether a connection may be dialled that no offer needs.
func (l *link) mayDial() bool { return !l.pool.retired || len(l.releases) > 0 }

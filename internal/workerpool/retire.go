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
}

// mayDial reports whether a connection may be dialled that no offer needs.
func (l *link) mayDial() bool { return !l.pool.retired || len(l.releases) > 0 }

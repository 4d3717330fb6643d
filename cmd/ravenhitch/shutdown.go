package main

// This file owns the end of the program. It must never end it while a request that was taken can
// still be answered in time.

import (
	"fmt"

	"ravenhitch/internal/eventloop"
	"ravenhitch/placement"
)

const (
	// stillComing is how long after SIGTERM requests keep coming.
	stillComing = 800_000
	// The kill comes no sooner after SIGTERM than the longest deadline, counted as
	// maxDeadline where it is longer, and killSlack; what is still open is answered
	// quitEarly before it.
	// Where the platform holds the owners' socket, another process may serve beside this
	// one, and the kill comes no sooner than deadlineBeside and killSlack.
	maxDeadline    = 3_000_000
	deadlineBeside = 5_000_000
	killSlack      = 700_000
	quitEarly      = 300_000
	// quitFlush is how long of that the last answers may take to be read.
	quitFlush = 200_000
	// maxLook is how long an end waits for a look at the files, which may be on a slow disk.
	maxLook = 100_000
)

// drainTimeout is how long after SIGTERM requests may stay open.
func drainTimeout(s placement.Settings, most int64) (us int64) {
	for _, c := range s.Classes {
		us = max(us, c.DeadlineUs)
	}
	return max(stillComing, min(us, most)+killSlack-quitEarly)
}

// Stop makes Run end once what was taken is answered. It may be called from any
// goroutine, and more than once.
func (p *server) Stop() {
	p.l.Post(func() {
		if p.inherited && !p.successor {
			// A successor may have begun since the files were last looked at: whoever came
			// meanwhile would be taken here and sent away again.
			select {
			case p.look <- struct{}{}:
				p.l.After(maxLook, p.leave)
				return
			default:
			}
		}
		p.leave()
	})
}

// leave begins the end, once.
func (p *server) leave() {
	if p.leaving {
		return
	}
	p.leaving = true
	if p.grpc != nil {
		p.grpc.SetNotServing()
	}
	if p.peers != nil {
		p.peers.Leave()
	}
	p.log.Info("shutting down", "open", p.c.OpenCount(), "running", p.c.RunningCount(), "successor", p.successor)
	if p.inherited {
		p.handOver(p.l.Now())
		return
	}
	p.end(p.l.Now())
}

// Run serves until Stop.
func (p *server) Run() error {
	defer p.l.Close()
	defer close(p.over)
	var timer *eventloop.Timer
	var due int64
	defer p.nodes.Close()
	err := p.l.Run(func(now int64) {
		p.c.ObserveTurn(p.l.TurnDuration())
		p.nodes.DeliverPending()
		p.c.Turn(now)
		if next := p.c.NextDeadline(); next != due || !timer.Pending() {
			timer.Stop()
			if due = next; due > 0 {
				timer = p.l.At(due, func() {})
			}
		}
	})
	if p.grpc != nil {
		p.grpc.Close()
	}
	for _, e := range p.exporters {
		e.Close(exportersWait)
	}
	p.log.Info("stopped", "counts", fmt.Sprintf("%+v", p.c.Counts()))
	return err
}

// end keeps serving while requests still come, then ends once nothing is open and
// nobody waits to be let in, and answers what is left before the kill comes. Who
// waits in the system's queue may have sent a request, which an end would lose.
func (p *server) end(since int64) {
	switch age := p.l.Now() - since; {
	case age >= p.drainTimeout:
		p.quit(since, p.drainTimeout)
	case age >= stillComing && !p.owes() && !p.l.HasQueuedConnections():
		p.l.Stop()
	default:
		p.l.After(10_000, func() { p.end(since) })
	}
}

// owes reports whether an end now would lose something that is owed: an answer or a part of
// one, a release, a minion's word on one.
func (p *server) owes() bool {
	return p.c.OpenCount() > 0 || p.front.HasUndelivered() || p.nodes.HasUnconfirmedReleases()
}

// quit answers what is open at the drain timeout, and ends once the owners have taken that, or
// shortly before the kill.
func (p *server) quit(since, last int64) {
	p.c.RejectAll(p.l.Now())
	if !p.front.HasUndelivered() || p.l.Now()-since >= last+quitFlush {
		p.l.Stop()
		return
	}
	p.l.After(10_000, func() { p.quit(since, last) })
}

// handOver ends a process whose owners' socket the platform holds. Where a successor serves
// it, whoever comes goes there at once, and what is open here is answered. Where none
// does, callers come on as before and would wait in the system's queue for the next
// process, which starts only once this one was killed: so it serves until shortly
// before that, and leaves to the queue only whom it could not answer any more.
func (p *server) handOver(since int64) {
	age, last := p.l.Now()-since, p.drainTimeout
	if p.successor {
		last = p.drainTimeoutBeside
	}
	if p.successor || age >= last-stillComing/2 {
		p.l.Unlisten(p.addr)
	}
	switch {
	case age >= last:
		p.quit(since, last)
	case p.successor && age >= stillComing && !p.owes():
		p.l.Stop()
	default:
		p.l.After(10_000, func() { p.handOver(since) })
	}
}

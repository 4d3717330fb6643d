package main

// This file owns the end of the program. It must never end it while a request that was taken can
// still be answered in time.

import (
	"fmt"

	"ravenhitch/internal/eventloop"
	"ravenhitch/placement"
)

const (
	// lateRequestsUs is how long after SIGTERM requests keep coming.
	lateRequestsUs = 800_000
	// The kill comes no sooner after SIGTERM than the longest deadline, counted as
	// maxDeadlineUs where it is longer, and killSlack; what is still open is answered
	// quitEarly before it.
	// Where the platform holds the owners' socket, another process may serve beside this
	// one, and the kill comes no sooner than maxDeadlineWithSuccessorUs and killSlack.
	maxDeadlineUs    = 3_000_000
	maxDeadlineWithSuccessorUs = 5_000_000
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
	return max(lateRequestsUs, min(us, most)+killSlack-quitEarly)
}

// Stop makes Run end once what was taken is answered. It may be called from any
// goroutine, and more than once.
func (p *server) Stop() {
	p.loop.Post(func() {
		if p.inheritedListener && !p.hasSuccessor {
			// A successor may have begun since the files were last looked at: whoever came
			// meanwhile would be taken here and sent away again.
			select {
			case p.successorChecks <- struct{}{}:
				p.loop.After(maxLook, p.beginShutdown)
				return
			default:
			}
		}
		p.beginShutdown()
	})
}

// beginShutdown begins the end, once.
func (p *server) beginShutdown() {
	if p.shuttingDown {
		return
	}
	p.shuttingDown = true
	if p.grpcFront != nil {
		p.grpcFront.SetNotServing()
	}
	if p.peers != nil {
		p.peers.Leave()
	}
	p.log.Info("shutting down", "open", p.dispatcher.OpenCount(), "running", p.dispatcher.RunningCount(), "successor", p.hasSuccessor)
	if p.inheritedListener {
		p.handOver(p.loop.Now())
		return
	}
	p.drain(p.loop.Now())
}

// Run serves until Stop.
func (p *server) Run() error {
	defer p.loop.Close()
	defer close(p.stopped)
	var timer *eventloop.Timer
	var due int64
	defer p.pool.Close()
	err := p.loop.Run(func(now int64) {
		p.dispatcher.ObserveTurn(p.loop.TurnDuration())
		p.pool.DeliverPending()
		p.dispatcher.Turn(now)
		if next := p.dispatcher.NextDeadline(); next != due || !timer.Pending() {
			timer.Stop()
			if due = next; due > 0 {
				timer = p.loop.At(due, func() {})
			}
		}
	})
	if p.grpcFront != nil {
		p.grpcFront.Close()
	}
	for _, e := range p.exporters {
		e.Close(exportersWait)
	}
	p.log.Info("stopped", "counts", fmt.Sprintf("%+v", p.dispatcher.Counts()))
	return err
}

// drain keeps serving while requests still come, then ends once nothing is open and
// nobody waits to be let in, and answers what is left before the kill comes. Who
// waits in the system's queue may have sent a request, which an end would lose.
func (p *server) drain(since int64) {
	switch age := p.loop.Now() - since; {
	case age >= p.drainTimeout:
		p.rejectAndStop(since, p.drainTimeout)
	case age >= lateRequestsUs && !p.hasUnfinishedWork() && !p.loop.HasQueuedConnections():
		p.loop.Stop()
	default:
		p.loop.After(10_000, func() { p.drain(since) })
	}
}

// hasUnfinishedWork reports whether an end now would lose something that is owed: an answer or a part of
// one, a release, a minion's word on one.
func (p *server) hasUnfinishedWork() bool {
	return p.dispatcher.OpenCount() > 0 || p.clientFront.HasUndelivered() || p.pool.HasUnconfirmedReleases()
}

// rejectAndStop answers what is open at the drain timeout, and ends once the owners have taken that, or
// shortly before the kill.
func (p *server) rejectAndStop(since, last int64) {
	p.dispatcher.RejectAll(p.loop.Now())
	if !p.clientFront.HasUndelivered() || p.loop.Now()-since >= last+quitFlush {
		p.loop.Stop()
		return
	}
	p.loop.After(10_000, func() { p.rejectAndStop(since, last) })
}

// handOver ends a process whose owners' socket the platform holds. Where a successor serves
// it, whoever comes goes there at once, and what is open here is answered. Where none
// does, callers come on as before and would wait in the system's queue for the next
// process, which starts only once this one was killed: so it serves until shortly
// before that, and leaves to the queue only whom it could not answer any more.
func (p *server) handOver(since int64) {
	age, last := p.loop.Now()-since, p.drainTimeout
	if p.hasSuccessor {
		last = p.drainTimeoutWithSuccessor
	}
	if p.hasSuccessor || age >= last-lateRequestsUs/2 {
		p.loop.Unlisten(p.clientAddr)
	}
	switch {
	case age >= last:
		p.rejectAndStop(since, last)
	case p.hasSuccessor && age >= lateRequestsUs && !p.hasUnfinishedWork():
		p.loop.Stop()
	default:
		p.loop.After(10_000, func() { p.handOver(since) })
	}
}

package main

// This file owns the shutdown of the server. It must never stop while a request that was taken can
// still be answered in time.

import (
	"ravenhitch/placement"
)

// The platform kills the process no sooner after SIGTERM than its longest deadline and killSlackUs.
// Times are in microseconds.
const (
	// lateRequestsUs is how long after SIGTERM requests keep coming.
	lateRequestsUs = 800 * millisecond
	// maxDeadlineUs is what the platform counts a longer deadline as.
	maxDeadlineUs = 3 * second
	// maxDeadlineWithSuccessorUs is the same where the platform owns the listening socket of the
	// clients, so that another process may serve beside this one.
	maxDeadlineWithSuccessorUs = 5 * second
	killSlackUs                = 700 * millisecond
	// killMarginUs is how long before the kill open requests are rejected.
	killMarginUs = 300 * millisecond
	// flushTimeoutUs is how long of that the last responses may take to be read.
	flushTimeoutUs = 200 * millisecond
	// maxSuccessorCheckUs is how long a shutdown waits for a look at the files, which may be on a slow disk.
	maxSuccessorCheckUs = 100 * millisecond
	// drainIntervalUs is how often a shutdown looks whether it can stop.
	drainIntervalUs = 10 * millisecond
)

// drainTimeout is how long after SIGTERM requests may stay open, where the platform counts deadlines
// up to maxDeadline.
func drainTimeout(settings placement.Settings, maxDeadline int64) int64 {
	longest := int64(0)
	for _, class := range settings.Classes {
		longest = max(longest, class.DeadlineUs)
	}
	return max(lateRequestsUs, min(longest, maxDeadline)+killSlackUs-killMarginUs)
}

// Stop makes Run end once what was taken is answered. It may be called from any goroutine, and more
// than once.
func (s *server) Stop() {
	s.loop.Post(func() {
		if s.inheritedListener && !s.hasSuccessor && s.requestSuccessorCheck() {
			s.loop.After(maxSuccessorCheckUs, s.beginShutdown)
			return
		}
		s.beginShutdown()
	})
}

// requestSuccessorCheck has the files read for a successor that started since they were last read:
// without it, whoever connected meanwhile would be taken here and sent away again. It reports whether
// the check was requested; the shutdown begins with its result.
func (s *server) requestSuccessorCheck() bool {
	select {
	case s.successorChecks <- struct{}{}:
		return true
	default:
		return false
	}
}

// beginShutdown begins the shutdown, once.
func (s *server) beginShutdown() {
	if s.shuttingDown {
		return
	}
	s.shuttingDown = true
	if s.grpcFront != nil {
		s.grpcFront.SetNotServing()
	}
	if s.peers != nil {
		s.peers.Leave()
	}
	s.log.Info("shutting down", "open", s.dispatcher.OpenCount(), "running", s.dispatcher.RunningCount(), "successor", s.hasSuccessor)
	if s.inheritedListener {
		s.drainInherited(s.loop.Now())
		return
	}
	s.drain(s.loop.Now())
}

// drain keeps serving while requests still come, then stops once nothing is open and no connection
// waits to be accepted, and rejects what is left before the kill comes. A connection that waits in the
// system's queue may carry a request, which a stop would lose.
func (s *server) drain(since int64) {
	switch age := s.loop.Now() - since; {
	case age >= s.drainTimeout:
		s.rejectAndStop(since, s.drainTimeout)
	case age >= lateRequestsUs && !s.hasUnfinishedWork() && !s.loop.HasQueuedConnections():
		s.loop.Stop()
	default:
		s.loop.After(drainIntervalUs, func() { s.drain(since) })
	}
}

// drainInherited stops a process whose listening socket the platform owns. Where a successor serves
// on it, this process stops listening at once: new clients connect there, and what is open here is
// answered. Without one, clients connect as before and would wait in the system's queue for the next
// process, which starts only once this one was killed: so it serves until shortly before that, and
// leaves to the queue only those that it could not answer any more.
func (s *server) drainInherited(since int64) {
	age, timeout := s.loop.Now()-since, s.drainTimeout
	if s.hasSuccessor {
		timeout = s.drainTimeoutWithSuccessor
	}
	if s.hasSuccessor || age >= timeout-lateRequestsUs/2 {
		s.loop.Unlisten(s.clientAddr)
	}
	switch {
	case age >= timeout:
		s.rejectAndStop(since, timeout)
	case s.hasSuccessor && age >= lateRequestsUs && !s.hasUnfinishedWork():
		s.loop.Stop()
	default:
		s.loop.After(drainIntervalUs, func() { s.drainInherited(since) })
	}
}

// hasUnfinishedWork reports whether a stop now would lose a response or a part of one, a release, or a
// worker's completion of a released task.
func (s *server) hasUnfinishedWork() bool {
	return s.dispatcher.OpenCount() > 0 || s.clientFront.HasUndelivered() || s.pool.HasUnconfirmedReleases()
}

// rejectAndStop rejects what is open at the drain timeout, and stops once the clients have read that,
// or shortly before the kill.
func (s *server) rejectAndStop(since, timeout int64) {
	s.dispatcher.RejectAll(s.loop.Now())
	if !s.clientFront.HasUndelivered() || s.loop.Now()-since >= timeout+flushTimeoutUs {
		s.loop.Stop()
		return
	}
	s.loop.After(drainIntervalUs, func() { s.rejectAndStop(since, timeout) })
}

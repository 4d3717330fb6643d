package main

// This file owns the shutdown of the server. The server must never stop while an accepted request is open, nor take the
// report of a worker that it can't pass on. A shutdown has three phases:
//
//   - The server drains: it serves as before, because requests still arrive, until no request is open.
//   - It settles: it rejects requests, takes no more reports of workers, which keep them for the next process, and delivers
//     what it has. Clients can still connect, because a completion may need a connection.
//   - It stops to listen, and ends.
//
// Shortly before the platform kills the process, the server rejects or fails the requests that are still open, and settles.

import (
	"fmt"

	"ravenhitch/internal/clientfront"
	"ravenhitch/placement"
)

// Times of a shutdown, in microseconds. After SIGTERM, the platform waits for at least killSlackUs plus the longest
// deadline of a request class before it kills the process. A deadline above maxDeadlineUs counts as maxDeadlineUs.
const (
	// lateRequestsUs is the time after SIGTERM during which new requests still arrive.
	lateRequestsUs = 800 * millisecond
	// maxDeadlineUs is the maximum deadline that the platform waits for. If a class has a longer deadline,
	// the platform waits for maxDeadlineUs instead.
	maxDeadlineUs = 3 * second
	// maxDeadlineWithSuccessorUs replaces maxDeadlineUs if a successor serves while this process drains. A successor
	// is a process that started later and serves clients on the same listening socket, which the platform owns.
	maxDeadlineWithSuccessorUs = 5 * second
	killSlackUs                = 700 * millisecond
	// killMarginUs is how long before the kill the server rejects or fails the requests that are still open.
	killMarginUs = 300 * millisecond
	// flushTimeoutUs is the first part of killMarginUs, in which clients may still read their last responses. The
	// server stops at the end of this time, or earlier if nothing is left to deliver to clients. The rest of killMarginUs is
	// for the last requests (see clientfront.Front.CloseClients) and figures.
	flushTimeoutUs = 160 * millisecond
	// grpcFlushUs is the time after the drain timeout at which the gRPC calls that have not ended are aborted. It leaves
	// the rest of flushTimeoutUs for the abort.
	grpcFlushUs = 120 * millisecond
	// maxSuccessorCheckUs limits how long a shutdown waits for the file worker to check the handover files for a
	// successor. The files may be on a slow disk.
	maxSuccessorCheckUs = 100 * millisecond
	// lastRequestsUs is the time for which the server still runs after it has stopped to listen. The first requests on
	// the connections that it accepted last arrive in this time, and are rejected.
	lastRequestsUs = 50 * millisecond
	// drainIntervalUs is the interval at which a shutdown checks whether it can stop.
	drainIntervalUs = 10 * millisecond
)

// drainTimeout returns the maximum time, in microseconds, for which requests may stay open after SIGTERM.
// maxDeadline is the maximum deadline that the platform waits for before it kills the process.
func drainTimeout(settings placement.Settings, maxDeadline int64) int64 {
	longest := int64(0)
	for _, class := range settings.Classes {
		longest = max(longest, class.DeadlineUs)
	}
	return max(lateRequestsUs, min(longest, maxDeadline)+killSlackUs-killMarginUs)
}

// Stop begins the shutdown, at the end of which Run returns, at the latest flushTimeoutUs after the drain timeout. Stop may be
// called from any goroutine and more than once.
func (s *server) Stop() {
	s.loop.Post(func() {
		if s.inheritedListener && !s.hasSuccessor && s.requestSuccessorCheck() {
			s.loop.After(maxSuccessorCheckUs, s.beginShutdown)
			return
		}
		s.beginShutdown()
	})
}

// requestSuccessorCheck asks the file worker to check for a successor that started after the handover files were
// last read. Without the check, a client that connects before the next read would be accepted here and then
// disconnected. requestSuccessorCheck reports whether the check was queued. Once the check is done, the file worker
// begins the shutdown.
func (s *server) requestSuccessorCheck() bool {
	select {
	case s.successorChecks <- struct{}{}:
		return true
	default:
		return false
	}
}

// beginShutdown begins the shutdown. Further calls do nothing.
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

// drain keeps the server running for lateRequestsUs, because requests still arrive in this time. As soon as no request is
// open, the calls over gRPC have ended and no connection waits in the kernel's accept queue, it settles. A connection in the
// queue may carry a request, which a stop would lose. At the drain timeout, shortly before the kill, it settles in any case.
func (s *server) drain(since int64) {
	switch age := s.loop.Now() - since; {
	case age >= s.drainTimeout:
		s.settle(since + s.drainTimeout)
	case age >= lateRequestsUs && !s.hasOpenRequests() && !s.loop.HasQueuedConnections() && s.grpcStopped(since+s.drainTimeout):
		s.settle(since + s.drainTimeout)
	default:
		s.loop.After(drainIntervalUs, func() { s.drain(since) })
	}
}

// settle rejects or fails the open requests, including those that still arrive, and takes no more reports of workers than
// those that are on their way. Once nothing is left to deliver, it stops to listen, and lastRequestsUs later it stops the
// server. It stops the server at the latest flushTimeoutUs after the drain timeout, and thus before the kill.
func (s *server) settle(drainEnd int64) {
	s.dispatcher.RejectAll(s.loop.Now())
	s.pool.Retire()
	s.clientFront.ReportNow()
	isDelivered := s.grpcStopped(drainEnd) && !s.pool.MayReceive() && s.unfinishedWork() == unfinishedWork{}
	end := drainEnd + flushTimeoutUs
	if isDelivered || s.loop.Now() >= end-lastRequestsUs {
		s.stopListening()
	}
	if s.unlistenedAt > 0 && s.mayStop(isDelivered) || s.loop.Now() >= end {
		s.loop.Stop()
		return
	}
	s.loop.After(drainIntervalUs, func() { s.settle(drainEnd) })
}

// mayStop reports whether the server may stop after it has stopped to listen. What can't be delivered by then never will be,
// because no client can connect.
func (s *server) mayStop(isDelivered bool) bool {
	age := s.loop.Now() - s.unlistenedAt
	return isDelivered && age >= lastRequestsUs || age >= flushTimeoutUs
}

// stopListening accepts the clients that wait and closes the listening socket for clients.
func (s *server) stopListening() {
	if s.unlistenedAt > 0 {
		return
	}
	if !s.inheritedListener {
		s.loop.AcceptQueued()
		s.loop.Unlisten(s.clientAddr)
	}
	s.unlistenedAt = s.loop.Now()
}

// drainInherited drains a process whose listening socket is owned by the platform. If a successor serves on that
// socket, this process stops listening at once: new clients connect to the successor, and this process answers
// the requests that are open here. Without a successor, clients still connect, and clients that are not accepted
// wait in the kernel's accept queue for the next process, which starts only after this one is killed. This
// process therefore serves until shortly before the kill, and leaves in the queue only the clients that it could
// no longer answer.
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
		s.settle(since + timeout)
	case s.hasSuccessor && age >= lateRequestsUs && !s.hasOpenRequests() && s.grpcStopped(since+timeout):
		s.settle(since + timeout)
	default:
		s.loop.After(drainIntervalUs, func() { s.drainInherited(since) })
	}
}

// unfinishedWork is what a stop now would lose.
type unfinishedWork struct {
	clientfront.Undelivered
	OpenRequests        int
	UnconfirmedReleases bool
}

// unfinishedWork returns what a stop now would lose, and logs it if it has a part that it did not have before.
func (s *server) unfinishedWork() unfinishedWork {
	work := unfinishedWork{s.clientFront.Undelivered(), s.dispatcher.OpenCount(), s.pool.HasUnconfirmedReleases()}
	if seen := s.unfinishedParts.union(work); seen != s.unfinishedParts {
		s.unfinishedParts = seen
		s.log.Info("shutdown waits", "for", fmt.Sprintf("%+v", work))
	}
	return work
}

// union returns the parts that w or other has, each with the count 1.
func (w unfinishedWork) union(other unfinishedWork) unfinishedWork {
	part := func(a, b int) int { return min(max(a, b), 1) }
	return unfinishedWork{
		Undelivered: clientfront.Undelivered{
			Unreported:      part(w.Unreported, other.Unreported),
			Unconfirmed:     part(w.Unconfirmed, other.Unconfirmed),
			InTransit:       part(w.InTransit, other.InTransit),
			PartialMessages: part(w.PartialMessages, other.PartialMessages),
			UnsentOutput:    part(w.UnsentOutput, other.UnsentOutput),
		},
		OpenRequests:        part(w.OpenRequests, other.OpenRequests),
		UnconfirmedReleases: w.UnconfirmedReleases || other.UnconfirmedReleases,
	}
}

// hasOpenRequests reports whether a request is open, or a client has sent a message only in part.
func (s *server) hasOpenRequests() bool {
	work := s.unfinishedWork()
	return work.OpenRequests > 0 || work.PartialMessages > 0
}

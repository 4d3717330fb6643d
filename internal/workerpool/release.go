package workerpool

// This file owns the releases of running tasks, and keeps those that are unconfirmed. A worker confirms a release by
// acknowledging it or by reporting that the task has ended. Until then, but at most for releaseRetention, the release
// is sent again on each new connection in link.conns.

import (
	"maps"
	"slices"

	"ravenhitch/internal/jsonlines"
)

const (
	// maxUnconfirmedReleases is the maximum number of unconfirmed releases that are kept for one worker. Further
	// releases are sent once if a connection is up, and otherwise not at all.
	maxUnconfirmedReleases = 1024
	// releaseRetention is the time for which an unconfirmed release is kept. It equals the longest network outage
	// that connections survive with the default TCP keepalive of package eventloop.
	releaseRetention = 60 * second
)

// unconfirmedReleases holds the releases that one worker has not confirmed. It maps the request ID of each release to
// the time at which the release was requested.
type unconfirmedReleases map[string]int64

// expire deletes the releases that are older than releaseRetention.
func (r unconfirmedReleases) expire(now int64) {
	if len(r) > 0 {
		maps.DeleteFunc(r, func(_ string, requestedAt int64) bool { return now-requestedAt > releaseRetention })
	}
}

// confirm deletes a release that the worker has acknowledged, or whose task it has reported as ended.
func (r unconfirmedReleases) confirm(requestID string) { delete(r, requestID) }

// Release implements dispatch.WorkerPool.
func (p *Pool) Release(worker, requestID string) {
	l := p.links[worker]
	if l == nil {
		return
	}
	if l.releases == nil {
		l.releases = unconfirmedReleases{}
	}
	if len(l.releases) < maxUnconfirmedReleases {
		l.releases[requestID] = p.loop.Now()
	}
	l.connForSending(anyConnection) // dials if needed; resendReleases sends the release on a connection that comes up later
	if c := l.newestUp(); c != nil {
		c.sendFinish(requestID)
	}
}

// CancelRelease implements dispatch.WorkerPool.
func (p *Pool) CancelRelease(worker, requestID string) {
	if l := p.links[worker]; l != nil {
		delete(l.releases, requestID)
	}
}

// HasUnconfirmedReleases reports whether any worker has an unconfirmed release.
func (p *Pool) HasUnconfirmedReleases() bool {
	for _, l := range p.links {
		if len(l.releases) > 0 {
			return true
		}
	}
	return false
}

// resendReleases sends all unconfirmed releases on this connection, which has just been established.
func (c *workerConn) resendReleases() {
	for _, requestID := range slices.Sorted(maps.Keys(c.link.releases)) {
		c.sendFinish(requestID)
	}
}

// sendFinish sends a message that requests the end of an attempt or of a running task.
func (c *workerConn) sendFinish(requestID string) {
	c.send(&jsonlines.Message{Verb: jsonlines.VerbFinish, Tag: requestID, RC: jsonlines.CodeEnded, HasRC: true})
}

package workerpool

// This file owns releases of running tasks and whether workers have confirmed them. A worker confirms one by
// reporting that the task has ended; until then the release is sent again on each new connection.

import (
	"maps"
	"slices"

	"ravenhitch/internal/jsonlines"
)

const (
	// maxUnconfirmedReleases bounds the unconfirmed releases of one worker.
	maxUnconfirmedReleases = 1024
	// releaseRetention is how long an unconfirmed release is remembered: the longest network cut that
	// connections outlive.
	releaseRetention = 60 * second
)

// unconfirmedReleases are the releases that one worker has not confirmed: when each was requested, by
// request ID.
type unconfirmedReleases map[string]int64

// expire forgets the releases that are older than releaseRetention.
func (r unconfirmedReleases) expire(now int64) {
	if len(r) > 0 {
		maps.DeleteFunc(r, func(_ string, requestedAt int64) bool { return now-requestedAt > releaseRetention })
	}
}

// confirm forgets the release of a task that the worker has reported ended.
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
	if c := l.connForSending(); c != nil && c.conn.IsUp() { // else it goes out once one is
		c.sendFinish(requestID)
	}
}

// HasUnconfirmedReleases reports whether a worker has not confirmed a release yet.
func (p *Pool) HasUnconfirmedReleases() bool {
	for _, l := range p.links {
		if len(l.releases) > 0 {
			return true
		}
	}
	return false
}

// resendReleases writes on a new connection the releases that were not confirmed on those before.
func (c *workerConn) resendReleases() {
	for _, requestID := range slices.Sorted(maps.Keys(c.link.releases)) {
		c.sendFinish(requestID)
	}
}

// sendFinish has the worker end an attempt or a running task.
func (c *workerConn) sendFinish(requestID string) {
	c.send(&jsonlines.Message{Verb: jsonlines.VerbFinish, Tag: requestID, RC: jsonlines.CodeEnded, HasRC: true})
}

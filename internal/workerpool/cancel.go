package workerpool

// This file owns how an attempt ends that a worker has not answered: what is written
// or closed for it, and the proof that the worker is rid of it. It must never take a
// give-up that was only written for one that was read, and never leave on the way what
// could reach a worker after the attempt is over.
//
// A give-up that is written may never arrive: the connection can be cut off since the
// worker's last word. So a test is written behind it. The answer to that proves that
// the worker has read the give-up; where it does not come, the connection is aborted,
// which gives up all that is open on it and takes back what still lies in it.

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/jsonlines"
	"ravenhitch/placement"
)

// maxProof is how long nothing at all may come in on a connection after a give-up was
// written there, the test's answer included: a test waits behind what the worker is at,
// and it may take three of its slowest looks at an offer, of 34 ms each. Where other
// messages come, a test may take as long as a connection may take to come up.
const maxProof = 100_000

// A close is on its way to the worker for as long as a message is, and nothing tells
// that it has come. So what a close gives up is over once a message there and back
// could have been on its way: as long as a connection to that worker took to come up
// at the least, 2 ms at the least (twice the way between halls, 0.78 ms), and not
// longer than the slack that the protocol puts on every limit.
const (
	minCross = 2_000
	maxCross = 50_000
)

var errSilent = errors.New("nothing came in since an offer that was given up")

// endings are the give-ups written on a connection and not proved to be read.
type endings struct {
	test  string   // the tag of the test that is out, "" for none
	at    int64    // when it was written
	tags  []string // given up before the test was written
	next  []string // given up since: for the next test
	timer *eventloop.Timer
}

func (e *endings) any() bool { return e.test != "" }

// CancelAttempt implements core.Nodes.
func (n *Pool) CancelAttempt(node, tag string, again bool) (sure bool) {
	k := n.links[node]
	if k == nil {
		return true
	}
	sure = !k.fading[tag]
	for _, nc := range slices.Clone(k.conns) {
		s := nc.open[tag]
		if s == nil {
			continue
		}
		nc.settled(s)
		n.trace("cancelling attempt", tag, "worker", node, "left", s.left(nc.c), "written", s.end > 0, "quiet_us", n.l.Now()-nc.readAt)
		switch {
		case s.end == 0: // it never left
		case s.left(nc.c) && nc.readAt >= s.at && (n.tests || !again): // else it would leave yet
			nc.giveUp(tag)
			sure = sure && !n.tests
		default:
			nc.end(errSilent)
			k.crossed(func() { n.core.CancelConfirmed(n.l.Now(), node, tag) })
			sure = false
		}
	}
	k.prune()
	k.ensure() // the ends of tasks that stand there come on the next connection
	return sure
}

// giveUp writes a give-up, ahead of all that is written after it on any connection. Where
// the system does not take it whole, the test behind it is not answered either. Where the
// deployment allows no tests nothing proves it, and no attempt may follow it.
func (nc *workerConn) giveUp(tag string) {
	nc.send(&jsonlines.Message{Verb: jsonlines.VerbFinish, Tag: tag, RC: jsonlines.CauseGivenUp, HasRC: true})
	if !nc.k.n.tests {
		nc.c.Flush()
		return
	}
	if nc.ends.any() {
		nc.ends.next = append(nc.ends.next, tag)
	} else {
		nc.prove([]string{tag})
	}
	nc.c.Flush()
}

// prove writes a test behind give-ups. One is out at a time: tests cost the worker work.
func (nc *workerConn) prove(tags []string) {
	now := nc.k.n.l.Now()
	nc.ends.test, nc.ends.at, nc.ends.tags, nc.ends.next = fmt.Sprintf("%016x", now), now, tags, nil
	nc.send(&jsonlines.Message{Verb: jsonlines.VerbEcho, Tag: nc.ends.test, HasRC: true})
	nc.ends.timer = nc.k.n.l.After(maxProof, nc.unproved)
}

// unproved is the time at which the test should have been answered.
func (nc *workerConn) unproved() {
	e, k, now := &nc.ends, nc.k, nc.k.n.l.Now()
	if nc.readAt > e.at && now < e.at+k.n.dialUs {
		e.timer = k.n.l.After(maxProof, nc.unproved)
		return
	}
	k.n.log.Warn("cancel unconfirmed", "worker", k.id, "quiet_us", now-nc.readAt)
	nc.end(errSilent)
	k.prune()
	k.ensure()
}

// proved takes the answer to the test: what was given up before it is over.
func (nc *workerConn) proved() {
	at, tags, next := nc.ends.at, nc.ends.tags, nc.ends.next
	nc.ends.timer.Stop()
	nc.ends = endings{}
	if len(next) > 0 {
		nc.prove(next)
		nc.c.Flush()
	}
	for _, tag := range tags {
		nc.k.n.trace("cancel confirmed", tag, "worker", nc.k.id, "ping_us", nc.k.n.l.Now()-at)
		nc.k.n.core.CancelConfirmed(nc.k.n.l.Now(), nc.k.id, tag)
	}
	nc.k.prune()
}

// crossed calls f once a close that is written now has reached the worker.
func (k *link) crossed(f func()) {
	k.n.l.After(min(max(k.wayUs, minCross), maxCross), f)
}

// fade tells the core that an offer was reset with its connection, once the worker
// knows of that too. Till then the attempt may be out.
func (k *link) fade(tag string) {
	if k.fading == nil {
		k.fading = map[string]bool{}
	}
	k.fading[tag] = true
	k.crossed(func() {
		delete(k.fading, tag)
		k.n.core.TaskEnded(k.n.l.Now(), k.id, tag, placement.Reset, placement.CauseUnknown)
	})
}

// settle tells the core of the give-ups that the end of the connection has carried out.
func (nc *workerConn) settle() {
	k := nc.k
	nc.ends.timer.Stop()
	for _, tag := range slices.Concat(nc.ends.tags, nc.ends.next) {
		k.crossed(func() { k.n.core.CancelConfirmed(k.n.l.Now(), k.id, tag) })
	}
	nc.ends = endings{}
}

// end closes the connection from this side and tells what was open on it. Where a
// set-up may lie in it still, what the worker has not taken is thrown away.
func (nc *workerConn) end(err error) {
	if errors.Is(err, errSilent) {
		nc.k.failed = true
	}
	if len(nc.open) > 0 || nc.ends.any() || errors.Is(err, errSilent) {
		nc.c.Abort()
	} else {
		nc.c.Close()
	}
	nc.lost(err)
}

// maxUnheard bounds the releases of one worker that wait for its word, and
// unheardFor how long they do: the longest cut that connections outlive.
const (
	maxUnheard = 1024
	unheardFor = 60_000_000
)

// Release implements core.Nodes. The worker's word that a task has ended is what shows
// that a release was heard; till then it goes out again on each new connection.
func (n *Pool) Release(node, tag string) {
	k := n.links[node]
	if k == nil {
		return
	}
	if k.unheard == nil {
		k.unheard = map[string]int64{}
	}
	if len(k.unheard) < maxUnheard {
		k.unheard[tag] = n.l.Now()
	}
	if nc := k.usable(); nc != nil && nc.c.IsUp() { // else it goes out once one is
		nc.release(tag)
	}
}

// HasUnconfirmedReleases reports whether a release of a task that stands was not heard of yet.
func (n *Pool) HasUnconfirmedReleases() bool {
	for _, k := range n.links {
		if len(k.unheard) > 0 {
			return true
		}
	}
	return false
}

// UnconfirmedCancels is how many connections carry a give-up that is not proved to be read.
func (n *Pool) UnconfirmedCancels() (count int) {
	for _, k := range n.links {
		for _, nc := range k.conns {
			if nc.ends.any() {
				count++
			}
		}
	}
	return count
}

// Close ends all connections at the end of the program. Where an attempt may be out, what
// lies in the system is thrown away: it would go on being sent, and a set-up would arrive
// when nobody waits for it.
func (n *Pool) Close() {
	for _, k := range n.links {
		for _, nc := range k.conns {
			if len(nc.open) > 0 || nc.ends.any() {
				nc.c.Abort()
			}
		}
	}
}

func (nc *workerConn) release(tag string) {
	nc.send(&jsonlines.Message{Verb: jsonlines.VerbFinish, Tag: tag, RC: jsonlines.CauseGivenUp, HasRC: true})
}

// releaseAgain writes on a new connection what was not heard on those before.
func (nc *workerConn) releaseAgain() {
	for _, tag := range slices.Sorted(maps.Keys(nc.k.unheard)) {
		nc.release(tag)
	}
}

var _ dispatch.WorkerPool = (*Pool)(nil)

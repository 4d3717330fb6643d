package workerpool

// This file owns one connection to a worker and the offers open on it: when they leave, and
// what becomes of them where the connection ends.

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/jsonlines"
	"ravenhitch/placement"
)

// sent is an offer without an answer.
type sent struct {
	dispatch.Offer
	at    int64
	until int64 // when the core gives it up
	end   int64 // where its last byte lies in what was written, 0 while it waits
	tries int
}

// settled takes an offer off its connection. It is the one place where that happens.
func (nc *workerConn) settled(s *sent) {
	delete(nc.open, s.RequestID)
	if s.left(nc.c) {
		nc.k.n.tries++
	}
}

// left reports whether the offer may have reached the worker whole.
func (s *sent) left(c *eventloop.Conn) bool { return s.end > 0 && s.end <= c.BytesSent() }

// workerConn is one connection to a worker.
type workerConn struct {
	k      *link
	c      *eventloop.Conn
	open   map[string]*sent
	early  [][]byte // messages that wait for the connection
	readAt int64
	half   *eventloop.Timer // for the rest of half a message
	probes map[string]int64
	ends   endings
	wasUp  bool
	dialAt int64
	usedAt int64 // when it was last asked for, for an offer or a probe
	// aliveTo is up to when the sign of life that the worker's system gave last holds.
	aliveTo int64
}

// start writes an offer, if nothing stands against it by now: its connection may have come
// up late, or another broken under it.
func (nc *workerConn) start(s *sent) {
	n, id := nc.k.n, nc.k.id
	if age := n.l.Clock() - n.core.ClientLastSeenAt(s.RequestID, n.l.LastPostAt()); age > maxUnheardClient {
		n.trace("offer delayed for client", s.RequestID, "worker", id, "age_us", age)
		n.held = append(n.held, held{nc, s})
		n.l.RunAgain()
		return
	}
	if err := n.core.CheckOffer(n.l.Now(), id, s.RequestID); err != nil {
		n.trace("offer not sent", s.RequestID, "worker", id, "cause", err)
		nc.settled(s)
		n.later(func() { n.core.TaskEnded(n.l.Now(), id, s.RequestID, placement.NeverSent, placement.CauseUnknown) })
		return
	}
	m := jsonlines.Message{Verb: jsonlines.VerbStart, Tag: s.RequestID, Blob: s.Description, HasBlob: true, Opts: []jsonlines.Field{{Name: "class", Value: s.Class},
		{Name: "key", Value: s.Key}, {Name: "left", Value: strconv.FormatInt(max(1, (s.until-nc.k.n.l.Now())/1000), 10)}}}
	if s.Idem != "" {
		m.Opts = append(m.Opts, jsonlines.Field{Name: "idem", Value: s.Idem})
	}
	nc.c.Write(jsonlines.Append(nil, &m))
	s.end = nc.c.BytesWritten()
}

func (nc *workerConn) probed(tag string, st placement.Outcome, load string) {
	at, ok := nc.probes[tag]
	if !ok {
		return
	}
	delete(nc.probes, tag)
	now := nc.k.n.l.Now()
	nc.k.n.core.ProbeAnswered(now, placement.ProbeResult{Worker: nc.k.id, Outcome: st, RTTUs: now - at, Load: report(load)})
}

// stale reports whether an offer lies on the connection
// while nothing comes in: a worker that was cut off leaves its connections open and silent, and a new
// one tells quickly, and with proof, that it is away.
func (nc *workerConn) stale() bool {
	if !nc.c.IsUp() {
		return false
	}
	now := nc.k.n.l.Now()
	for _, s := range nc.open {
		if now-max(s.at, nc.readAt) > staleAfter {
			return true
		}
	}
	return false
}

// keepAlive has the system look after the connection, where its signs are proof.
func (nc *workerConn) keepAlive() {
	after := nc.k.n.keepAlive
	if after == 0 {
		return
	}
	if err := nc.c.KeepAlive(int(after / time.Second)); err != nil {
		nc.k.n.log.Warn("keepalive not set", "worker", nc.k.id, "err", err)
	}
}

// quiet reports whether the connection may be dead without a sign: nothing came for long, nor did
// the worker's system give a sign of its own.
func (nc *workerConn) quiet(now int64) bool {
	if now-nc.readAt <= maxQuiet || now < nc.aliveTo {
		return false
	}
	if nc.k.n.keepAlive == 0 {
		return true
	}
	if ago, ok := nc.c.LastAckAge(); ok {
		nc.aliveTo = now - ago + nc.k.n.keepAlive.Microseconds() + keepAliveSlack
	}
	return now >= nc.aliveTo
}

// lost takes the connection off its link and settles what was open on it. What had
// left this machine whole may have run. What had not never ran: where the
// connection broke under it, it goes out on another at once, which is not the
// worker's doing; where none came up, it ends.
func (nc *workerConn) lost(err error) {
	k := nc.k
	nc.half.Stop()
	nc.settle()
	if now := k.n.l.Now(); nc.wasUp && (errors.Is(err, errSilent) || !broke(err) && now-nc.readAt > staleAfter) {
		k.goneAt = now // else the worker knows of it
	}
	before := len(k.conns)
	k.conns = slices.DeleteFunc(k.conns, func(o *workerConn) bool { return o == nc })
	k.n.budget.WorkersConnected(len(k.conns) - before)
	var again []*sent
	for _, tag := range slices.Sorted(maps.Keys(nc.open)) {
		s := nc.open[tag]
		switch {
		case s.left(nc.c):
			k.n.trace("connection lost with offer open", tag, "worker", k.id, "err", err)
			k.fade(tag)
			continue
		case k.listed && s.tries < maxTries && broke(err):
			k.n.trace("offer resent", tag, "worker", k.id, "err", err)
			again = append(again, s)
			continue
		}
		k.n.trace("offer never sent", tag, "worker", k.id, "err", err)
		k.n.later(func() {
			k.n.core.TaskEnded(k.n.l.Now(), k.id, tag, placement.ConnectFailed, placement.CauseUnknown)
		})
	}
	for _, s := range nc.open {
		nc.settled(s)
	}
	for _, tag := range slices.Sorted(maps.Keys(nc.probes)) {
		nc.probed(tag, placement.ConnectFailed, "")
	}
	for _, s := range again {
		s.end = 0
		k.n.offer(k.id, s)
	}
}

// broke reports whether a connection ended in a way that says nothing of whether
// another one would come up.
func broke(err error) bool {
	return errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE) || errors.Is(err, eventloop.ErrEOF) ||
		errors.Is(err, jsonlines.ErrMessage)
}

func (nc *workerConn) send(m *jsonlines.Message) {
	if nc.c.IsUp() {
		nc.c.Write(jsonlines.Append(nil, m))
		return
	}
	nc.early = append(nc.early, jsonlines.Append(nil, m))
}

// Opened implements loop.Handler.
func (nc *workerConn) Opened(*eventloop.Conn) {
	nc.readAt = nc.k.n.l.Now()
	nc.wasUp, nc.k.openedAt = true, nc.readAt
	nc.keepAlive()
	if way := nc.readAt - nc.dialAt; nc.k.wayUs == 0 || way < nc.k.wayUs {
		nc.k.wayUs = way
	}
	nc.k.wait, nc.k.broke, nc.k.refusedAt = 0, false, 0
	if nc.k.failed {
		nc.k.failed = false
		nc.k.n.core.WorkerReachable(nc.readAt, nc.k.id)
	}
	for _, b := range nc.early {
		nc.c.Write(b)
	}
	nc.early = nil
	nc.releaseAgain()
	waiting := slices.SortedFunc(maps.Values(nc.open), func(a, b *sent) int { return cmp.Compare(a.at, b.at) })
	for _, s := range waiting {
		nc.start(s)
	}
	nc.k.prune()
}

// Closed implements loop.Handler.
func (nc *workerConn) Closed(_ *eventloop.Conn, err error) {
	k := nc.k
	if !errors.Is(err, eventloop.ErrEOF) || len(nc.open) > 0 {
		k.n.log.Warn("worker connection closed", "worker", k.id, "open", len(nc.open), "err", err)
	}
	nc.lost(err)
	k.failed = k.failed || !errors.Is(err, eventloop.ErrEOF)
	switch {
	case errors.Is(err, unix.ECONNREFUSED):
		k.refused()
		k.later()
	case errors.Is(err, eventloop.ErrTimeout):
		k.later()
	default:
		// Only a reset is what a dying process leaves; a message that can't be read is not.
		k.broke = k.broke || errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE)
		if len(k.conns) == 0 {
			k.later()
		}
	}
	if !k.listed && len(k.conns) == 0 {
		k.n.remove(k)
	}
}

// Data implements loop.Handler.
func (nc *workerConn) Data(_ *eventloop.Conn, b []byte) (int, error) {
	nc.readAt, nc.k.refusedAt = nc.k.n.l.Now(), 0
	used, err := jsonlines.Lines(b, func(line []byte) error {
		m, err := jsonlines.Parse(line)
		if err == nil && m.Verb == jsonlines.VerbStarted && !m.HasBlob {
			err = fmt.Errorf("%w: an answer without a description", jsonlines.ErrMessage)
		}
		if err != nil {
			nc.k.n.log.Warn("malformed worker message", "worker", nc.k.id, "err", err)
			return err
		}
		nc.message(&m)
		return nil
	})
	if used > 0 {
		nc.half.Stop()
	}
	if used < len(b) && err == nil && !nc.half.Pending() {
		nc.half = nc.k.n.l.After(maxHalf, func() {
			nc.c.Close()
			nc.Closed(nc.c, errHalf)
		})
	}
	return used, err
}

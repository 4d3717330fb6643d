package soak

import (
	"fmt"
	"io"
	"net"
	"time"

	"ravenhitch/internal/testbed"
)

// This file records and judges how long clients wait on connections that a process has to answer or to end.

// Limits of the protocol. A client that sends no message, or only a part of one, is owed an answer or the end of its
// connection within stalledLimit. pingLimit is the time within which a client of a sound connection is to be notified.
const (
	stalledLimit = 3 * time.Second
	pingLimit    = time.Second
)

// wait is a time in which a client waits on a connection for a message or the end of the connection.
type wait struct {
	process *process
	what    string
	since   time.Time
	limit   time.Duration
	endedAt time.Time // zero until the client gets what it waits for
}

// waits records that a client begins to wait. The returned function records that it got what it waited for.
func (l *ledger) waits(p *process, what string, limit time.Duration) (ended func(at time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	begun := &wait{process: p, what: what, since: time.Now(), limit: limit}
	l.allWaits = append(l.allWaits, begun)
	return func(at time.Time) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if begun.endedAt.IsZero() {
			begun.endedAt = at
		}
	}
}

// judgeWaits counts the clients that waited for longer than their limit. A wait ends with the process at the latest.
func (s *scenario) judgeWaits(v *verdict) {
	for _, w := range s.ledger.allWaits {
		due := w.since.Add(w.limit + ruleSlack)
		due = due.Add(s.pauses.TotalBetween(w.since, due))
		end := w.endedAt
		if end.IsZero() {
			end = s.endedAt
		}
		if end.After(due) {
			v.addViolation(&v.leftWaiting, "left_waiting (client left waiting)",
				fmt.Sprintf("%s: %s for %s, %s is allowed", w.process.Name, w.what, end.Sub(w.since).Round(time.Millisecond), w.limit))
		}
	}
}

// stall opens a connection that sends nothing, or half a message, and waits for its end.
func (p *process) stall(half bool) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", p.address, dialTimeout)
	if err != nil {
		return nil, err
	}
	what := "a connection that sends nothing stays open"
	if half {
		what = "a connection with half a message stays open"
		_, _ = conn.Write([]byte(`{"verb":"START","tag":"9b1f`)) // a write error is ignored: the process may have closed the connection
	}
	ended := p.scenario.ledger.waits(p, what, stalledLimit)
	go func() {
		_, _ = io.Copy(io.Discard, conn) // an error is an end of the connection, too
		ended(time.Now())
	}()
	return conn, nil
}

// ping sends a ping, whose answer is awaited until the connection ends.
func (c *client) ping() {
	c.lastPing++
	tag := testbed.RequestID(c.lastPing)
	c.pings[tag] = c.scenario.ledger.waits(c.process, "a ping has no answer", pingLimit)
	testbed.Send(c.conn, testbed.Line{Verb: "ECHO", Tag: tag, Opts: map[string]string{}})
}

// pingAnswered records the answer to a ping.
func (c *client) pingAnswered(line testbed.Line) {
	if ended := c.pings[line.Tag]; ended != nil {
		ended(time.Now())
		delete(c.pings, line.Tag)
	}
}

// pingsEnded records that the connection has ended or was closed, so that no answer is awaited any more.
func (c *client) pingsEnded(at time.Time) {
	for _, ended := range c.pings {
		ended(at)
	}
	clear(c.pings)
}

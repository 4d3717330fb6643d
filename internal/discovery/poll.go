package discovery

// This file owns the connections to discovery. A connection carries one poll at a time. If discovery is late to answer, the
// follower polls again on a new connection, and the connection of the late poll stays open for its answer: a discovery that
// answers each poll late would otherwise never be heard. Invariant: an answer is applied at most once per event, in
// whatever order the polls are answered (see Follower.Apply).

import (
	"errors"
	"net/http"

	"ravenhitch/internal/config"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/shard"
)

const (
	// maxLatePolls is the maximum number of late polls that still await their answers.
	maxLatePolls = 3
	// latePollMinDescriptors is the number of descriptors that must be free for a late poll to stay open.
	latePollMinDescriptors = 32
)

// pollConn is a connection to discovery, open or being dialled. It implements eventloop.Handler.
type pollConn struct {
	follower *Follower
	conn     *eventloop.Conn
	askedAt  int64     // time at which the latest poll was sent, in microseconds
	named    shard.Set // shards that this poll names
}

// isLate reports whether the follower has polled again on another connection since.
func (p *pollConn) isLate() bool { return p.follower.current != p }

// Opened implements eventloop.Handler. It sends the first poll on the connection.
func (p *pollConn) Opened(*eventloop.Conn) { p.follower.poll() }

// Closed implements eventloop.Handler.
func (p *pollConn) Closed(_ *eventloop.Conn, err error) {
	f := p.follower
	if p.isLate() {
		f.removeLate(p)
		return
	}
	if !errors.Is(err, eventloop.ErrEOF) {
		f.log.Warn("discovery connection failed", "cursor", f.cursor, "err", err)
	}
	f.restartIn(redialDelay)
}

// Data implements eventloop.Handler. It applies the response of the poll on this connection. It returns an error, which
// closes the connection, if the response is invalid or its status is not 200.
func (p *pollConn) Data(_ *eventloop.Conn, b []byte) (int, error) {
	r, used, complete, err := parseFinalResponse(b)
	if err != nil || !complete {
		return used, err
	}
	if r.status != http.StatusOK {
		return used, &StatusError{Status: r.status}
	}
	update, err := config.ParseUpdate(r.body)
	if err != nil {
		return used, err
	}
	if p.isLate() {
		p.follower.lateAnswer(p, update)
	} else {
		p.follower.answer(r, update, used < len(b))
	}
	return used, nil
}

package discovery

// This file owns the connections to discovery. A connection carries one poll at a time. If discovery is late to answer, the
// follower polls again on a new connection, and the connection of the late poll stays open for its answer: a discovery that
// answers each poll late would otherwise never be heard. An event is applied as soon as it has been read, so that an answer
// after a long outage may be longer than the memory, and what was read of an answer that breaks off is not read again.
// Invariant: an event is applied at most once, in whatever order the polls are answered (see Follower.Apply).

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
	reader   responseReader
	decoder  *config.UpdateDecoder
}

// begin prepares the connection for the answer to a poll that is sent now and names the given shards.
func (p *pollConn) begin(now int64, named shard.Set) {
	p.askedAt, p.named, p.reader = now, named, responseReader{}
	p.decoder = config.NewUpdateDecoder(p.handleEvent)
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
		f.log.Warn("discovery connection failed", "cursor", f.cursor, "staleness_us", f.Staleness(), "err", err)
	}
	f.restartIn(f.redialDelayAfter(err))
}

// Data implements eventloop.Handler. It reads the response to the poll on this connection. It returns an error, which closes the
// connection, if the response is invalid or its status is not 200.
func (p *pollConn) Data(_ *eventloop.Conn, b []byte) (int, error) {
	used, complete, err := p.reader.read(b, p)
	if err != nil || !complete {
		return used, err
	}
	cursor, err := p.decoder.End()
	if err != nil {
		return used, err
	}
	if p.isLate() {
		p.follower.lateAnswer(p, cursor)
	} else {
		p.follower.answer(p, cursor, used < len(b))
	}
	return used, nil
}

// handleHead implements responseHandler.
func (p *pollConn) handleHead(h head) error {
	if h.status != http.StatusOK {
		return &StatusError{Status: h.status}
	}
	if !p.isLate() {
		p.follower.observeDate(h.dateUs)
	}
	return nil
}

// handleBody implements responseHandler.
func (p *pollConn) handleBody(piece []byte) error { return p.decoder.Write(piece) }

// handleEvent applies an event of the answer, and logs the invalid workers that were left out of it.
func (p *pollConn) handleEvent(event config.Event, invalidWorkers []error) {
	f := p.follower
	for _, err := range invalidWorkers {
		f.log.Warn("invalid worker entry skipped", "err", err)
	}
	f.Apply(config.Update{Events: []config.Event{event}}, false)
	f.recordResponse()
	if !p.isLate() {
		f.awaitProgress()
	}
}

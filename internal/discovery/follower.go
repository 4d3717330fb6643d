// Package discovery is the client of discovery, from which an orchestrator learns the workers of its fleet; the wire
// calls it the command channel. The package polls it by HTTP/1.1 long polls, applies each event of the list of workers
// once and in order, and tracks the shards of workers that are assigned to this orchestrator.
package discovery

// This file owns the connection to discovery and the poll that waits on it. It polls without pause, since
// an event counts as delivered once discovery has it. It must never have two polls in flight, skip an event,
// or stop polling.

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"

	"ravenhitch/internal/config"
	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/ratelog"
	"ravenhitch/internal/workerpool"
)

// The units of the event loop's clock, which counts microseconds.
const (
	millisecond = 1_000
	second      = 1_000 * millisecond
)

const (
	// pollBlockMs is how long discovery may block a poll until there is an event, in milliseconds as the
	// poll names it. The poll is abandoned responseSlack after that.
	pollBlockMs   = 1_000
	responseSlack = 800 * millisecond
	// redialDelay is the pause before the next dial after one that failed.
	redialDelay = 100 * millisecond
	// syncDelay is how long discovery takes at most to answer a poll for events that it
	// already has: it blocks a poll only while it has no event for it.
	syncDelay = 300 * millisecond
)

// Follower polls discovery and applies what it reports. It belongs to the event loop.
type Follower struct {
	loop          *eventloop.Loop
	dispatcher    *dispatch.Dispatcher
	pool          *workerpool.Pool
	log           *ratelog.Logger
	address       string
	dialTimeoutUs int64
	cursor        int64            // number of the last event that was applied
	conn          *eventloop.Conn  // of the poll in flight, nil while there is none
	pollTimer     *eventloop.Timer // abandons that poll
	redialTimer   *eventloop.Timer // starts the next dial

	firstPollAt int64 // when discovery was first polled, 0 before that
	hasResponse bool  // whether it has answered a poll

	assignment *shardAssignment // nil where this orchestrator uses all workers
}

// NewFollower returns a follower of discovery at address that has applied nothing yet. A dial is
// abandoned after dialTimeoutUs.
func NewFollower(loop *eventloop.Loop, dispatcher *dispatch.Dispatcher, pool *workerpool.Pool, address string,
	dialTimeoutUs int64, log *slog.Logger) *Follower {
	return &Follower{loop: loop, dispatcher: dispatcher, pool: pool, address: address, dialTimeoutUs: dialTimeoutUs,
		log: ratelog.New(log)}
}

// Synced reports whether this process is in sync with discovery, which has answered once, or
// was polled and had no event for syncDelay.
func (f *Follower) Synced() bool {
	return f.hasResponse || f.firstPollAt > 0 && f.loop.Now()-f.firstPollAt > syncDelay
}

// Start dials discovery and polls it from then on.
func (f *Follower) Start() {
	conn, err := f.loop.Dial(f.address, f.dialTimeoutUs, f)
	if err != nil {
		f.log.Warn("discovery unreachable", "err", err)
		f.restartIn(redialDelay)
		return
	}
	f.conn = conn
}

// SetAddress continues at another address, with the events after the last one that was applied. The
// former address sends no more events, so that the poll in flight there is abandoned.
func (f *Follower) SetAddress(address string) {
	if address != f.address {
		f.address = address
		f.restartIn(0)
	}
}

// restartIn abandons the poll in flight and dials anew after a delay. Events that the abandoned poll did
// not bring completely come again, as the cursor is that of the last event that was applied.
func (f *Follower) restartIn(delayUs int64) {
	f.pollTimer.Stop()
	f.redialTimer.Stop()
	if f.conn != nil {
		f.conn.Close()
		f.conn = nil
	}
	f.redialTimer = f.loop.After(delayUs, f.Start)
}

// poll requests the events after the cursor.
func (f *Follower) poll() {
	blockMs := f.assignment.pollBlockMs()
	f.conn.Write([]byte(fmt.Sprintf("GET /cmd/next?resume=%d&block=%d%s HTTP/1.1\r\nHost: %s\r\n\r\n",
		f.cursor, blockMs, f.assignment.beginPoll(), f.address)))
	if f.firstPollAt == 0 {
		f.firstPollAt = f.loop.Now()
	}
	f.pollTimer.Stop()
	f.pollTimer = f.loop.After(blockMs*millisecond+responseSlack, f.abandonPoll)
}

// abandonPoll polls on a new connection, as no response came in time.
func (f *Follower) abandonPoll() {
	f.log.Warn("discovery timed out", "cursor", f.cursor)
	f.restartIn(0)
}

// Opened implements eventloop.Handler.
func (f *Follower) Opened(*eventloop.Conn) { f.poll() }

// Closed implements eventloop.Handler.
func (f *Follower) Closed(_ *eventloop.Conn, err error) {
	if !errors.Is(err, eventloop.ErrEOF) {
		f.log.Warn("discovery disconnected", "cursor", f.cursor, "err", err)
	}
	f.restartIn(redialDelay)
}

// Data implements eventloop.Handler. One response is outstanding at a time, and bytes after it were not requested:
// taken for the next response, they would make all later responses answer the poll before theirs.
func (f *Follower) Data(_ *eventloop.Conn, b []byte) (int, error) {
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
	f.pollTimer.Stop()
	f.hasResponse = true
	f.applyPolled(update)
	hasExcess := used < len(b)
	if hasExcess {
		f.log.Warn("unexpected bytes after discovery response", "cursor", f.cursor)
	}
	if hasExcess || !r.reusable {
		f.restartIn(0)
		return used, nil
	}
	f.poll()
	return used, nil
}

// applyPolled applies the response of the poll in flight.
func (f *Follower) applyPolled(update config.Update) {
	for _, err := range update.InvalidWorkers {
		f.log.Warn("invalid worker entry skipped", "err", err)
	}
	f.Apply(update, false)
	if f.assignment.endPoll() {
		f.publishAssignment()
	}
}

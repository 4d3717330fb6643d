// Package discovery is the client of the discovery service, which lists the workers of a fleet. The wire protocol calls
// the service the command channel. The package polls discovery with HTTP/1.1 long polls and applies the reported
// changes to the list of workers, in order and each only once. It also tracks the shards of workers that are assigned
// to this orchestrator.
package discovery

// This file owns the polls. The follower polls continuously, so that the orchestrator learns of an event as soon as
// discovery has it. Invariant: the follower has one poll in flight besides those that discovery is late to answer, never
// misses an event and never stops polling.

import (
	"fmt"
	"log/slog"
	"slices"

	"ravenhitch/internal/config"
	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/ratelog"
	"ravenhitch/internal/workerpool"
)

// These are units of time in microseconds, the unit of the event loop's clock.
const (
	millisecond = 1_000
	second      = 1_000 * millisecond
)

const (
	// pollBlockMs is the maximum time that discovery blocks a poll while there is no event. It applies if shard
	// assignment is not enabled. It is in milliseconds, the unit of the poll's parameter "block".
	pollBlockMs = 1_000
	// responseSlack is the additional time for the response to a poll to arrive. A poll is late if it is not answered
	// within its maximum blocking time plus responseSlack.
	responseSlack = 800 * millisecond
	// redialDelay is the delay before the next dial after a dial failed, or after a connection was closed by
	// discovery or because of an error.
	redialDelay = 100 * millisecond
	// syncDelay is the maximum time that discovery takes to answer a poll if it already has an event for the
	// poll. Otherwise, discovery blocks the poll. Events that discovery may delay do not count (see maxLateReportMs).
	syncDelay = 300 * millisecond
)

// Follower polls discovery and applies the events that discovery reports. It must be used on the event loop only.
type Follower struct {
	loop          *eventloop.Loop
	dispatcher    *dispatch.Dispatcher
	pool          *workerpool.Pool
	log           *ratelog.Logger
	address       string
	dialTimeoutUs int64
	cursor        int64            // all events with numbers up to this one have been processed
	current       *pollConn        // connection of the poll in flight, or being dialled for it; nil if there is none
	late          []*pollConn      // connections of polls that are late, oldest first
	pollTimer     *eventloop.Timer // declares the poll in flight late
	redialTimer   *eventloop.Timer // starts the next dial

	startTimes startTimes // of the workers, on the clock of the loop

	startedAt      int64 // time of the first dial in microseconds, 0 before it
	respondedAt    int64 // time in microseconds at which an event was last read or a poll was answered, 0 for never
	invalidAnswers int   // invalid answers since then
	counts         Counts

	firstPollAt int64 // Unix time of the first poll in microseconds, 0 before the first poll
	hasResponse bool  // discovery has answered at least one poll

	assignment *shardAssignment // nil if this orchestrator uses all workers
}

// NewFollower returns a follower that polls discovery at address once Start is called. dialTimeoutUs is the timeout
// of a dial in microseconds.
func NewFollower(loop *eventloop.Loop, dispatcher *dispatch.Dispatcher, pool *workerpool.Pool, address string,
	dialTimeoutUs int64, log *slog.Logger) *Follower {
	return &Follower{loop: loop, dispatcher: dispatcher, pool: pool, address: address, dialTimeoutUs: dialTimeoutUs,
		log: ratelog.New(log)}
}

// Synced reports whether the follower has been in sync with discovery at least once: discovery has answered a poll, or
// more than syncDelay has passed since the first poll. In the second case, the follower assumes that discovery had no
// event to report. The result stays true during a later outage of discovery.
func (f *Follower) Synced() bool {
	return f.hasResponse || f.firstPollAt > 0 && f.loop.Now()-f.firstPollAt > syncDelay
}

// Start dials discovery. The follower polls discovery from the time the connection opens. If the dial cannot be
// started, the follower dials again after redialDelay.
func (f *Follower) Start() {
	if f.startedAt == 0 {
		f.startedAt = f.loop.Now()
	}
	next := &pollConn{follower: f}
	conn, err := f.loop.Dial(f.address, f.dialTimeoutUs, next)
	if err != nil {
		f.log.Warn("discovery unreachable", "staleness_us", f.Staleness(), "err", err)
		f.restartIn(redialDelay)
		return
	}
	next.conn = conn
	f.current = next
}

// SetAddress changes the address of discovery. If the new address differs from the old one, the polls at the old one are
// abandoned, because no more events are expected from there. The next poll goes to the new address and requests the events
// after the cursor.
func (f *Follower) SetAddress(address string) {
	if address != f.address {
		f.address = address
		f.dropLate()
		f.restartIn(0)
	}
}

// restartIn abandons the poll in flight, closes its connection, and dials again after a delay in microseconds. No event
// is lost: the next poll requests all events after the cursor, and the cursor moves only when a complete response is
// applied.
func (f *Follower) restartIn(delayUs int64) {
	if f.current != nil {
		f.current.conn.Close()
	}
	f.redialIn(delayUs)
}

// redialIn dials a connection for the next poll after a delay in microseconds.
func (f *Follower) redialIn(delayUs int64) {
	f.pollTimer.Stop()
	f.redialTimer.Stop()
	f.current = nil
	f.redialTimer = f.loop.After(delayUs, f.Start)
}

// poll sends a request for the events after the cursor on the current connection, and starts the timer that declares the
// poll late.
func (f *Follower) poll() {
	current, blockMs := f.current, f.assignment.pollBlockMs()
	query, named := f.assignment.beginPoll()
	current.begin(f.loop.Now(), named)
	current.conn.Write([]byte(fmt.Sprintf("GET /cmd/next?resume=%d&block=%d%s HTTP/1.1\r\nHost: %s\r\n\r\n",
		f.cursor, blockMs, query, f.address)))
	if f.firstPollAt == 0 {
		f.firstPollAt = f.loop.Now()
	}
	f.pollTimer.Stop()
	f.pollTimer = f.loop.After(blockMs*millisecond+responseSlack, f.pollLate)
}

// pollLate polls on a new connection, because the poll in flight was not answered in time. The connection of the late poll
// stays open if enough descriptors are free. If there are more than maxLatePolls, the oldest one is closed.
func (f *Follower) pollLate() {
	f.counts.Late++
	f.log.Warn("discovery timed out", "cursor", f.cursor, "late_polls", len(f.late)+1, "staleness_us", f.Staleness())
	if f.loop.FreeDescriptors() < latePollMinDescriptors {
		f.dropLate()
		f.restartIn(0)
		return
	}
	f.late = append(f.late, f.current)
	if len(f.late) > maxLatePolls {
		f.late[0].conn.Close()
		f.late = f.late[1:]
	}
	f.redialIn(0)
}

// removeLate removes a late poll whose connection has ended.
func (f *Follower) removeLate(p *pollConn) {
	f.late = slices.DeleteFunc(f.late, func(other *pollConn) bool { return other == p })
}

// dropLate closes the connections of all late polls.
func (f *Follower) dropLate() {
	for _, p := range f.late {
		p.conn.Close()
	}
	f.late = nil
}

// awaitProgress gives discovery responseSlack to send the next event of a long answer, before the poll in flight is late.
func (f *Follower) awaitProgress() {
	f.pollTimer.Stop()
	f.pollTimer = f.loop.After(responseSlack, f.pollLate)
}

// lateAnswer handles the end of the answer to a late poll and closes its connection, and those of the polls before it, whose
// answers can hold nothing more.
func (f *Follower) lateAnswer(p *pollConn, cursor int64) {
	f.log.Warn("discovery answered late", "cursor", cursor, "age_us", f.loop.Now()-p.askedAt)
	f.endPoll(p, cursor)
	answered := slices.Index(f.late, p) + 1
	for _, older := range f.late[:answered] {
		older.conn.Close()
	}
	f.late = slices.Clone(f.late[answered:])
}

// answer handles the end of the answer to the poll in flight and sends the next poll. It drops the late polls, whose answers can
// hold nothing more. At most one poll is in flight on a connection, so bytes that follow its response belong to no request. If
// there are such bytes, the next poll is sent on a new connection. On the old connection, they would be read as the
// response to the next poll, and every later response would be matched to the wrong poll. A new connection is also used if
// the response does not permit another request on the old one.
func (f *Follower) answer(p *pollConn, cursor int64, hasExcess bool) {
	f.pollTimer.Stop()
	f.dropLate()
	f.endPoll(p, cursor)
	if hasExcess {
		f.log.Warn("unexpected bytes after discovery response", "cursor", f.cursor)
	}
	if hasExcess || !p.reader.head.reusable {
		f.restartIn(0)
		return
	}
	f.poll()
}

// endPoll handles the end of an answer whose events have been applied, and moves the cursor to that of the answer. It activates
// the shards that the poll named and that are still assigned.
func (f *Follower) endPoll(p *pollConn, cursor int64) {
	f.hasResponse = true
	f.recordResponse()
	f.Apply(config.Update{Cursor: cursor}, false)
	if f.assignment.endPoll(p.named) {
		f.publishAssignment()
	}
}

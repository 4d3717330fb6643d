package clientfront

// This file owns one connection of a client: what comes on it, what it may not send, and the
// answers that go out on it. It must never pass on what a client may not send.

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/jsonlines"
	"ravenhitch/placement"
)

// clientConn is one connection. It is the core.Owner of the set-ups that came on it.
type clientConn struct {
	f      *Front
	c      *eventloop.Conn
	open   map[string]bool // set-ups that are owed an answer
	usedAt int64           // when it came, or when its last whole message did
	halfAt int64           // since when half a message waits for the rest, or 0
	spoke  bool            // a whole message came
	bound  bool            // a task of its was started, or found running
	served bool            // a task of its was started
	faults int             // messages that can't be used
	number uint64          // of the connection, from 1
}

// What a connection was good for so far.
const (
	usedForNothing = iota
	usedToBegin    // a part of its first word came
	usedToSpeak
	usedForTasks // it said where a task of its runs
	usedToStart  // a task of its was started
)

// use is what the connection was good for so far.
func (o *clientConn) use() int {
	switch {
	case o.served:
		return usedToStart
	case o.bound:
		return usedForTasks
	case o.spoke:
		return usedToSpeak
	case o.halfAt > 0:
		return usedToBegin
	}
	return usedForNothing
}

// minRest is how long it must have been quiet to be closed for another. Who has not read
// all its answers has as long for that as for writing a message.
func (o *clientConn) minRest() int64 {
	switch {
	case o.c.BytesBuffered() > 0:
		return maxHush
	case o.bound:
		return minIdle
	}
	return minHush
}

func (o *clientConn) Opened(c *eventloop.Conn) {
	o.c, o.usedAt = c, o.f.l.Now()
	o.f.conns[o] = true
	o.f.dials++
	o.number = o.f.dials
}

// LastSeenAt implements core.Attended.
func (o *clientConn) LastSeenAt() int64 { return o.c.LastSeenAt() }

func (o *clientConn) Closed(_ *eventloop.Conn, _ error) {
	o.f.drop(o)
	for _, tag := range slices.Sorted(maps.Keys(o.open)) {
		o.f.core.Cancel(o.f.l.Now(), o, tag)
	}
	o.open = nil
}

// end closes the connection from this side. What is open on it is answered
// first, at once: nothing more that comes on it can be read.
func (o *clientConn) end() {
	for _, tag := range slices.Sorted(maps.Keys(o.open)) {
		o.f.core.Reject(o.f.l.Now(), o, tag)
	}
	o.f.drop(o)
	o.c.Close()
}

func (o *clientConn) Data(_ *eventloop.Conn, b []byte) (int, error) {
	now := o.f.l.Now()
	used, err := jsonlines.Lines(b, func(line []byte) error {
		m, err := jsonlines.Parse(line)
		if err != nil {
			return err
		}
		return o.message(now, &m)
	})
	if err != nil {
		o.f.log.Warn("malformed client message", "err", err)
		o.end()
		return used, nil
	}
	switch {
	case used == len(b):
		o.halfAt = 0
	case used > 0 || o.halfAt == 0:
		o.halfAt = now
	}
	return used, nil
}

// message takes one message. An error ends the connection.
func (o *clientConn) message(now int64, m *jsonlines.Message) error {
	o.usedAt, o.spoke = now, true
	if o.served {
		o.f.latest = o
	}
	switch m.Verb {
	case jsonlines.VerbStart:
		return o.setup(now, m)
	case jsonlines.VerbFinish:
		switch {
		case o.open[m.Tag]:
			delete(o.open, m.Tag)
			o.f.core.Cancel(now, o, m.Tag)
		case o.f.core.IsRunning(m.Tag) && !o.f.core.IsResumable(m.Tag): // else another's, or by another front
			o.f.core.Cancel(now, nil, m.Tag)
		}
		o.send(&jsonlines.Message{Verb: jsonlines.VerbFinished, Tag: m.Tag})
	case jsonlines.VerbEcho:
		o.f.flush(o)
		o.send(&jsonlines.Message{Verb: jsonlines.VerbEchoed, Tag: m.Tag, RC: 1, HasRC: true})
	case jsonlines.VerbPending, jsonlines.VerbFinished, jsonlines.VerbEchoed, jsonlines.VerbNotice:
	default:
		return o.fault(m.Tag, fmt.Errorf("%w: unknown type %.40q", jsonlines.ErrMessage, m.Verb))
	}
	return nil
}

// setup takes a set-up, or turns it away with an answer of its own.
func (o *clientConn) setup(now int64, m *jsonlines.Message) error {
	s, err := setup(m)
	if _, ok := o.f.core.Class(s.Class); err == nil && !ok {
		err = fmt.Errorf("%w: unknown class %.40q", jsonlines.ErrMessage, s.Class)
	}
	switch {
	case o.open[m.Tag]:
		// An answer could not be told to be for one or the other: one for both.
		o.f.core.Reject(now, o, m.Tag)
		o.f.log.Warn("duplicate request ID on connection", "request_id", m.Tag)
		return o.faulty()
	case err != nil:
		return o.fault(m.Tag, err)
	case s.RunningOn == "" && !o.bound && len(o.open) >= maxOpen:
		wait := int64(0)
		if o.f.core.AdvisesRetryAfter() {
			wait = minIdle
		}
		o.Respond(dispatch.Response{Kind: dispatch.Rejected, RequestID: m.Tag, RetryAfterUs: wait})
		o.f.log.Warn("too many open requests on new connection", "open", len(o.open))
		return nil
	}
	s.ReceivedAtUs, s.Connection = o.c.EarliestArrival(), o.number
	known := o.f.core.IsRunning(s.RequestID) || o.f.core.IsTerminating(s.RequestID)
	if err := o.f.core.Submit(now, o, s); err != nil {
		return o.fault(m.Tag, err)
	}
	if s.RunningOn == "" {
		o.open[s.RequestID] = true
	} else if !known && o.f.core.IsListed(s.RunningOn) { // who repeats what is known may be anybody
		o.bound = true
		o.f.flush(o)
	}
	return nil
}

// fault answers a message that can't be used. What its tag may name elsewhere is
// not touched.
func (o *clientConn) fault(tag string, err error) error {
	o.f.log.Warn("invalid client message", "request_id", tag, "err", err)
	o.send(&jsonlines.Message{Verb: jsonlines.VerbFinish, Tag: tag, RC: jsonlines.CauseError, HasRC: true})
	return o.faulty()
}

// faulty counts what can't be used, up to the end of the connection.
func (o *clientConn) faulty() error {
	if o.faults++; o.faults >= maxFaults && !o.bound {
		return fmt.Errorf("%w: the %dth that can't be used", jsonlines.ErrMessage, o.faults)
	}
	return nil
}

// setup reads what a set-up asks for.
func setup(m *jsonlines.Message) (dispatch.Submission, error) {
	s := dispatch.Submission{RequestID: m.Tag, Class: m.Opt("class"), Key: m.Opt("key"), Idem: m.Opt("idem"), Tenant: m.Opt("tenant"),
		Description: m.Blob}
	bad := func(what string) (dispatch.Submission, error) {
		return s, fmt.Errorf("%w: a set-up without a usable %s", jsonlines.ErrMessage, what)
	}
	for _, pair := range strings.Split(m.Opt("extras"), ";") {
		name, value, _ := strings.Cut(pair, ":")
		var err error
		switch name {
		case "cores":
			s.Cores, err = strconv.ParseFloat(value, 64)
		case "memory":
			s.Memory, err = strconv.ParseFloat(value, 64)
		case "service":
			s.Program, err = strconv.ParseUint(value, 16, 64)
		case "at":
			s.RunningOn = value
		}
		if err != nil {
			return bad(name)
		}
	}
	if text := m.Opt("hint"); text != "" {
		hint, err := strconv.ParseFloat(text, 64)
		if err != nil || hint != hint {
			return bad("hint")
		}
		s.ExpectedRunUs = int64(min(max(hint, -1), maxLeft) * 1000)
	}
	if text := m.Opt("retry"); text != "" {
		tries, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return bad("retry")
		}
		s.Retry = tries > 0
	}
	if s.RunningOn == "" { // else no answer is waited for
		left, err := strconv.ParseFloat(m.Opt("left"), 64)
		if err != nil || left != left {
			return bad("wait")
		}
		s.TimeoutUs = int64(min(max(left, 0), maxLeft) * 1000)
	}
	if invalid := s.Validate(); invalid != nil {
		return bad(invalid.Field)
	}
	if !m.HasBlob {
		return bad("description")
	}
	return s, nil
}

func (o *clientConn) send(m *jsonlines.Message) { o.c.Write(jsonlines.Append(nil, m)) }

// Respond implements core.Owner. A task that stands belongs to no connection:
// its end goes out on another where its own is gone.
func (o *clientConn) Respond(a dispatch.Response) {
	m := jsonlines.Message{Verb: jsonlines.VerbFinish, Tag: a.RequestID, HasRC: true}
	switch a.Kind {
	case dispatch.Started:
		m = jsonlines.Message{Verb: jsonlines.VerbStarted, Tag: a.RequestID, Blob: a.Description, HasBlob: true}
	case dispatch.Rejected:
		m.RC = jsonlines.CauseFull
		if a.RetryAfterUs > 0 {
			m.Opts = []jsonlines.Field{{Name: "wait", Value: strconv.FormatInt((a.RetryAfterUs+999)/1000, 10)}}
		}
	case dispatch.Failed:
		m.RC = jsonlines.CauseError
	case dispatch.Completed:
		m.RC = jsonlines.CauseGivenUp
		if a.Outcome != placement.Completed {
			m.RC = jsonlines.CauseReset
		}
	case dispatch.Migrated:
		m = jsonlines.Message{Verb: jsonlines.VerbMove, Tag: a.RequestID}
	}
	switch a.Kind {
	case dispatch.Started:
		o.bound, o.served, o.f.latest = true, true, o
		o.f.flush(o)
		fallthrough
	case dispatch.Rejected, dispatch.Failed:
		delete(o.open, a.RequestID)
		o.send(&m)
		return
	}
	to := o
	if !o.c.IsUp() {
		to = o.f.any(usedForTasks)
	}
	if to != nil {
		o.f.tracer.Step("completion sent", a.RequestID, o.f.l.Now(), "connection", to.number, "own", to == o, "use", to.use())
		to.send(&m)
		return
	}
	o.f.tracer.Step("completion unreported", a.RequestID, o.f.l.Now())
	if len(o.f.unsent) < maxUnsent {
		o.f.unsent = append(o.f.unsent, unsent{o.f.l.Now(), jsonlines.Append(nil, &m)})
	}
}

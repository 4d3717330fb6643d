package platform

// This file owns the connections from owners: which set-ups came on which, what
// is still owed to each, and the releases that found no connection. It decides
// nothing about tasks, and must never close a connection that is owed an answer
// while it can still be given one.

import (
	"errors"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"ravenhitch"
	"ravenhitch/internal/core"
	"ravenhitch/internal/loop"
)

// The causes of the protocol.
const (
	causeGivenUp   = 16
	causeCancelled = 31
	causeFull      = 34
	causeReset     = 41
	causeError     = 47
	causeMoot      = 102
)

// Front serves owners.
type Front struct {
	l      *loop.Loop
	core   *core.Core
	log    *Limited
	most   int // connections
	conns  map[*owner]bool
	latest *owner
	unsent [][]byte // releases that found no connection
}

// idleLeast is how long a connection must have been quiet to be closed for
// another: a set-up may be on its way on one that was just used.
const idleLeast = 1_000_000

// unsentMost bounds the releases that wait for an owner to connect.
const unsentMost = 10_000

// NewFront returns a front that holds at most so many connections.
func NewFront(l *loop.Loop, c *core.Core, most int, log *slog.Logger) *Front {
	return &Front{l: l, core: c, most: most, log: NewLimited(log), conns: map[*owner]bool{}}
}

// Connections is how many owners are connected.
func (f *Front) Connections() int { return len(f.conns) }

// Listen starts to accept owners.
func (f *Front) Listen(addr string) (string, error) {
	return f.l.Listen(addr, f.room, func() loop.Handler {
		o := &owner{f: f, open: map[string]bool{}}
		return o
	})
}

// room closes the connection with nothing on it that was quiet longest where the
// limit is reached.
func (f *Front) room() bool {
	if len(f.conns) < f.most {
		return true
	}
	var idle *owner
	for o := range f.conns {
		if len(o.open) == 0 && (idle == nil || o.usedAt < idle.usedAt) {
			idle = o
		}
	}
	if idle == nil || f.l.Now()-idle.usedAt < idleLeast {
		f.log.Warn("no room for another owner", "connections", len(f.conns))
		return false
	}
	f.drop(idle)
	idle.c.Close()
	return true
}

func (f *Front) drop(o *owner) {
	delete(f.conns, o)
	if f.latest == o {
		f.latest = nil
	}
}

// any returns a connection that is up, or nil: the one used last, if it is.
func (f *Front) any() *owner {
	if f.latest != nil && f.latest.c.Up() && !f.latest.bad {
		return f.latest
	}
	var best *owner
	for o := range f.conns {
		if o.c.Up() && !o.bad && (best == nil || o.usedAt > best.usedAt) {
			best = o
		}
	}
	return best
}

// owner is one connection. It is the core.Owner of the set-ups that came on it.
type owner struct {
	f      *Front
	c      *loop.Conn
	open   map[string]bool // set-ups that are owed an answer
	usedAt int64
	bad    bool // sent something malformed
}

func (o *owner) Opened(c *loop.Conn) {
	o.c, o.usedAt = c, o.f.l.Now()
	o.f.conns[o] = true
	for _, b := range o.f.unsent {
		c.Write(b)
	}
	o.f.unsent = nil
}

func (o *owner) Closed(_ *loop.Conn, _ error) {
	o.f.drop(o)
	for _, tag := range slices.Sorted(maps.Keys(o.open)) {
		o.f.core.Withdraw(o.f.l.Now(), o, tag)
	}
	o.open = nil
}

func (o *owner) Data(c *loop.Conn, b []byte) (int, error) {
	now := o.f.l.Now()
	o.usedAt, o.f.latest = now, o
	used, err := lines(b, func(line []byte) error {
		m, err := Parse(line)
		if err != nil {
			return err
		}
		o.message(now, &m)
		return nil
	})
	if err == nil {
		return used, nil
	}
	o.f.log.Warn("malformed message from an owner", "err", err)
	if len(o.open) == 0 {
		return used, err
	}
	// What was taken before is still owed its answer.
	o.bad = true
	c.Pause()
	return len(b), nil
}

func (o *owner) message(now int64, m *Message) {
	switch m.Verb {
	case verbStart:
		s, ok := setup(m)
		if !ok {
			o.f.log.Warn("a set-up without a usable tag, class or wait", "tag", m.Tag)
			if m.Tag != "" && !o.open[m.Tag] {
				o.send(&Message{Verb: verbFinish, Tag: m.Tag, RC: causeError, HasRC: true})
			}
			return
		}
		if s.At == "" {
			o.open[s.Tag] = true
		}
		if err := o.f.core.Submit(now, o, s); err != nil {
			o.f.log.Warn("a set-up was not taken", "tag", m.Tag, "err", err)
			if !errors.Is(err, core.ErrTag) {
				o.Answer(core.Answer{Kind: core.Failed, Tag: m.Tag})
			}
		}
	case verbFinish:
		delete(o.open, m.Tag)
		if !o.f.core.Resumable(m.Tag) { // else it came by another front
			o.f.core.Withdraw(now, nil, m.Tag)
		}
		o.send(&Message{Verb: verbFinished, Tag: m.Tag})
	case verbEcho:
		o.send(&Message{Verb: verbEchoed, Tag: m.Tag, RC: 1, HasRC: true})
	case verbPending, verbFinished, verbEchoed, verbNotice:
	default:
		o.f.log.Warn("a message of an unknown type", "verb", m.Verb)
	}
}

// setup reads what a set-up asks for.
func setup(m *Message) (core.Setup, bool) {
	s := core.Setup{Tag: m.Tag, Class: m.Opt("class"), Key: m.Opt("key"), Description: m.Blob}
	if len(m.Tag) != 16 || strings.Trim(m.Tag, "0123456789abcdefABCDEF") != "" {
		return s, false
	}
	for _, pair := range strings.Split(m.Opt("extras"), ";") {
		name, value, _ := strings.Cut(pair, ":")
		switch name {
		case "cores":
			s.Cores, _ = strconv.ParseFloat(value, 64)
		case "memory":
			s.Mem, _ = strconv.ParseFloat(value, 64)
		case "service":
			s.Service, _ = strconv.ParseUint(value, 16, 64)
		case "at":
			s.At = value
		}
	}
	left, err := strconv.ParseFloat(m.Opt("left"), 64)
	if s.At == "" && (err != nil || left != left) {
		return s, false // absent, or not a number though ParseFloat takes it
	}
	if s.At != "" {
		left = 0 // no answer is waited for
	}
	s.WaitUs = int64(min(max(left, 0), 1e9) * 1000)
	fine := func(v float64) bool { return v >= 0 && v < 1e9 }
	return s, s.Class != "" && fine(s.Cores) && fine(s.Mem)
}

func (o *owner) send(m *Message) { o.c.Write(Append(nil, m)) }

// Answer implements core.Owner. A task that stands belongs to no connection:
// its end goes out on another where its own is gone.
func (o *owner) Answer(a core.Answer) {
	m := Message{Verb: verbFinish, Tag: a.Tag, HasRC: true}
	switch a.Kind {
	case core.Started:
		m = Message{Verb: verbStarted, Tag: a.Tag, Blob: a.Description, HasBlob: true}
	case core.Refused:
		m.RC = causeFull
		m.Opts = []Field{{"wait", strconv.FormatInt((a.WaitUs+999)/1000, 10)}}
	case core.Failed:
		m.RC = causeError
	case core.Over:
		m.RC = causeGivenUp
		if a.Status != ravenhitch.OK {
			m.RC = causeReset
		}
	case core.Moved:
		m = Message{Verb: verbMove, Tag: a.Tag}
	}
	switch a.Kind {
	case core.Started, core.Refused, core.Failed:
		delete(o.open, a.Tag)
		o.send(&m)
		if o.bad && len(o.open) == 0 {
			o.f.drop(o)
			o.c.Close()
		}
		return
	}
	to := o
	if !o.c.Up() || o.bad {
		to = o.f.any()
	}
	if to != nil {
		to.send(&m)
		return
	}
	if len(o.f.unsent) < unsentMost {
		o.f.unsent = append(o.f.unsent, Append(nil, &m))
	}
}

// Limited is a log whose lines of one text are limited to a few a second.
type Limited struct {
	log  *slog.Logger
	seen map[string]*burst
}

type burst struct {
	at      time.Time
	n, mute int
}

const (
	limitEvery = time.Second
	limitLines = 5
)

// NewLimited returns a Limited over log.
func NewLimited(log *slog.Logger) *Limited { return &Limited{log: log, seen: map[string]*burst{}} }

// Warn logs a line, unless the text had its lines of this second.
func (l *Limited) Warn(text string, args ...any) {
	b := l.seen[text]
	if b == nil {
		b = &burst{}
		l.seen[text] = b
	}
	if now := time.Now(); now.Sub(b.at) > limitEvery {
		if b.mute > 0 {
			l.log.Warn(text, "left_out", b.mute)
		}
		*b = burst{at: now}
	}
	if b.n++; b.n > limitLines {
		b.mute++
		return
	}
	l.log.Warn(text, args...)
}

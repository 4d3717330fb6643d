// Package core owns the request table: every request that an owner has handed
// in and every task that stands, from their first message to their last. It
// turns what happened into events of the decision module, and the module's
// actions into offers, answers and releases. It knows no wire and no socket,
// and it reads no clock: the time is passed in.
//
// The invariants hold here, whatever a front, a node or the module does: one
// final answer for each request, one attempt out at a time, no offer after the
// end, none to a node past the drain limit, and at most one start of a task
// that must not run twice. Nothing here may block, and nothing but this package
// may decide that a request is over.
package core

import (
	"container/heap"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"strconv"
	"strings"

	"ravenhitch"
	"ravenhitch/internal/storm"
)

const (
	// cutWait is how long a node has to tell the end of a task that was released or
	// moved before it is taken as told.
	cutWait = 700_000
	// orphanAfter is how long a task may stand on a node that is on no list.
	orphanAfter = 3_000_000
	// openAfter is the same for a task that was handed in as standing on a node that
	// no list ever named: nobody else will tell its owner.
	openAfter  = 1_500_000
	sweepEvery = 500_000
	// toldMost is how long it is remembered that a node has left: well past the
	// last offer that could still be meant for it.
	toldMost = 60_000_000
	// drainMargin is how long before the drain limit offers end here.
	drainMargin = 500_000
	// pastMost bounds the final words kept for set-ups that may be repeated.
	pastMost = 4096
)

// Setup is what an owner asks for. Description is opaque.
type Setup struct {
	Tag, Class, Key string
	WaitUs          int64  // how long the owner waits from CameUs on
	CameUs          int64  // the earliest that the set-up can have come, 0 for now
	SinceUs         int64  // since when its owner proved to stand in line, 0 where it did not
	Tries           int    // refusals before, as proved
	From            uint64 // the connection or session that it came by, 0 where none is told
	Cores, Mem      float64
	Service         uint64
	At              string // the node that holds the task already, or ""
	Description     string
	// Resumes says that the owner repeats a set-up whose answer it has not read: a
	// set-up of a task that is open or stands gets that one's answer.
	Resumes bool
}

// The bounds of what an owner may ask for. A longer wait than a day, or a figure of
// a million million, is a slip or worse.
const (
	waitMost   = int64(86_400_000_000)
	figureMost = 1e9
	nameMost   = 64
)

// Fault names the first field of a set-up that makes no sense, and what was expected
// of it; "" where there is none. Fronts ask before they submit: what no node could
// use must reach none, as its error would speak against the node.
func (s *Setup) Fault() (field, want string) {
	fine := func(v float64) bool { return v > 0 && v < figureMost } // NaN is not
	switch {
	case len(s.Tag) != 16 || strings.Trim(s.Tag, "0123456789abcdefABCDEF") != "":
		return "tag", "16 hex digits"
	case s.Key == "" || len(s.Key) > nameMost:
		return "task", "a name of 1 to 64 bytes"
	case s.Class == "" || len(s.Class) > nameMost:
		return "class", "a name of 1 to 64 bytes"
	case !fine(s.Cores):
		return "cores", "a number above 0"
	case !fine(s.Mem):
		return "memory", "a number above 0"
	case s.At == "" && (s.WaitUs <= 0 || s.WaitUs > waitMost):
		return "wait", "a time above 0, a day at most"
	}
	return "", ""
}

// The errors of Submit. Nothing was taken then, and no answer is owed.
var (
	ErrTag     = errors.New("core: the tag is in use")
	ErrTask    = errors.New("core: the task was handed in elsewhere")
	ErrLeaving = errors.New("core: the task is just being ended")
)

// AnswerKind is what an owner is told.
type AnswerKind int

// The answers. Started, Refused and Failed are final answers to a set-up, Over
// and Moved end a task that stands.
const (
	Started AnswerKind = iota
	Refused
	Failed
	Over
	Moved
	Withdrew // only to a repeated set-up: its owner withdrew it
)

// Answer is what an owner is told of its task.
type Answer struct {
	Kind        AnswerKind
	Tag         string
	Description string            // Started: what the node gave
	WaitUs      int64             // Refused: how long to stay away
	SinceUs     int64             // Refused: since when its owner stands in line
	Tries       int               // Refused: how often it was, as far as was proved
	Status      ravenhitch.Status // Over: how the task ended
	Why         ravenhitch.Why    // Refused, Over: the reason, where one was told
	Node        string            // Started: where it stands
}

// Owner is told the answers to the requests that it handed in.
type Owner interface {
	Answer(a Answer)
}

// Class is what a front may know of a class.
type Class struct{ WaitUs int64 }

// Class returns what is known of a class.
func (c *Core) Class(name string) (Class, bool) {
	for _, k := range c.set.Classes {
		if k.Name == name {
			return Class{WaitUs: k.DeadlineUs}, true
		}
	}
	return Class{}, false
}

// Offer is an attempt as a node gets it.
type Offer struct {
	Tag, Class, Key string
	WaitUs          int64
	Description     string
}

// Nodes carries offers to nodes. What comes of them is told with NodeStarted,
// NodeEnded, NodeNote and NodeSampled, never from within these calls.
type Nodes interface {
	Offer(node string, o Offer)
	// GiveUp withdraws an offer that was not answered, ahead of whatever is offered
	// after it. It reports whether the attempt is over for sure; where it is not,
	// NodeGaveUp tells when it is.
	GiveUp(node, tag string) (sure bool)
	// Release ends a task that stands.
	Release(node, tag string)
	Probe(node string)
}

type state int

const (
	fresh    state = iota // not in the table yet
	waiting               // no attempt is out
	out                   // an attempt is out
	ending                // the attempt was given up, and may still be out
	standing              // the node has said yes
	leaving               // released or moved; the node's word is awaited
	gone                  // its owner gave it up
)

// request is one request, or one task that stands.
type request struct {
	Setup
	owner    Owner
	state    state
	number   uint64 // of its task
	class    int    // in the settings, the last where it is not there
	units    float64
	deadline int64
	effect   ravenhitch.Effect
	attempts int
	copy     int // the number of the attempt that is out or stands
	sentAt   int64
	abandon  int64
	node     string
	mayRun   bool              // an attempt may have started
	endAs    ravenhitch.Status // ending: what becomes of the attempt
	reply    string            // the tag that the owner knows it by
	binding  string            // what the node gave
	lostAt   int64
	due      int64 // when the core itself acts, or 0
	index    int   // in the heap
}

// open reports whether its owner is owed an answer.
func (r *request) open() bool { return r.state == waiting || r.state == out || r.state == ending }

// Counts are what the core has seen so far.
type Counts struct {
	Requests, Started, Refused, Failed, Over, Moved, Withdrawn, Opened, Resumed int64
	Offers, TimedOut, ConnectFailed, Full, Reset, Guarded                       int64
}

// Core is the request table round one decision module. It is not safe for
// concurrent use.
type Core struct {
	placer  *ravenhitch.Placer
	set     ravenhitch.Settings
	effects map[string]ravenhitch.Effect
	nodes   Nodes
	log     *slog.Logger
	now     int64
	reqs    map[string]*request
	keys    map[string]*request // the latest live request of each task
	alias   map[string]*request // further tags of resumed requests
	past    map[string]Answer   // final words on set-ups that may be repeated
	pastAge []string
	due     dues
	bells   bells
	events  []ravenhitch.Event
	told    map[string]int64 // when a node was told to drain or to be gone
	listed  map[string]bool
	channel bool // the list is followed
	observe bool // the module waits for the list
	advisor Advisor
	classes map[string]int
	held    []float64 // units that wait for room, by class
	waits   int       // requests that do
	after   []float64 // the same after the actions of a turn; kept for its room
	pressed pressure
	spread  spread
	sweepAt int64
	counts  Counts
	ends    map[string]Ends // by class
	roster  roster
	tracer  Tracer
}

// New returns a core that decides with a new module.
func New(s ravenhitch.Settings, seed uint64, nodes Nodes, log *slog.Logger) (*Core, error) {
	p, err := ravenhitch.New(s, seed)
	if err != nil {
		return nil, fmt.Errorf("core: %w", err)
	}
	c := &Core{placer: p, set: s, effects: map[string]ravenhitch.Effect{}, nodes: nodes, log: log,
		reqs: map[string]*request{}, keys: map[string]*request{}, alias: map[string]*request{},
		past: map[string]Answer{}, told: map[string]int64{}, listed: map[string]bool{},
		advisor: storm.New(StormSettings(s), seed), classes: map[string]int{}, held: make([]float64, len(s.Classes)),
		tracer: Tracer{Log: log}, ends: map[string]Ends{},
		roster: roster{last: map[string]ravenhitch.Entry{}, out: map[string]bool{}, back: map[string]bool{}}}
	for i, k := range s.Classes {
		c.effects[k.Name] = k.Effect
		c.classes[k.Name] = i
	}
	return c, nil
}

// Counts returns what was seen so far.
func (c *Core) Counts() Counts { return c.counts }

// Open is how many requests are owed an answer.
func (c *Core) Open() (n int) {
	for _, r := range c.reqs {
		if r.open() {
			n++
		}
	}
	return n
}

// Standing is how many tasks stand.
func (c *Core) Standing() (n int) {
	for _, r := range c.reqs {
		if r.state == standing {
			n++
		}
	}
	return n
}

func (c *Core) event(e ravenhitch.Event) { c.events = append(c.events, e) }

// number turns a name into the module's number for it.
func number(name string) uint64 {
	if v, err := strconv.ParseUint(name, 16, 64); err == nil {
		return v
	}
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// --- From owners ---

// Submit takes in a set-up.
func (c *Core) Submit(now int64, o Owner, s Setup) error {
	c.now = now
	if s.At != "" && c.reqs[s.Tag] != nil {
		c.reopen(c.reqs[s.Tag], o, s)
		return nil
	}
	if s.Resumes {
		if ok, err := c.resume(o, s); ok || err != nil {
			return err
		}
	}
	if c.find(s.Tag) != nil {
		// It can't be answered without a second answer to the first.
		return ErrTag
	}
	if r := c.keys[s.Key]; r != nil && r.Resumes != s.Resumes && s.At == "" {
		return ErrTask
	}
	effect, ok := c.effects[s.Class]
	if !ok {
		effect = ravenhitch.Unsafe
	}
	came := now
	if s.CameUs > 0 {
		came = min(now, s.CameUs)
	}
	r := &request{Setup: s, owner: o, effect: effect, deadline: c.spread.due(now, came+s.WaitUs), index: -1, reply: s.Tag,
		number: number(s.Key), units: c.set.Units(s.Cores, s.Mem), class: len(c.set.Classes) - 1}
	if i, ok := c.classes[s.Class]; ok {
		r.class = i
	}
	c.reqs[s.Tag] = r
	if s.Key != "" {
		c.keys[s.Key] = r
	}
	task := ravenhitch.Task{Ticket: s.Tag, Workload: r.number, DeadlineUs: r.deadline, Cores: s.Cores, Mem: s.Mem,
		Class: s.Class, Program: s.Service}
	if s.At != "" {
		c.counts.Opened++
		r.node, r.mayRun = s.At, true
		c.to(r, standing)
		c.advisor.Adopted(now, r.caller())
		if !c.listed[s.At] {
			r.lostAt = now - (orphanAfter - openAfter)
		}
		c.event(ravenhitch.Existing{Task: task, Machine: s.At})
		return nil
	}
	c.counts.Requests++
	c.to(r, waiting)
	c.trace("request", r, "wait", s.WaitUs, "deadline", r.deadline)
	r.SinceUs = c.advisor.Asked(now, r.caller())
	task.SinceUs = r.SinceUs
	c.event(ravenhitch.Request{Task: task})
	c.arm(r, r.deadline)
	return nil
}

// find returns the live request that owners know by a tag.
func (c *Core) find(tag string) *request {
	if r := c.reqs[tag]; r != nil {
		return r
	}
	return c.alias[tag]
}

// resume answers a repeated set-up with what is known of the first. It guards
// against a second start where an answer was sent and never read.
func (c *Core) resume(o Owner, s Setup) (bool, error) {
	r := c.find(s.Tag)
	if r == nil {
		if a, ok := c.past[s.Tag]; ok {
			o.Answer(a)
			return true, nil
		}
		r = c.keys[s.Key]
	}
	switch {
	case r == nil:
		return false, nil
	case !r.Resumes || r.Key != s.Key:
		return false, ErrTask
	case r.state == leaving:
		return false, ErrLeaving
	}
	if s.Tag != r.Tag {
		c.alias[s.Tag] = r
	}
	r.owner, r.reply = o, s.Tag
	c.counts.Resumed++
	if r.state == standing {
		o.Answer(Answer{Kind: Started, Tag: s.Tag, Description: r.binding, Node: r.node})
	}
	return true, nil
}

// answer tells the owner, and keeps the last word on what may be asked again.
func (c *Core) answer(r *request, a Answer) {
	a.Tag = r.reply
	c.trace("answer", r, "kind", a.Kind, "reply", a.Tag)
	c.spread.answered++
	c.tally(r.Class, a.Kind)
	if a.Kind != Started {
		c.remember(r, a)
	}
	r.owner.Answer(a)
}

// remember keeps the last word on a set-up that may be repeated.
func (c *Core) remember(r *request, a Answer) {
	if !r.Resumes {
		return
	}
	for _, tag := range []string{r.Tag, r.reply} {
		if _, ok := c.past[tag]; !ok {
			if len(c.pastAge) >= pastMost {
				delete(c.past, c.pastAge[0])
				c.pastAge = c.pastAge[1:]
			}
			c.pastAge = append(c.pastAge, tag)
		}
		a.Tag = tag
		c.past[tag] = a
	}
}

// reopen takes a task found running whose tag is known here. The node's word
// came another way; what the table holds of it goes on.
func (c *Core) reopen(r *request, o Owner, s Setup) {
	if r.state == standing || r.state == leaving {
		r.owner = o
		return
	}
	c.log.Warn("a task found running is known here as not standing", "tag", s.Tag, "node", s.At)
}

// Withdrawn is what Withdraw found.
type Withdrawn int

// What a withdrawal may find.
const (
	NotFound Withdrawn = iota
	WasOpen
	WasStanding
)

// Resumable reports whether a tag names a live request of a front whose owners
// repeat set-ups. A front must not end what came by another.
func (c *Core) Resumable(tag string) bool {
	r := c.find(tag)
	return r != nil && r.Resumes
}

// Stands reports whether a tag names a task that stands.
func (c *Core) Stands(tag string) bool {
	r := c.find(tag)
	return r != nil && r.state == standing
}

// Leaves reports whether a tag names a task that was released or moved and of whose
// end the node has not told.
func (c *Core) Leaves(tag string) bool {
	r := c.reqs[tag]
	return r != nil && r.state == leaving
}

// Listed reports whether a node is on the list.
func (c *Core) Listed(node string) bool { return c.listed[node] }

// Refuse answers a request of o's that is still open, because nothing more can be
// heard of o on its connection.
func (c *Core) Refuse(now int64, o Owner, tag string) {
	c.now = now
	r := c.find(tag)
	if r == nil || r.owner != o || !r.open() {
		return
	}
	c.event(ravenhitch.ClientGone{Ticket: r.Tag})
	r.mayRun = r.mayRun || r.state != waiting
	c.finish(r)
}

// Withdraw takes an owner's word that it no longer wants a task, whether that
// still waits for its answer or stands. No answer is owed then. Where o is not
// nil, only a request that is still o's is withdrawn.
func (c *Core) Withdraw(now int64, o Owner, tag string) Withdrawn {
	c.now = now
	r := c.find(tag)
	if r == nil || o != nil && r.owner != o {
		return NotFound
	}
	switch r.state {
	case waiting, out, ending:
		c.counts.Withdrawn++
		c.event(ravenhitch.ClientGone{Ticket: r.Tag})
		c.advisor.Left(now, r.caller())
		c.remember(r, Answer{Kind: Withdrew})
		c.withdraw(r)
		c.forget(r)
		return WasOpen
	case standing:
		c.counts.Withdrawn++
		c.remember(r, Answer{Kind: Withdrew})
		c.nodes.Release(r.node, r.Tag)
		c.to(r, leaving)
		c.arm(r, now+cutWait)
		return WasStanding
	}
	return NotFound
}

// --- From nodes ---

// NodeStarted takes a node's word that a task stands. A word on an attempt
// that was given up changes nothing: its owner got another answer, or will.
func (c *Core) NodeStarted(now int64, node, tag, description string) {
	c.now = now
	r := c.reqs[tag]
	if r == nil || r.state != out || r.node != node {
		return
	}
	r.mayRun = true
	c.to(r, standing)
	c.trace("started", r)
	c.counts.Started++
	c.advisor.Started(now, r.caller())
	c.disarm(r)
	c.event(ravenhitch.Accepted{Ticket: tag, Attempt: r.copy, Machine: node, RTTUs: now - r.sentAt})
	if r.Resumes {
		r.binding = description
	}
	c.answer(r, Answer{Kind: Started, Description: description, Node: node})
}

// NodeEnded takes the end of an attempt or of a task that stands.
func (c *Core) NodeEnded(now int64, node, tag string, st ravenhitch.Status, why ravenhitch.Why) {
	c.now = now
	r := c.reqs[tag]
	if r == nil || r.node != node {
		return
	}
	c.trace("node ended", r, "status", st)
	switch r.state {
	case out:
		switch st {
		case ravenhitch.OK, ravenhitch.Cancelled:
			st = ravenhitch.Reset
		}
		c.ended(r, st, why)
	case ending:
		c.ended(r, r.endAs, ravenhitch.WhyUntold)
	case standing, leaving:
		switch st {
		case ravenhitch.OK, ravenhitch.Cancelled, ravenhitch.Reset:
		default:
			st = ravenhitch.Reset
		}
		c.over(r, st, why)
	}
}

// NodeGaveUp takes it that an attempt that was given up is over for sure: the node has
// read the give-up, or its connection is closed.
func (c *Core) NodeGaveUp(now int64, node, tag string) {
	c.now = now
	if r := c.reqs[tag]; r != nil && r.node == node && r.state == ending {
		c.trace("given up for sure", r)
		c.ended(r, r.endAs, ravenhitch.WhyUntold)
	}
}

// giveUp ends the attempt that is out. The node is told before anything else may go
// out for this request, and the module hears of the end, and may offer elsewhere, only
// once the attempt is over for sure: a give-up that is still on its way, or lies in a
// connection that fell silent, ends nothing. The answer does not wait for that.
func (c *Core) giveUp(r *request, st ravenhitch.Status) {
	if sure := c.nodes.GiveUp(r.node, r.Tag); sure || c.now >= r.deadline {
		c.ended(r, st, ravenhitch.WhyUntold)
		return
	}
	c.to(r, ending)
	r.endAs, r.mayRun = st, true
	c.arm(r, r.deadline)
}

// ended is the end of an attempt that was not answered with yes.
func (c *Core) ended(r *request, st ravenhitch.Status, why ravenhitch.Why) {
	switch st {
	case ravenhitch.Full:
		c.counts.Full++
	case ravenhitch.ConnectFailed:
		c.counts.ConnectFailed++
	case ravenhitch.Moot:
	case ravenhitch.TimedOut:
		c.counts.TimedOut++
		r.mayRun = true
	default:
		c.counts.Reset++
		r.mayRun = true
	}
	c.to(r, waiting)
	c.done(r, st, why, false)
	c.arm(r, r.deadline)
}

// over is the end of a task that stood. Its owner is told, but where it asked
// for the end itself.
func (c *Core) over(r *request, st ravenhitch.Status, why ravenhitch.Why) {
	c.advisor.Ended(c.now, r.caller())
	c.done(r, st, why, true)
	if r.state == standing && st != ravenhitch.Cancelled {
		c.counts.Over++
		c.answer(r, Answer{Kind: Over, Status: st, Why: why})
	}
	c.forget(r)
}

func (c *Core) done(r *request, st ravenhitch.Status, why ravenhitch.Why, closed bool) {
	c.event(ravenhitch.Done{Ticket: r.Tag, Attempt: r.copy, Machine: r.node, Status: st, Why: why,
		Closed: closed, RTTUs: c.now - r.sentAt})
}

// NodeNote takes news of a task that stands.
func (c *Core) NodeNote(now int64, node, tag string, kind ravenhitch.NoteKind, value float64) {
	c.now = now
	if r := c.reqs[tag]; r != nil && r.node == node && r.state == standing {
		c.event(ravenhitch.Note{Ticket: tag, Attempt: r.copy, Machine: node, Kind: kind, Value: value})
	}
}

// NodeSampled takes the answer to a probe.
func (c *Core) NodeSampled(now int64, e ravenhitch.Sampled) {
	c.now = now
	c.event(e)
}

// NodeReached takes it that a node took a connection after one to it had failed or
// fallen silent.
func (c *Core) NodeReached(now int64, node string) {
	c.now = now
	c.event(ravenhitch.Reached{Machine: node})
}

// Holding is what stands at a node, or is being ended there.
type Holding struct {
	Tasks int
	Since int64 // when the oldest was offered, 0 for one that was handed in as standing
}

// Held is what stands at each node.
func (c *Core) Held() map[string]Holding {
	held := map[string]Holding{}
	for _, r := range c.reqs {
		if r.state == standing || r.state == leaving {
			h, ok := held[r.node]
			if h.Tasks++; !ok || r.sentAt < h.Since {
				h.Since = r.sentAt
			}
			held[r.node] = h
		}
	}
	return held
}

// NodeLost takes a proof that the process of a node has died: what stood there
// is cut, and nobody will tell.
func (c *Core) NodeLost(now int64, node string) {
	c.now = now
	for _, r := range c.sorted() {
		if r.node == node && (r.state == standing || r.state == leaving) {
			c.over(r, ravenhitch.Reset, ravenhitch.WhyUntold)
		}
	}
}

// List takes what the command channel told of the nodes.
func (c *Core) List(now int64, l ravenhitch.List) {
	c.now = now
	c.channel = true
	if l.Kind == ravenhitch.ListFull || l.Kind == ravenhitch.ListCached {
		for node := range c.listed { // what a whole list does not name is gone
			c.told[node] = now
		}
		clear(c.listed)
	}
	l.Entries = c.roster.list(l)
	for _, e := range l.Entries {
		if c.listed[e.Machine] = true; e.State == ravenhitch.Gone {
			delete(c.listed, e.Machine)
		}
		if e.State == ravenhitch.Ready {
			delete(c.told, e.Machine)
		} else if _, ok := c.told[e.Machine]; !ok {
			c.told[e.Machine] = now
		}
	}
	c.event(l)
}

// --- Turns ---

// Next is when Turn has to be called next, or 0.
func (c *Core) Next() int64 {
	at := int64(0)
	sooner := func(t int64) {
		if t > 0 && (at == 0 || t < at) {
			at = t
		}
	}
	if len(c.due) > 0 {
		sooner(c.due[0].due)
	}
	if len(c.bells) > 0 {
		sooner(c.bells[0].at)
	}
	if len(c.events) > 0 {
		sooner(c.now)
	}
	return at
}

// Turn hands what happened to the module in one go and carries out what it
// answers.
func (c *Core) Turn(now int64) {
	c.now = now
	for len(c.due) > 0 && c.due[0].due <= now {
		c.expire(c.due[0])
	}
	for len(c.bells) > 0 && c.bells[0].at <= now {
		b := heap.Pop(&c.bells).(bell)
		c.event(ravenhitch.Bell{Ref: b.ref})
	}
	if now >= c.sweepAt {
		c.sweepAt = now + sweepEvery
		c.sweep()
	}
	if c.observe && c.channel {
		// The channel is followed without being asked; the module is told that it is.
		c.observe = false
		c.event(ravenhitch.List{Kind: ravenhitch.ListDelta})
	}
	if len(c.events) > 0 {
		events := c.events
		c.events = nil
		actions := c.placer.Handle(now, events)
		c.announce(actions)
		for _, a := range actions {
			c.act(a)
		}
	}
	c.press()
}

// expire acts on a time that has come.
func (c *Core) expire(r *request) {
	c.disarm(r)
	switch r.state {
	case out, ending:
		if r.state == out {
			c.trace("attempt timed out", r, "abandon", r.abandon)
			c.giveUp(r, ravenhitch.TimedOut)
		} else {
			c.ended(r, r.endAs, ravenhitch.WhyUntold)
		}
		if c.now >= r.deadline {
			// The module answers within this turn; else the next turn does.
			c.arm(r, c.now+1)
		}
	case waiting:
		c.log.Warn("the module left a request to its deadline", "tag", r.Tag, "class", r.Class)
		c.event(ravenhitch.ClientGone{Ticket: r.Tag})
		c.finish(r)
	case leaving:
		c.nodes.Release(r.node, r.Tag)
		c.over(r, ravenhitch.Cancelled, ravenhitch.WhyUntold)
	}
}

// sweep ends tasks on nodes that no list names any more. It guards against
// tasks left standing for ever where a node vanished without a word.
func (c *Core) sweep() {
	if !c.channel {
		return
	}
	for node, at := range c.told {
		// Nodes come and go with new names for ever.
		if !c.listed[node] && c.now-at > toldMost {
			delete(c.told, node)
		}
	}
	for _, r := range c.sorted() {
		if r.state != standing || c.listed[r.node] {
			r.lostAt = 0
			continue
		}
		if r.lostAt == 0 {
			r.lostAt = c.now
		}
		if c.now-r.lostAt >= orphanAfter {
			c.log.Info("a task stood on a node that left the list", "tag", r.Tag, "node", r.node)
			c.nodes.Release(r.node, r.Tag)
			c.over(r, ravenhitch.Reset, ravenhitch.WhyUntold)
		}
	}
}

// act carries out one action of the module.
func (c *Core) act(a ravenhitch.Action) {
	switch a := a.(type) {
	case ravenhitch.Place:
		if r := c.reqs[a.Ticket]; r != nil {
			c.place(r, a)
		}
	case ravenhitch.Deny:
		if r := c.reqs[a.Ticket]; r != nil && r.open() {
			c.finish(r)
		}
	case ravenhitch.Error:
		if r := c.reqs[a.Ticket]; r != nil && r.open() {
			r.mayRun = true
			c.fail(r)
		}
	case ravenhitch.Move:
		if r := c.reqs[a.Ticket]; r != nil && r.state == standing {
			c.counts.Moved++
			c.answer(r, Answer{Kind: Moved})
			c.nodes.Release(r.node, r.Tag)
			c.to(r, leaving)
			c.arm(r, c.now+cutWait)
		}
	case ravenhitch.Cancel:
		if r := c.reqs[a.Ticket]; r != nil && r.state == out && a.Attempt == r.copy {
			c.giveUp(r, ravenhitch.Cancelled)
		}
	case ravenhitch.AskLoad:
		c.nodes.Probe(a.Machine)
	case ravenhitch.Observe:
		c.observe = a.Active
	case ravenhitch.Refresh:
		c.observe = true
	case ravenhitch.SetAlarm:
		heap.Push(&c.bells, bell{c.now + a.OffsetUs, a.Ref})
	case ravenhitch.SayLog:
		c.log.Info("module", "text", a.Text)
	}
}

// place sends an offer, if no invariant stands against it.
func (c *Core) place(r *request, a ravenhitch.Place) {
	guard := ""
	told, draining := c.told[a.Machine]
	switch {
	case r.state != waiting:
		guard = "an attempt is out or the request is over"
	case c.now >= r.deadline:
		guard = "its time is up"
	case c.set.AttemptsCap > 0 && r.attempts >= c.set.AttemptsCap:
		guard = "no attempts are left"
	case r.effect == ravenhitch.Unsafe && r.mayRun:
		guard = "it may have started and must not start twice"
	case draining && c.now >= told+max(0, c.set.DrainGraceUs-drainMargin):
		guard = "the node drains"
	}
	if guard != "" {
		c.trace("offer held back", r, "to", a.Machine, "why", guard)
		c.counts.Guarded++
		c.log.Error("the module's offer was held back", "tag", r.Tag, "node", a.Machine, "why", guard)
		c.event(ravenhitch.Done{Ticket: r.Tag, Attempt: r.attempts, Machine: a.Machine, Status: ravenhitch.Moot})
		r.attempts++
		return
	}
	c.counts.Offers++
	c.to(r, out)
	r.node, r.sentAt, r.copy = a.Machine, c.now, r.attempts
	r.attempts++
	r.abandon = r.deadline
	if a.AbandonAtUs > 0 {
		r.abandon = min(r.deadline, max(a.AbandonAtUs, c.now+1))
	}
	c.arm(r, r.abandon)
	c.trace("offer", r, "abandon", r.abandon, "deadline", r.deadline)
	c.nodes.Offer(a.Machine, Offer{Tag: r.Tag, Class: r.Class, Key: r.Key, WaitUs: r.abandon - c.now,
		Description: r.Description})
}

// finish answers a request that was given up: refused where a retry is
// harmless, else failed.
func (c *Core) finish(r *request) {
	if r.mayRun && r.effect != ravenhitch.Safe {
		c.fail(r)
		return
	}
	c.withdraw(r)
	c.counts.Refused++
	c.answer(r, Answer{Kind: Refused, WaitUs: c.advisor.Refused(c.now, r.caller()), SinceUs: r.SinceUs, Tries: r.Tries + 1})
	c.forget(r)
}

func (c *Core) fail(r *request) {
	c.withdraw(r)
	c.counts.Failed++
	c.answer(r, Answer{Kind: Failed})
	c.forget(r)
}

// withdraw gives up an attempt that is still out at the end of its request.
func (c *Core) withdraw(r *request) {
	switch r.state {
	case out:
		c.trace("given up", r)
		c.nodes.GiveUp(r.node, r.Tag)
		c.done(r, ravenhitch.Cancelled, ravenhitch.WhyUntold, true)
	case ending:
		c.done(r, r.endAs, ravenhitch.WhyUntold, true)
	}
}

// forget is the one place where a request leaves the table.
func (c *Core) forget(r *request) {
	c.disarm(r)
	c.to(r, gone)
	if c.reqs[r.Tag] == r {
		delete(c.reqs, r.Tag)
	}
	if c.keys[r.Key] == r {
		delete(c.keys, r.Key)
	}
	if r.reply != r.Tag {
		for tag, o := range c.alias {
			if o == r {
				delete(c.alias, tag)
			}
		}
	}
}

// Quit answers whatever is still open; used when the program has to end.
func (c *Core) Quit(now int64) {
	c.now = now
	for _, r := range c.sorted() {
		c.Refuse(now, r.owner, r.Tag)
	}
	c.events = nil
}

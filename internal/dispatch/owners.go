package dispatch

// This file owns the owners' side of the table: set-ups, repeated set-ups, withdrawals and
// answers. It must never tell an owner a second final answer, nor speak to a node but to
// release what its owner no longer wants.

import (
	"errors"

	"ravenhitch/placement"
)

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
	Description string           // Started: what the node gave
	WaitUs      int64            // Refused: how long to stay away
	SinceUs     int64            // Refused: since when its owner stands in line
	Tries       int              // Refused: how often it was, as far as was proved
	Status      placement.Status // Over: how the task ended
	Why         placement.Why    // Refused, Over: the reason, where one was told
	Node        string           // Started: where it stands
}

// Owner is told the answers to the requests that it handed in.
type Owner interface {
	Answer(a Answer)
}

// Attended is an Owner that knows up to when its client was heard: a withdrawal or an end
// of its connection that came later may not have been read yet.
type Attended interface {
	Owner
	HeardAt() int64
}

// HeardAt is up to when the client of a request was heard, otherwise where its owner
// doesn't know or the request is over.
func (c *Core) HeardAt(tag string, otherwise int64) int64 {
	if r := c.reqs[tag]; r != nil {
		if o, ok := r.owner.(Attended); ok {
			return o.HeardAt()
		}
	}
	return otherwise
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

// Submit takes in a set-up.
func (c *Core) Submit(now int64, o Owner, s Setup) error {
	c.now = now
	if s.At != "" && c.silent[s.Tag] != nil {
		return nil
	}
	if s.At != "" && c.reqs[s.Tag] != nil {
		c.reopen(c.reqs[s.Tag], s)
		return nil
	}
	if s.Resumes {
		if ok, err := c.resume(o, s); ok || err != nil {
			return err
		}
	}
	if c.find(s.Tag) != nil || c.silent[s.Tag] != nil {
		// It can't be answered without a second answer to the first, or the module knows it.
		return ErrTag
	}
	if r := c.keys[s.Key]; r != nil && r.Resumes != s.Resumes && s.At == "" {
		return ErrTask
	}
	effect, ok := c.effects[s.Class]
	if !ok {
		effect = placement.Unsafe
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
	task := placement.Task{Ticket: s.Tag, Workload: r.number, DeadlineUs: r.deadline, Cores: s.Cores, Mem: s.Mem,
		Class: s.Class, Program: s.Service, Tenant: s.Tenant, LastsUs: s.HintUs, Hinted: s.HintUs > 0, Again: s.Again}
	if s.At != "" {
		c.counts.Opened++
		r.node, r.mayRun, r.foundAt = s.At, true, now
		c.to(r, standing)
		c.advisor.Adopted(now, r.caller())
		if !c.listed[s.At] {
			r.lostAt = now - (orphanAfter - openAfter)
		}
		c.event(placement.Existing{Task: task, Machine: s.At})
		c.claim(r)
		return nil
	}
	c.counts.Requests++
	c.to(r, waiting)
	c.trace("request", r, "wait", s.WaitUs, "deadline", r.deadline)
	r.SinceUs = c.advisor.Asked(now, r.caller())
	task.SinceUs = r.SinceUs
	c.event(placement.Request{Task: task})
	c.arm(r, r.deadline)
	return nil
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

// reopen takes a task found running whose tag is known here. What the table holds of it
// goes on, its owner too: whoever repeats a tag that it may have heard of would else get the
// end that another is owed. Where that one is gone, its front finds another.
func (c *Core) reopen(r *request, s Setup) {
	if r.state == standing || r.state == leaving {
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
	return r != nil && r.state == leaving || c.silent[tag] != nil
}

// Knows reports whether a tag names a request, or a task whose end is still to be told.
func (c *Core) Knows(tag string) bool { return c.find(tag) != nil || c.silent[tag] != nil }

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
	c.event(placement.ClientGone{Ticket: r.Tag})
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
		c.event(placement.ClientGone{Ticket: r.Tag})
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

package dispatch

import (
	"math"
	"slices"
	"time"

	"ravenhitch/internal/backpressure"
	"ravenhitch/placement"
)

// This file joins the table with the advice on refusals: it tells what was asked,
// started and refused, and takes what comes back to whom it concerns. It decides
// neither what to refuse nor when an owner is to come again.

// Advisor says when refused owners are to come again. Its word on a refusal never
// delays that.
type Advisor interface {
	// Asked takes a set-up and says since when its owner stands in line.
	Asked(now int64, c backpressure.Caller) (since int64)
	// Held sets how many units of each class wait for room.
	Held(now int64, units []float64)
	Started(now int64, c backpressure.Caller)
	Ended(now int64, c backpressure.Caller)
	Adopted(now int64, c backpressure.Caller)
	Left(now int64, c backpressure.Caller)
	// Refused is how long the owner is to stay away.
	Refused(now int64, c backpressure.Caller) (waitUs int64)
	// Pace is at what pace room comes, in units a second, 0 where nothing tells.
	Pace(now int64) float64
	// Keep is how many units each class is to leave to higher ranks on their way.
	Keep(now int64) []float64
	Tick(now int64) (backpressure.Change, bool)
	Figures(now int64) backpressure.Figures
}

// StormSettings are the settings of the advice that follow from those of the
// platform.
func StormSettings(s placement.Settings) backpressure.Settings {
	out := backpressure.Settings{LongestUs: s.MaxRetryAfterUs}
	for _, c := range s.Classes {
		out.Classes = append(out.Classes, backpressure.Class{Name: c.Name, Rank: c.Worth})
	}
	return out
}

const (
	// pressEvery is how often the module is told of the pace of room, and pressStep by
	// what share that must have changed.
	pressEvery = 20_000
	pressStep  = 0.05
)

// pressure is what the module was last told.
type pressure struct {
	at   int64
	pace float64
	keep []float64
}

// Advise sets who advises; before the first set-up.
func (c *Core) Advise(a Advisor) { c.advisor = a }

// Advises reports whether refused owners may be told when to come again.
func (c *Core) Advises() bool { return c.set.Advice }

// Storm is what is worth watching of crowds.
func (c *Core) Storm() backpressure.Figures { return c.advisor.Figures(c.now) }

// caller is a request as the advisor sees it.
func (r *request) caller() backpressure.Caller {
	return backpressure.Caller{Key: r.number, Service: r.Service, Class: r.class, Units: r.units, WaitUs: r.WaitUs,
		SinceUs: r.SinceUs, From: r.From}
}

// to changes the state of a request, and keeps count of what waits for room and of what takes some.
func (c *Core) to(r *request, s state) {
	if r.state == s {
		return
	}
	if r.state == waiting {
		c.held[r.class] -= r.units
		c.waits--
	}
	if s == waiting {
		c.held[r.class] += r.units
		c.waits++
	}
	if c.waits == 0 {
		clear(c.held) // no rounding errors are left behind
	}
	switch held := r.state.holds(); {
	case held && !s.holds():
		c.holdings.remove(r)
	case !held && s.holds():
		c.holdings.add(r)
	}
	r.state = s
}

// announce tells the advisor what will wait once the actions are carried out: what is
// refused together must not be booked behind itself.
func (c *Core) announce(actions []placement.Action) {
	c.after = append(c.after[:0], c.held...)
	for _, a := range actions {
		var r *request
		switch a := a.(type) {
		case placement.Deny:
			r = c.reqs[a.Ticket]
		case placement.Place:
			r = c.reqs[a.Ticket]
		}
		if r != nil && r.state == waiting {
			c.after[r.class] -= r.units
		}
	}
	c.advisor.Held(c.now, c.after)
}

// press tells the advisor what waits, and the module at what pace room comes.
func (c *Core) press() {
	c.advisor.Held(c.now, c.held)
	if ch, ok := c.advisor.Tick(c.now); ok {
		c.log.Info("storm", "state", ch.To, "was", ch.From, "kind", ch.Kind, "why", ch.Why)
	}
	if c.now-c.pressed.at < pressEvery {
		return
	}
	pace, keep := c.advisor.Pace(c.now), c.advisor.Keep(c.now)
	c.pressed.at = c.now
	if near(pace, c.pressed.pace) && slices.EqualFunc(keep, c.pressed.keep, near) {
		return
	}
	c.pressed.pace, c.pressed.keep = pace, slices.Clone(keep)
	c.event(placement.Pressure{Pace: pace, Keep: c.pressed.keep})
}

// near reports whether a figure is much as it was.
func near(now, was float64) bool { return math.Abs(now-was) <= pressStep*was }

// Constant advises everybody alike: the advice of old, kept to measure against.
type Constant time.Duration

// The methods of Constant implement Advisor; it learns nothing.
func (a Constant) Asked(now int64, _ backpressure.Caller) int64 { return now }
func (Constant) Held(int64, []float64)                          {}
func (Constant) Started(int64, backpressure.Caller)             {}
func (Constant) Adopted(int64, backpressure.Caller)             {}
func (Constant) Ended(int64, backpressure.Caller)               {}
func (Constant) Left(int64, backpressure.Caller)                {}
func (a Constant) Refused(int64, backpressure.Caller) int64     { return time.Duration(a).Microseconds() }
func (Constant) Pace(int64) float64                             { return 0 }
func (Constant) Keep(int64) []float64                           { return nil }
func (Constant) Tick(int64) (ch backpressure.Change, ok bool)   { return ch, false }
func (Constant) Figures(int64) (f backpressure.Figures)         { return f }

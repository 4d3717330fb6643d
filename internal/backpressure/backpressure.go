// Package storm sees crowds of owners that come back together, and books for each
// that is refused a time at which there will be room for it. It owns what is
// remembered of callers, the learned pace of starts, and the calendar of returns.
// It is pure: no I/O, no clock, no goroutine; the time is passed in, chance comes
// from a seed. It must never choose a node, refuse a task or hold an answer back:
// it only says what advice goes with a refusal, since when a caller stands in line,
// and at what pace room comes.
//
// Every time is in microseconds. Work is counted in units: the size of a mean task.
package backpressure

import (
	"math/rand/v2"
)

const (
	second = int64(1_000_000)

	// leadShare is the part of a caller's patience that it is asked to come back
	// ahead of its place: it then waits in line, where it takes up what others leave.
	leadShare = 0.6
	// floorShare is the part of the pace that the lower ranks keep while higher ones
	// wait: nobody starves.
	floorShare = 0.15
	// returnsWeight is the weight of one return in what is learned of a class.
	returnsWeight = 1.0 / 32
	// stayLeast bounds the share of an advice that callers are taken to stay away:
	// below it, longer advice would not move them.
	stayLeast = 0.25
	// heedLeast is the share of an advice below which a return shows no regard to it.
	heedLeast = 0.2
	// learnFrom is the shortest advice that a return teaches from: under it owners stay
	// away for reasons of their own.
	learnFrom = 3 * second / 2
	// spreadShare is the part of an advice at its bound over which returns are spread.
	spreadShare = 0.3
)

// Class is what is told of a class.
type Class struct {
	Name     string
	Priority float64 // higher goes first
}

// Settings are what a Storm is told when it starts.
type Settings struct {
	Classes         []Class
	MaxRetryAfterUs int64 // no advice is longer
	MinRetryAfterUs int64 // none is shorter
	Callers         int   // remembered at most; 0 for a figure that fits a small machine
}

// Request is one that asks for a task.
type Request struct {
	Key, Program  uint64
	Class         int // in Settings.Classes; one that is not there counts as the last
	Units         float64
	TimeoutUs     int64  // how long it waits for its answer
	Connection    uint64 // the connection or session that it came by, 0 where none is told
	QueuedSinceUs int64  // since when it proved to stand in line, 0 where it did not
}

// Controller is the state of one orchestrator. It is not safe for concurrent use.
type Controller struct {
	s     Settings
	rng   *rand.Rand
	born  int64
	book  *book
	cal   *calendar
	pace  pace
	watch detector
	keep  forecast
	fair  fair
	held  []float64 // units that wait, by class
	stay  []float64 // the share of an advice that callers stay away, by class
	all   float64   // held in all
}

// New returns a Storm.
func New(s Settings, seed uint64) *Controller {
	if len(s.Classes) == 0 {
		s.Classes = []Class{{}}
	}
	if s.Callers <= 0 {
		s.Callers = callersDefault
	}
	if s.MaxRetryAfterUs <= 0 {
		s.MaxRetryAfterUs = longestDefault
	}
	st := &Controller{s: s, rng: rand.New(rand.NewPCG(seed, 0x5707)), book: newBook(s.Callers), cal: newCalendar(len(s.Classes)), keep: newForecast(len(s.Classes)),
		held: make([]float64, len(s.Classes)), stay: make([]float64, len(s.Classes)), born: -1}
	for i := range st.stay {
		st.stay[i] = 1
	}
	return st
}

const (
	callersDefault = 32 << 10
	longestDefault = 3 * second
)

func (s *Controller) class(c Request) int {
	if c.Class < 0 || c.Class >= len(s.s.Classes) {
		return len(s.s.Classes) - 1
	}
	return c.Class
}

// Requested takes a set-up, and says since when its caller stands in line: from now on, or
// from when it first asked. Its place is no worse for having been refused, and no
// better for asking more often.
func (s *Controller) Requested(now int64, c Request) (since int64) {
	s.advance(now)
	class := s.class(c)
	s.watch.asked(now, c)
	s.keep.add(now, class, c.Units, c.Connection)
	since = now
	if c.QueuedSinceUs > 0 {
		since = min(now, c.QueuedSinceUs)
	}
	e := s.book.find(c.Key)
	if e == nil {
		if since < now {
			s.watch.returned(now)
		}
		return since
	}
	s.watch.returned(now)
	if e.booked() {
		if advice := e.advice(); advice >= learnFrom {
			// Whoever ignores advice stays no longer for being told more, and must not
			// lengthen that of the others.
			if share := float64(now-e.toldAt(now)) / float64(advice); share >= heedLeast {
				s.stay[class] += (min(1, share) - s.stay[class]) * returnsWeight
			}
		}
		s.cal.cancel(e.class(), e.slot(now), e.load())
		s.fair.add(cellOf(c.Program), -e.load())
		e.unbook()
	}
	return min(since, e.since(now))
}

// SetPending sets how many units of each class wait for room; those that are refused next
// are no longer among them.
func (s *Controller) SetPending(now int64, units []float64) {
	s.advance(now)
	s.all = 0
	for i := range s.held {
		s.held[i] = 0
		if i < len(units) {
			s.held[i] = max(0, units[i])
		}
		s.all += s.held[i]
	}
	s.pace.waiting(now, s.all > 0)
}

// Started takes it that a caller's task stands. Its place is used.
func (s *Controller) Started(now int64, c Request) {
	s.advance(now)
	s.pace.started(now, c.Units)
	s.watch.started(now)
	s.book.drop(c.Key)
}

// Ended takes it that a task that stood is over: its room is there again.
func (s *Controller) Ended(now int64, c Request) {
	s.advance(now)
	s.pace.ended(now, c.Units)
}

// Adopted takes a task that was found running.
func (s *Controller) Adopted(now int64, c Request) {
	s.advance(now)
	s.watch.adopted(now, c)
}

// Cancelled takes it that a caller withdrew.
func (s *Controller) Cancelled(now int64, c Request) {
	s.advance(now)
	s.book.drop(c.Key)
}

// Rejected returns how long a caller that is refused now is to stay away: until shortly
// before there is room for it, as far as the longest advice reaches.
func (s *Controller) Rejected(now int64, c Request) int64 {
	s.advance(now)
	s.watch.refused(now)
	class := s.class(c)
	e := s.book.keep(now, c.Key, c.QueuedSinceUs)
	if e.booked() { // asked for twice over
		s.cal.cancel(e.class(), e.slot(now), e.load())
		s.fair.add(cellOf(c.Program), -e.load())
	}
	rate := s.pace.rate(now)
	if rate <= 0 {
		// Nothing tells yet: it comes again when something does.
		wait := min(sureAfter+s.rng.Int64N(2*sureAfter), s.s.MaxRetryAfterUs)
		e.book(now, class, c.Units, now/slotUs, wait)
		e.unbook()
		return wait
	}
	cell := cellOf(c.Program)
	light := s.fair.light(cell)
	s.fair.add(cell, c.Units)
	back := s.place(now, class, cell, c.Units) - int64(float64(c.TimeoutUs)*leadShare)
	slot := e.slot(now)
	if at := slot * slotUs; at > now && at < back {
		s.cal.put(slot, class, c.Units) // it keeps its place, also where it came too early
	} else {
		if light {
			rate *= lightOver
		}
		slot = s.cal.reserve(now, max(now, back), class, c.Units, rate)
	}
	wait := s.advice(slot*slotUs-now, class)
	e.book(now, class, c.Units, slot, wait)
	return wait
}

// place is when there is room for what is asked now: after what waits, and after
// what is booked to come back, as far as either goes first.
func (s *Controller) place(now int64, class, cell int, units float64) int64 {
	rate := s.pace.rate(now)
	if rate <= 0 {
		return now
	}
	rank := s.s.Classes[class].Priority
	var held, booked, behind float64
	for i := range s.held {
		if s.s.Classes[i].Priority >= rank {
			held, booked = held+s.held[i], booked+s.cal.booked(i)
		} else {
			behind += s.held[i] + s.cal.booked(i)
		}
	}
	ahead := held + s.fair.ahead(cell, booked+units)
	if behind > 0 {
		rate *= 1 - floorShare
	}
	// Of what goes first none takes the floor.
	own := s.held[class] + s.cal.booked(class) + units
	return now + int64(min(ahead/rate, own/(s.pace.rate(now)*floorShare))*float64(second))
}

// advice makes a time to stay away from a time to come back in: callers come back
// after a share of it, and never stay longer than the longest.
func (s *Controller) advice(in int64, class int) int64 {
	wait := int64(float64(max(0, in)) / max(stayLeast, s.stay[class]))
	if longest := s.s.MaxRetryAfterUs; wait > longest {
		// They can't be told the time itself: they come back early, spread out.
		return longest - int64(s.rng.Float64()*spreadShare*float64(longest))
	}
	return max(wait, min(s.s.MinRetryAfterUs, s.s.MaxRetryAfterUs))
}

// ReleaseRate is the units a second that find room now, or 0 where that is not known: where
// nothing waits, nothing tells what more there is.
func (s *Controller) ReleaseRate(now int64) float64 {
	if !s.pace.sure(now) {
		return 0
	}
	return s.pace.rate(now)
}

// advance moves on to now. A clock that went back moves nothing.
func (s *Controller) advance(now int64) {
	if s.born < 0 {
		s.born = now
	}
	s.cal.advance(now)
	s.fair.advance(now)
}

// Tick looks at what came since the last look, and returns a change of state, if
// there was one. It is to be called at least ten times a second while things happen.
func (s *Controller) Tick(now int64) (Change, bool) {
	s.advance(now)
	return s.watch.tick(now, s.all, s.pace.rate(now))
}

// Figures are what is worth watching.
type Figures struct {
	State        State
	Kind         Kind
	Pace         float64 // units a second
	Held, Booked float64 // units
}

// Figures returns them.
func (s *Controller) Figures(now int64) Figures {
	f := Figures{State: s.watch.state, Kind: s.watch.kind, Pace: s.pace.rate(now), Held: s.all}
	for i := range s.held {
		f.Booked += s.cal.booked(i)
	}
	return f
}

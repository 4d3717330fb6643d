package backpressure

import "fmt"

// This file owns the states: what arrives now against what usually does, how much
// of it came before, and what kind of crowd that makes. It only watches: no advice
// depends on a state.

// State is how much of a storm there is.
type State int

// The states.
const (
	Calm State = iota
	Rising
	Stormy
	Settling
)

func (s State) String() string { return [...]string{"calm", "rising", "storm", "settling"}[s] }

// Kind is what a crowd is made of.
type Kind int

// The kinds.
const (
	NoCrowd   Kind = iota
	Burst          // new demand
	Retries        // callers that were refused
	Reconnect      // tasks of a few services come back together
	Restart        // tasks are handed in as running, after a start
)

func (k Kind) String() string {
	return [...]string{"none", "burst", "retries", "reconnect", "restart"}[k]
}

// Change is a change of state, and why.
type Change struct {
	From, To State
	Kind     Kind
	Why      string
}

const (
	// usualHalf is in what time half of the usual rate is forgotten.
	usualHalf = 30 * second
	// risesAt is how many times the usual rate is a crowd, beyond crowdLeast a second.
	risesAt    = 2.0
	crowdLeast = 8.0
	// settlesAt is the multiple of the usual rate below which a storm settles.
	settlesAt = 1.3
	// calmAfter is how long it must stay so.
	calmAfter = 2 * second
	// manyAgain, manyFew and manyOpen are the shares that tell the kinds apart.
	manyAgain = 0.3
	manyFew   = 0.6
	manyOpen  = 0.4
	fewTop    = 3 // services
	topMost   = 16
)

// window counts events over the last second, in tenths.
type window struct {
	n    [10]int32
	head int64
	sum  int32
}

func (w *window) advance(now int64) {
	b := now / (second / 10)
	if w.head == 0 || b-w.head >= 10 {
		*w = window{head: b}
		return
	}
	for w.head < b {
		w.head++
		i := w.head % 10
		w.sum -= w.n[i]
		w.n[i] = 0
	}
}

func (w *window) add(now int64) {
	w.advance(now)
	w.n[w.head%10]++
	w.sum++
}

// top counts the most frequent services as Misra and Gries do: a service with more
// than a 17th of what came is among them.
type top struct {
	ids [topMost]uint64
	n   [topMost]float64
	all float64
}

func (t *top) add(id uint64) {
	t.all++
	free := -1
	for i := range t.ids {
		switch {
		case t.n[i] > 0 && t.ids[i] == id:
			t.n[i]++
			return
		case t.n[i] <= 0:
			free = i
		}
	}
	if free >= 0 {
		t.ids[free], t.n[free] = id, 1
		return
	}
	for i := range t.n {
		t.n[i]--
	}
}

// share is the part of all that the fewTop most frequent have.
func (t *top) share() float64 {
	var best [fewTop]float64
	for _, n := range t.n {
		for i := range best {
			if n > best[i] {
				n, best[i] = best[i], n
			}
		}
	}
	var sum float64
	for _, n := range best {
		sum += n
	}
	return sum / max(1, t.all)
}

func (t *top) fade(by float64) {
	t.all *= by
	for i := range t.n {
		t.n[i] *= by
	}
}

// detector watches what arrives.
type detector struct {
	asks, again, refusals, opened, starts window
	services                              top
	usual                                 float64 // set-ups a second
	born, at                              int64
	state                                 State
	kind                                  Kind
	quietFrom                             int64
}

func (d *detector) asked(now int64, c Request) {
	d.asks.add(now)
	d.services.add(c.Program)
}
func (d *detector) returned(now int64) { d.again.add(now) }
func (d *detector) refused(now int64)  { d.refusals.add(now) }
func (d *detector) started(now int64)  { d.starts.add(now) }
func (d *detector) adopted(now int64, c Request) {
	d.opened.add(now)
	d.services.add(c.Program)
}

// tick looks at the last second, ten times in it, and returns a change of state.
func (d *detector) tick(now int64, held, pace float64) (Change, bool) {
	if d.at == 0 {
		d.born, d.at = now, now
		return Change{}, false
	}
	gone := now - d.at
	if gone < second/10 {
		return Change{}, false
	}
	d.at = now
	for _, w := range []*window{&d.asks, &d.again, &d.refusals, &d.opened, &d.starts} {
		w.advance(now)
	}
	asks, again, opened := float64(d.asks.sum), float64(d.again.sum), float64(d.opened.sum)
	rate := asks + opened
	fresh := asks - again
	if d.state != Calm {
		// A crowd is not the usual, but what lasts becomes it: else a start into a crowd
		// would have none to come down to.
		fresh = min(fresh, max(d.usual*risesAt, d.usual+crowdLeast))
	}
	d.usual += (fresh - d.usual) * min(1, float64(gone)/float64(min(usualHalf, max(second, now-d.born))))
	d.services.fade(1 - min(0.9, float64(gone)/float64(second)))
	crowd := rate > max(d.usual*risesAt, d.usual+crowdLeast)
	waits := held > 0 && pace > 0 && held/pace > 1 // more than a second's room
	quiet := rate <= max(d.usual*settlesAt, d.usual+crowdLeast/2) && !waits
	if !quiet {
		d.quietFrom = now
	}
	was, to := d.state, d.state
	switch d.state {
	case Calm:
		if crowd {
			to = Rising
		}
		if waits && (crowd || float64(d.refusals.sum) > 0) {
			to = Stormy
		}
	case Rising:
		if waits || float64(d.refusals.sum) > d.usual {
			to = Stormy
		} else if quiet && now-d.quietFrom >= calmAfter {
			to = Calm
		}
	case Stormy:
		if quiet {
			to = Settling
		}
	case Settling:
		if waits || crowd {
			to = Stormy
		} else if now-d.quietFrom >= calmAfter {
			to = Calm
		}
	}
	if to == was {
		return Change{}, false
	}
	d.state = to
	if to == Calm {
		d.kind = NoCrowd
	} else if d.kind == NoCrowd || to == Stormy {
		d.kind = d.name(rate, again, opened)
	}
	return Change{From: was, To: to, Kind: d.kind, Why: fmt.Sprintf(
		"%.0f set-ups in the last second, %.1f usual; %.0f came again, %.0f were handed in as running, %d refused, %d started; "+
			"%.1f units wait at %.1f a second; the first %d services have %.0f%%",
		asks, d.usual, again, opened, d.refusals.sum, d.starts.sum, held, pace, fewTop, 100*d.services.share())}, true
}

// name tells the kinds apart.
func (d *detector) name(rate, again, opened float64) Kind {
	switch {
	case rate > 0 && opened/rate > manyOpen && d.at-d.born < 10*second:
		return Restart
	case rate > 0 && again/rate > manyAgain:
		return Retries
	case d.services.share() > manyFew, rate > 0 && opened/rate > manyOpen:
		return Reconnect
	}
	return Burst
}

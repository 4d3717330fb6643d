package fleet

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"ravenhitch/internal/testbed"
)

// This file owns the owners that offer tasks to a fleet: one at each orchestrator, one task
// after another, whatever becomes of it. It must never take an answer that did not come.

// pace is what an owner leaves between two tasks.
const pace = 5 * time.Millisecond

// Placed is what became of tasks.
type Placed struct {
	mu      sync.Mutex
	took    []time.Duration
	seconds []Second
	began   time.Time
	silent  []string // tags that an orchestrator which ran never answered
	all     sync.WaitGroup
}

// Second is what was told within one.
type Second struct{ Started, Refused, Failed, Lost int }

// P99 is how long all but one in a hundred placements took at most.
func (p *Placed) P99() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Sort(p.took); len(p.took) == 0 {
		return 0
	}
	return p.took[len(p.took)*99/100]
}

// Seconds is what was told, second by second; Silent the tags that were never answered.
func (p *Placed) Seconds() []Second {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.seconds)
}

// Silent is described at Seconds.
func (p *Placed) Silent() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.silent)
}

// Total sums all seconds.
func (p *Placed) Total() (t Second) {
	for _, s := range p.Seconds() {
		t.Started += s.Started
		t.Refused += s.Refused
		t.Failed += s.Failed
		t.Lost += s.Lost
	}
	return t
}

func (p *Placed) note(took time.Duration, l testbed.Line, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := int(time.Since(p.began) / time.Second)
	for len(p.seconds) <= k {
		p.seconds = append(p.seconds, Second{})
	}
	s := &p.seconds[k]
	switch {
	case lost:
		s.Lost++
	case l.Verb == "STARTED":
		s.Started++
		p.took = append(p.took, took)
	case l.Opts["wait"] != "":
		s.Refused++
	default:
		s.Failed++
	}
}

// Demand offers tasks to every orchestrator for a while; Wait waits for its end. Owners
// whose connection ends come again.
func (r *Fleet) Demand(length time.Duration) *Placed {
	p := &Placed{began: time.Now()}
	for i, x := range r.Orchestrators {
		p.all.Go(func() { r.own(p, i, x, p.began.Add(length)) })
	}
	return p
}

// Wait is described at Demand.
func (p *Placed) Wait() { p.all.Wait() }

func (r *Fleet) own(p *Placed, i int, x *Orchestrator, until time.Time) {
	var o *testbed.Client
	for n := r.tags.Add(1); time.Now().Before(until); n = r.tags.Add(1) {
		if o == nil {
			var err error
			if o, err = testbed.Dial(x.front); err != nil {
				o = nil
				time.Sleep(20 * pace) // an owner's, before it comes again
				continue
			}
		}
		tag, began := testbed.RequestID(i<<40|int(n)<<8|1), time.Now()
		testbed.Send(o, testbed.StartLine(tag, "guide-web", fmt.Sprintf("ok-%d-%d", i, n), 5000))
		l, ok := answer(o, tag)
		if p.note(time.Since(began), l, !ok); !ok {
			if o.Close(); x.runs(began) && r.net.WasHealthy(x.others[0], x.others[1], began) {
				p.mu.Lock()
				p.silent = append(p.silent, tag)
				p.mu.Unlock()
			}
			o = nil
			continue
		}
		if l.Verb == "STARTED" {
			testbed.Send(o, testbed.FinishLine("FINISH", tag, 16))
		}
		time.Sleep(pace)
	}
	if o != nil {
		o.Close()
	}
}

// runs reports whether an orchestrator has run, and not stood still, since a time.
func (x *Orchestrator) runs(since time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.Up() && !x.ending && x.born.Before(since) && x.pausedAt.Add(x.pausedFor).Before(since)
}

// answer is the first word on a tag.
func answer(o *testbed.Client, tag string) (testbed.Line, bool) {
	for limit := time.After(testbed.Patience); ; {
		select {
		case l, ok := <-o.Lines:
			if !ok || l.Tag == tag {
				return l, ok
			}
		case <-limit:
			return testbed.Line{}, false
		}
	}
}

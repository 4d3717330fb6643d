package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"ravenhitch/internal/testbed"
)

// This file owns how the steps of a schedule are carried out. It draws nothing itself.

// ways are the directions that a step means.
func (r *Fleet) ways(s testbed.Step) (out [][2]string) {
	if a, b, ok := strings.Cut(s.Where, "<->"); ok {
		return [][2]string{{a, b}, {b, a}}
	}
	if a, b, ok := strings.Cut(s.Where, "->"); ok {
		return [][2]string{{a, b}}
	}
	for _, a := range r.Orchestrators {
		for _, b := range r.Orchestrators {
			spared := len(s.Args) == 2 && (a.Name == s.Args[1] || b.Name == s.Args[1])
			if a != b && (s.Where == "all" || (a.Hall == s.Where) != (b.Hall == s.Where) && !spared) {
				out = append(out, [2]string{a.Name, b.Name})
			}
		}
	}
	return out
}

// do carries out a step.
func (r *Fleet) do(s testbed.Step) error {
	defer func() {
		r.mu.Lock()
		r.applied = append(r.applied, appliedStep{s, time.Now()})
		r.mu.Unlock()
	}()
	number := func(i int) (v float64) { fmt.Sscan(s.Args[i], &v); return v }
	span := func(i int) time.Duration { d, _ := time.ParseDuration(s.Args[i]); return d } // was read before
	switch s.Verb {
	case "heal":
		r.mu.Lock()
		r.healed = time.Now()
		r.mu.Unlock()
		return r.net.Heal()
	case "pause", "kill", "term", "start", "restart":
		x := r.named(s.Where)
		if x == nil {
			return fmt.Errorf("%s: no process %s", s, s.Where)
		}
		return r.process(x, s, span)
	}
	for _, w := range r.ways(s) {
		if s.Verb == "reset" {
			r.net.Reset(w[0], w[1])
			continue
		}
		if err := r.net.Set(w[0], w[1], func(c *testbed.Conditions) {
			switch s.Verb {
			case "cut":
				c.Cut = true
			case "refuse":
				c.Refuse = true
			case "delay":
				if c.Delay = span(0); len(s.Args) > 1 {
					c.Jitter = span(1)
				}
			case "loss":
				c.Loss = number(0)
			case "twice":
				c.Duplicate = number(0)
			case "overtake":
				c.Reorder = number(0)
			case "bandwidth":
				c.Bandwidth = int(number(0))
			case "flap":
				c.Flap, c.FlapSince = span(0), time.Now()
			case "mend":
				*c = testbed.Conditions{}
			}
		}); err != nil {
			return err
		}
	}
	return nil
}

// process carries out a step on a process.
func (r *Fleet) process(x *Orchestrator, s testbed.Step, span func(int) time.Duration) error {
	if s.Verb == "start" && x.Up() || s.Verb != "start" && !x.Up() {
		return nil // as a schedule that was drawn may have it
	}
	switch s.Verb {
	case "pause":
		x.mu.Lock()
		x.pausedAt, x.pausedFor = time.Now(), span(0)
		x.mu.Unlock()
		x.Pause()
		r.wait.Go(func() {
			select {
			case <-time.After(span(0)): // what the schedule does, not what anybody waits for
			case <-r.stop:
			}
			x.Resume()
		})
	case "kill", "term", "restart":
		sig := syscall.SIGKILL
		if s.Verb == "term" {
			sig = syscall.SIGTERM
		}
		x.mu.Lock()
		x.ending = true
		x.mu.Unlock()
		x.End(sig)
		if err := r.point(x, "", ""); err != nil || s.Verb != "restart" {
			return err
		}
		fallthrough
	case "start":
		if len(s.Args) == 1 {
			// An older copy is that of a start before; an empty folder knows of none.
			if err := os.WriteFile(filepath.Join(x.dir, "starts"), []byte("1\n"), 0o600); err != nil {
				return err
			}
			if s.Args[0] == "empty" {
				if err := os.Remove(filepath.Join(x.dir, "starts")); err != nil {
					return err
				}
			}
		}
		return r.start(x)
	}
	return nil
}

// Play carries out a schedule, and watches until some time after its end.
func (r *Fleet) Play(steps []testbed.Step, length time.Duration) {
	begin := time.Now()
	for _, s := range steps {
		time.Sleep(time.Until(begin.Add(s.At)))
		if err := r.do(s); err != nil {
			r.h.Errorf("%s: %v", s, err)
		}
	}
	time.Sleep(time.Until(begin.Add(length)))
}

// Draw makes a schedule for this fleet.
func (r *Fleet) Draw(seed uint64, length time.Duration) []testbed.Step {
	halls := map[string][]string{}
	for _, x := range r.Orchestrators {
		halls[x.Hall] = append(halls[x.Hall], x.Name)
	}
	return testbed.Draw(seed, halls, length)
}

// Check says whether a schedule names what is not there.
func (r *Fleet) Check(steps []testbed.Step) error {
	for _, s := range steps {
		switch s.Verb {
		case "heal":
		case "pause", "kill", "term", "start", "restart":
			if r.named(s.Where) == nil {
				return fmt.Errorf("%s: no orchestrator %s", s, s.Where)
			}
		default:
			ways := r.ways(s)
			if len(ways) == 0 {
				return fmt.Errorf("%s: expected a->b, a<->b, a hall or all", s)
			}
			for _, w := range ways {
				if !r.net.Has(w[0], w[1]) {
					return fmt.Errorf("%s: no way between %s and %s", s, w[0], w[1])
				}
			}
		}
	}
	return nil
}

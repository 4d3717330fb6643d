package fleet

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"ravenhitch/internal/testbed"
)

// This file executes the steps of a schedule. It makes no random choices: the random choices of a schedule are made
// when the schedule is drawn.

// appliedStep is a step and the time at which it was executed.
type appliedStep struct {
	testbed.Step
	at time.Time
}

// path is one direction between two processes.
type path struct{ from, to string }

// DrawSchedule returns a schedule for this fleet, drawn from a seed.
func (f *Fleet) DrawSchedule(seed uint64, length time.Duration) []testbed.Step {
	byZone := map[string][]string{}
	for _, o := range f.Orchestrators {
		byZone[o.Zone] = append(byZone[o.Zone], o.Name)
	}
	return testbed.DrawSchedule(seed, byZone, length)
}

// CheckSchedule returns an error if a schedule names a process or path that the fleet does not have.
func (f *Fleet) CheckSchedule(steps []testbed.Step) error {
	for _, step := range steps {
		if err := f.checkStep(step); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) checkStep(step testbed.Step) error {
	if step.Verb == testbed.VerbHeal {
		return nil
	}
	if step.OnProcess() {
		if f.orchestrator(step.Where) == nil {
			return fmt.Errorf("%s: no orchestrator %s", step, step.Where)
		}
		return nil
	}
	paths := f.paths(step)
	if len(paths) == 0 {
		return fmt.Errorf("%s: expected a->b, a<->b, a zone or all", step)
	}
	for _, p := range paths {
		if !f.network.Has(p.from, p.to) {
			return fmt.Errorf("%s: no path between %s and %s", step, p.from, p.to)
		}
	}
	return nil
}

// RunSchedule executes the steps of a schedule at their times. It returns after the last step, but not before the given
// length has passed since the call. If a step fails, RunSchedule reports the error to the host and continues.
func (f *Fleet) RunSchedule(steps []testbed.Step, length time.Duration) {
	begin := time.Now()
	for _, step := range steps {
		time.Sleep(time.Until(begin.Add(step.At)))
		if err := f.apply(step); err != nil {
			f.host.Errorf("%s: %v", step, err)
		}
		f.mu.Lock()
		f.applied = append(f.applied, appliedStep{step, time.Now()})
		f.mu.Unlock()
	}
	time.Sleep(time.Until(begin.Add(length)))
}

// paths returns the paths that a step affects.
func (f *Fleet) paths(step testbed.Step) (paths []path) {
	if a, b, ok := strings.Cut(step.Where, "<->"); ok {
		return []path{{a, b}, {b, a}}
	}
	if a, b, ok := strings.Cut(step.Where, "->"); ok {
		return []path{{a, b}}
	}
	for _, a := range f.Orchestrators {
		for _, b := range f.Orchestrators {
			acrossZone := (a.Zone == step.Where) != (b.Zone == step.Where)
			spared := step.Spares(a.Name) || step.Spares(b.Name)
			if a != b && (step.Where == testbed.AllPaths || acrossZone && !spared) {
				paths = append(paths, path{a.Name, b.Name})
			}
		}
	}
	return paths
}

// apply executes a step.
func (f *Fleet) apply(step testbed.Step) error {
	if step.Verb == testbed.VerbHeal {
		f.mu.Lock()
		f.healedAt = time.Now()
		f.mu.Unlock()
		return f.network.Heal()
	}
	if step.OnProcess() {
		o := f.orchestrator(step.Where)
		if o == nil {
			return fmt.Errorf("%s: no process %s", step, step.Where)
		}
		return f.applyToProcess(o, step)
	}
	for _, p := range f.paths(step) {
		if step.Verb == testbed.VerbReset {
			f.network.Reset(p.from, p.to)
			continue
		}
		if err := f.network.Set(p.from, p.to, func(c *testbed.Conditions) { changeConditions(c, step) }); err != nil {
			return err
		}
	}
	return nil
}

// changeConditions applies a step to the conditions of a path.
func changeConditions(c *testbed.Conditions, step testbed.Step) {
	switch step.Verb {
	case testbed.VerbCut:
		c.Cut = true
	case testbed.VerbRefuse:
		c.Refuse = true
	case testbed.VerbDelay:
		if c.Delay = step.Duration(0); len(step.Args) > 1 {
			c.Jitter = step.Duration(1)
		}
	case testbed.VerbLoss:
		c.Loss = step.Number(0)
	case testbed.VerbDuplicate:
		c.Duplicate = step.Number(0)
	case testbed.VerbReorder:
		c.Reorder = step.Number(0)
	case testbed.VerbBandwidth:
		c.Bandwidth = int(step.Number(0))
	case testbed.VerbFlap:
		c.Flap, c.FlapSince = step.Duration(0), time.Now()
	case testbed.VerbMend:
		*c = testbed.Conditions{}
	}
}

// applyToProcess executes a step on a process. It ignores a start of a process that already runs, and any other
// step on a process that does not run. Neither is an error, because both occur in schedules that
// testbed.ShrinkSchedule has shortened, for example a start whose kill was removed.
func (f *Fleet) applyToProcess(o *Orchestrator, step testbed.Step) error {
	if (step.Verb == testbed.VerbStart) == o.IsRunning() {
		return nil
	}
	switch step.Verb {
	case testbed.VerbPause:
		f.pause(o, step.Duration(0))
	case testbed.VerbKill:
		return f.end(o, syscall.SIGKILL)
	case testbed.VerbTerminate:
		return f.end(o, syscall.SIGTERM)
	case testbed.VerbRestart:
		if err := f.end(o, syscall.SIGKILL); err != nil {
			return err
		}
		return f.startAgain(o, step)
	case testbed.VerbStart:
		return f.startAgain(o, step)
	}
	return nil
}

// pause suspends a process for a time, or until the fleet shuts down.
func (f *Fleet) pause(o *Orchestrator, length time.Duration) {
	o.mu.Lock()
	o.pausedAt, o.pausedFor = time.Now(), length
	o.mu.Unlock()
	o.Pause()
	f.goroutines.Go(func() {
		select {
		case <-time.After(length):
		case <-f.stop:
		}
		o.Resume()
	})
}

// end sends a process a signal, waits until it has ended and clears its addresses.
func (f *Fleet) end(o *Orchestrator, signal syscall.Signal) error {
	o.mu.Lock()
	o.terminating = true
	o.mu.Unlock()
	o.End(signal)
	return f.setAddresses(o, "", "")
}

// startAgain starts a process that has ended. If the step has an argument, startAgain first sets the stored
// start counter.
func (f *Fleet) startAgain(o *Orchestrator, step testbed.Step) error {
	if len(step.Args) == 1 {
		if err := o.setStoredStarts(step.Args[0]); err != nil {
			return err
		}
	}
	return f.start(o)
}

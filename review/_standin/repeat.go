package main

// Case repeat: some answers of minions come after their time. The orchestrator gives the attempt up, the minion cuts the task
// and says so, and says it again on the next connection. A later attempt of the same request stands there by then, and the
// repeat is taken for its end: the owner is told that its task is over, while it stands.

import (
	"fmt"
	"os"
	"time"
)

func init() { cases["repeat"] = playRepeat }

// fleets is the number of fleets that play beside each other, each with an orchestrator of its own.
const fleets = 6

func playRepeat(s *scene) verdict {
	results := make(chan verdict, fleets)
	for i := range fleets {
		go func() { results <- playRepeatFleet(s, byte(0xf0+i)) }()
	}
	var all verdict
	for range fleets {
		v := <-results
		all.breaks = append(all.breaks, v.breaks...)
		if v.failed != nil {
			all.failed = v.failed
		}
	}
	return all
}

func playRepeatFleet(s *scene, name byte) verdict {
	dir, err := os.MkdirTemp(s.dir, "fleet")
	if err != nil {
		return verdict{failed: err}
	}
	orch, err := newOrchestrator(s.record, s.root, dir)
	if err != nil {
		return verdict{failed: err}
	}
	defer orch.stop()
	s.started(orch)
	plan := fleetPlan{nodes: 3, name: name, life: [2]time.Duration{4 * time.Second, 12 * time.Second}, asking: 45 * time.Second, tail: 14 * time.Second}
	if s.trouble {
		plan.trouble = "lateanswers"
	}
	book, err := playFleet(s, orch, plan)
	if err != nil {
		return verdict{failed: err}
	}
	book.mu.Lock()
	defer book.mu.Unlock()
	var v verdict
	started := 0
	for _, t := range book.tasks {
		at, release, by := t.served()
		if at.IsZero() {
			continue
		}
		started++
		over, isOver := t.overAt[by]
		if release.IsZero() || isOver && over.Sub(release) <= time.Second {
			continue
		}
		text := fmt.Sprintf("task %s of class %s was released towards its owner, and stood at %s for", t.tag, t.class, by)
		if isOver {
			v.breaks = append(v.breaks, fmt.Sprintf("%s another %.1f s", text, over.Sub(release).Seconds()))
		} else {
			v.breaks = append(v.breaks, text+" the rest of the run")
		}
	}
	s.record.log("%d tasks were answered as started", started)
	if started < 300 {
		v.failed = fmt.Errorf("%d tasks were started, too few", started)
	}
	return v
}

package main

// Case late: the command channel answers each call 1.9 s after the answer is due. The orchestrator gives each call up before the
// answer, asks again, and never learns anything. A minion is drained and stops; the tasks that stood there are never released.

import (
	"fmt"
	"math/rand"
	"time"
)

func init() { cases["late"] = playLate }

const (
	// lateBy stays under the 2 s after the requested wait that the pages allow a channel to be silent.
	lateBy = 1900 * time.Millisecond
	// releaseLimit is the limit of the protocol page for a task of which no release could be sent, with its slack.
	releaseLimit = 8*time.Second + 50*time.Millisecond
	// toldLimit is the time after which what the channel would have told counts as told at the latest.
	toldLimit = 7 * time.Second
)

func playLate(s *scene) verdict {
	seed := s.seed
	random := rand.New(rand.NewSource(seed))
	late := time.Duration(0)
	if s.trouble {
		late = lateBy
	}
	s.record.log("the channel answers %v late", late)
	c, err := newChannel(s.record, late)
	if err != nil {
		return verdict{failed: err}
	}
	var minions []*minion
	var entries []string
	for i := range 4 {
		m, err := newMinion(s.record, fmt.Sprintf("s-%08x", 0xa1+i), []string{"room-a", "room-b"}[i%2], i+1, 56, 120, seed+int64(i))
		if err != nil {
			return verdict{failed: err}
		}
		m.sizeOf = func(string) (float64, float64) { return 0.5, 1 }
		m.lifeOf = func(string) time.Duration { return 90 * time.Second }
		m.kind = "std-node"
		m.run()
		minions = append(minions, m)
		entries = append(entries, m.entry("up"))
	}
	c.add(true, entries...)
	s.orch.site = songHongSettings
	if err := s.orch.start(c); err != nil {
		return verdict{failed: err}
	}
	owner, err := dialClient(s.record, s.orch.addr, "owner")
	if err != nil {
		return verdict{failed: err}
	}
	stopping := minions[3]
	done := make(chan struct{})
	defer close(done)
	go func() { // set-ups go on to the end
		for {
			tag, key := fmt.Sprintf("%016x", random.Uint64()), fmt.Sprintf("%016x", random.Uint64())
			_ = owner.setUp(tag, key, "web-small", 5*time.Second, 0.5, 1, "")
			select {
			case <-done:
				return
			case <-time.After(250 * time.Millisecond):
			}
		}
	}()
	time.Sleep(8 * time.Second)
	s.record.log("%s drains: it keeps its tasks until it stops", stopping.id)
	stopping.mu.Lock()
	stopping.draining = true
	stopping.mu.Unlock()
	c.add(false, stopping.entry("draining"))
	time.Sleep(5 * time.Second)
	stopping.mu.Lock()
	var stood []string
	for tag := range stopping.standing {
		stood = append(stood, tag)
	}
	stopping.dead = true
	stopping.mu.Unlock()
	if err := dropPackets(stopping.listener); err != nil {
		return verdict{failed: err}
	}
	end := time.Now()
	s.record.log("%s stops, with %d tasks; its machine says nothing any more", stopping.id, len(stood))
	c.add(false, stopping.entry("removed"))
	if len(stood) == 0 {
		return verdict{failed: fmt.Errorf("no task stood at %s", stopping.id)}
	}
	time.Sleep(toldLimit + releaseLimit + 15*time.Second)
	var v verdict
	for _, tag := range stood {
		started, released := false, time.Time{}
		for _, got := range owner.about(tag) {
			started = started || got.Verb == "STARTED"
			if got.Verb == "FINISH" && released.IsZero() {
				released = got.at
			}
		}
		switch {
		case !started:
		case released.IsZero():
			v.breaks = append(v.breaks, fmt.Sprintf("task %s stood at %s, which stopped; it was not released in %.0f s", tag,
				stopping.id, time.Since(end).Seconds()))
		case released.Sub(end) > toldLimit+releaseLimit:
			v.breaks = append(v.breaks, fmt.Sprintf("task %s was released %.1f s after its end", tag, released.Sub(end).Seconds()))
		}
	}
	return v
}

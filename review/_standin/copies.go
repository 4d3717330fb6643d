package main

// Case copies: a minion's refusal comes a second time, some milliseconds late. A task that must not run twice is offered to
// the same minion again, and the second copy of the first refusal is taken for the refusal of the second offer.

import (
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"time"
)

func init() { cases["copies"] = playCopies }

// attempts is what the minions saw of the attempts of each request.
type attempts struct {
	mu      sync.Mutex
	starts  map[string][]string // minions at which the request's task was started, in order
	standAt map[string]map[string]bool
	twice   []string
}

func (a *attempts) started(r *record, m, tag, key string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.starts[key] = append(a.starts[key], m)
	if a.standAt[key] == nil {
		a.standAt[key] = map[string]bool{}
	}
	a.standAt[key][m] = true
	if len(a.starts[key]) > 1 {
		var at []string
		for id := range a.standAt[key] {
			at = append(at, id)
		}
		text := fmt.Sprintf("task %s of class archive-cut (request %s) was started %d times: at %s", key, tag, len(a.starts[key]),
			strings.Join(a.starts[key], ", then "))
		r.log("%s (stands at %v now)", text, at)
		a.twice = append(a.twice, text)
	}
}

func (a *attempts) over(m, key string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.standAt[key], m)
}

func playCopies(s *scene) verdict {
	seed := s.seed
	random := rand.New(rand.NewSource(seed))
	c, err := newChannel(s.record, 0)
	if err != nil {
		return verdict{failed: err}
	}
	seen := &attempts{starts: map[string][]string{}, standAt: map[string]map[string]bool{}}
	var entries []string
	for i := range 4 {
		m, err := newMinion(s.record, fmt.Sprintf("s-%08x", 0xa1+i), []string{"hall-a", "hall-b"}[i%2], i+1, 63, 117, seed+int64(i))
		if err != nil {
			return verdict{failed: err}
		}
		m.sizeOf = func(string) (float64, float64) { return 4, 6 }
		m.lifeOf = func(string) time.Duration { return 4 * time.Second }
		m.busy, m.busyNote = 0.3, "busy"
		if s.trouble {
			m.copyAfter = 6 * time.Millisecond
		}
		m.onStarted = func(m *minion, tag, key string) { seen.started(s.record, m.id, tag, key) }
		m.onEnded = func(m *minion, _, key string) { seen.over(m.id, key) }
		m.run()
		entries = append(entries, m.entry("up"))
	}
	c.add(true, entries...)
	if err := s.orch.start(c); err != nil {
		return verdict{failed: err}
	}
	owner, err := dialClient(s.record, s.orch.addr, "owner")
	if err != nil {
		return verdict{failed: err}
	}
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until); {
		tag, key := fmt.Sprintf("%016x", random.Uint64()), fmt.Sprintf("%016x", random.Uint64())
		if err := owner.setUp(tag, key, "archive-cut", 10*time.Second, 4, 6, ""); err != nil {
			return verdict{failed: err}
		}
		time.Sleep(time.Duration(100+random.Intn(200)) * time.Millisecond)
	}
	time.Sleep(time.Second)
	seen.mu.Lock()
	defer seen.mu.Unlock()
	s.record.log("%d tasks were started, %d of them twice", len(seen.starts), len(seen.twice))
	if len(seen.starts) < 20 {
		return verdict{failed: fmt.Errorf("%d tasks were started, too few", len(seen.starts))}
	}
	return verdict{breaks: seen.twice}
}

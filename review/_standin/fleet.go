package main

// This file plays a small fleet with three owners' connections and one kind of trouble, and keeps the ledger.

import (
	"fmt"
	"math/rand"
	"time"
)

type fleetPlan struct {
	trouble      string // kind of trouble of the minions, "" for none
	endings      bool   // owners give set-ups up and end tasks
	nodes        int
	name         byte             // of the fleet, in the names of its minions
	life         [2]time.Duration // least and most life of a task
	asking, tail time.Duration    // time with set-ups, and after it
}

func playFleet(s *scene, orch *orchestrator, p fleetPlan) (*ledger, error) {
	seed := s.seed + int64(p.name)*1000
	random := rand.New(rand.NewSource(seed))
	s.record.log("fleet %x, trouble of the minions: %q", p.name, p.trouble)
	c, err := newChannel(s.record, 0)
	if err != nil {
		return nil, err
	}
	book := &ledger{tasks: map[string]*ledgerTask{}, r: s.record}
	var minions []*minion
	var entries []string
	for i := range p.nodes {
		m, err := newMinion(s.record, fmt.Sprintf("s-%06x%02x", p.name, 0xa1+i), []string{"hall-a", "hall-b"}[i%2], i+1, 63, 117, seed+int64(i))
		if err != nil {
			return nil, err
		}
		m.sizeOf = func(string) (float64, float64) { return 0.5, 1 }
		m.lifeOf = func(string) time.Duration { return p.life[0] + time.Duration(m.rnd(int(p.life[1]-p.life[0]))) }
		m.busy, m.busyNote = 0.1, "busy"
		m.onArrived, m.onStarted, m.onEnded = book.arrived, book.started, book.ended
		m.onRefused = func(m *minion, tag, _ string) { book.attemptOver(m, tag) }
		m.onGivenUp = func(m *minion, tag string) { book.attemptOver(m, tag) }
		m.trouble, m.channel = p.trouble, c
		m.run()
		minions = append(minions, m)
		entries = append(entries, m.entry("up"))
	}
	c.add(true, entries...)
	if err := orch.start(c); err != nil {
		return nil, err
	}
	var owners []*client
	dial := func() error {
		owners = nil
		for i := range 3 {
			o, err := dialClient(s.record, orch.addr, fmt.Sprintf("owner %x.%d", p.name, i))
			if err != nil {
				return err
			}
			o.onMessage = func(m message) {
				book.mu.Lock()
				defer book.mu.Unlock()
				t := book.get(m.Tag)
				t.answers = append(t.answers, received{m, time.Now()})
			}
			owners = append(owners, o)
		}
		return nil
	}
	if err := dial(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	for _, m := range minions {
		go m.faults(stop)
	}
	for until := time.Now().Add(p.asking); time.Now().Before(until); {
		tag, key := fmt.Sprintf("%016x", random.Uint64()), fmt.Sprintf("%016x", random.Uint64())
		class, left := "guide-web", 6*time.Second
		if random.Intn(4) == 0 {
			class, left = "archive-cut", 10*time.Second
		}
		book.mu.Lock()
		t := book.get(tag)
		t.key, t.class, t.sent, t.left = key, class, time.Now(), left
		book.mu.Unlock()
		t.owner = owners[random.Intn(3)]
		if err := t.owner.setUp(tag, key, class, left, 0.5, 1, ""); err != nil {
			return nil, err
		}
		if p.endings && random.Intn(3) == 0 {
			o := owners[random.Intn(3)]
			time.AfterFunc(time.Duration(random.Intn(600))*time.Millisecond, func() { book.endByOwner(s.record, o, t) })
		}
		time.Sleep(time.Duration(10+random.Intn(60)) * time.Millisecond)
	}
	close(stop)
	time.Sleep(p.tail)
	return book, nil
}

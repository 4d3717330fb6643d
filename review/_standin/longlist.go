package main

// longlist lets the channel have 3 MB of events for one answer, as after a long outage in a large fleet, and looks whether the
// orchestrator learns them. It is a search tool.

import (
	"fmt"
	"time"
)

func init() { cases["longlist"] = playLongList }

func playLongList(s *scene) verdict {
	c, err := newChannel(s.record, 0)
	if err != nil {
		return verdict{failed: err}
	}
	m, err := newMinion(s.record, "s-1", "hall-a", 1, 63, 117, 1)
	if err != nil {
		return verdict{failed: err}
	}
	m.run()
	c.add(true, m.entry("up"))
	if err := s.orch.start(c); err != nil {
		return verdict{failed: err}
	}
	c.mu.Lock()
	for range 12_000 {
		n := len(c.events) + 1
		c.events = append(c.events, fmt.Sprintf(`{"cursor":%d,"nodes":{"revision":%d,"complete":false,"members":[%s]}}`, n, n, m.entry("up")))
	}
	close(c.added)
	c.added = make(chan struct{})
	c.mu.Unlock()
	text, count, _ := c.state(1)
	fmt.Println("the answer has", len(text), "bytes, events up to", count)
	time.Sleep(8 * time.Second)
	return verdict{}
}

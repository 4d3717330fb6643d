package main

// falseends looks once at two ways in which a task that stands may be released: its minion is not on the list yet when it is
// handed over, and its minion resets a connection and refuses the next one for a while. It is a search tool.

import (
	"context"
	"fmt"
	"net"
	"time"
)

func init() { cases["falseends"] = playFalseEnds }

func playFalseEnds(s *scene) verdict {
	c, err := newChannel(s.record, 0)
	if err != nil {
		return verdict{failed: err}
	}
	var minions []*minion
	for i := range 2 {
		m, err := newMinion(s.record, fmt.Sprint("s-", i+1), "hall-a", i+1, 63, 117, 1)
		if err != nil {
			return verdict{failed: err}
		}
		m.sizeOf = func(string) (float64, float64) { return 1, 1 }
		m.lifeOf = func(string) time.Duration { return 60 * time.Second }
		m.run()
		minions = append(minions, m)
	}
	c.add(true, minions[0].entry("up"))
	if err := s.orch.start(c); err != nil {
		return verdict{failed: err}
	}
	owner, err := dialClient(s.record, s.orch.addr, "owner")
	if err != nil {
		return verdict{failed: err}
	}
	start := time.Now()
	show := func(tag string) {
		for _, got := range owner.about(tag) {
			fmt.Println(tag, got.Verb, got.code(), got.at.Sub(start))
		}
	}
	const handed, stands = "00000000000000cc", "00000000000000dd"
	_ = owner.setUp(handed, "k1", "archive-cut", time.Second, 1, 1, "s-2")
	time.Sleep(3 * time.Second)
	c.add(false, minions[1].entry("up"))
	time.Sleep(3 * time.Second)
	show(handed)

	_ = owner.setUp(stands, "k2", "archive-cut", 10*time.Second, 1, 1, "")
	time.Sleep(time.Second)
	for _, m := range minions {
		m.mu.Lock()
		addr := m.listener.Addr().String()
		_ = m.listener.Close()
		for l := range m.conns {
			_ = l.Conn.(*net.TCPConn).SetLinger(0)
			_ = l.Close()
		}
		m.mu.Unlock()
		fmt.Println("connections reset at", time.Since(start))
		time.AfterFunc(time.Second, func() {
			listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp4", addr)
			if err == nil {
				m.mu.Lock()
				m.listener = listener
				m.mu.Unlock()
				go m.accept()
			}
		})
	}
	time.Sleep(5 * time.Second)
	show(stands)
	for _, m := range minions {
		m.mu.Lock()
		fmt.Println(m.id, "holds", len(m.standing))
		m.mu.Unlock()
	}
	return verdict{}
}

package main

// This file owns the troubles of a minion in the search tool.

import (
	"net"
	"time"
)

func (m *minion) rnd(n int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.Intn(n)
}

func (m *minion) awaitStall() {
	m.mu.Lock()
	until := m.stalled
	m.mu.Unlock()
	time.Sleep(time.Until(until))
}

// spoil sends an answer otherwise than usual, and reports whether it did.
func (m *minion) spoil(l *link, said message) bool {
	if m.rnd(5) > 0 {
		return false
	}
	switch m.trouble {
	case "lateanswers":
		time.AfterFunc(time.Duration(100+m.rnd(1500))*time.Millisecond, func() {
			m.record.log("%s: late STARTED %s", m.id, said.Tag)
			_ = l.send(said)
		})
	case "noanswers":
	case "twoanswers":
		_ = l.send(said)
		time.AfterFunc(time.Duration(m.rnd(20))*time.Millisecond, func() { _ = l.send(said) })
	case "resetanswers":
		m.reset(l)
	case "lostanswers": // the answer is lost with the connection some ms later
		time.AfterFunc(time.Duration(m.rnd(10))*time.Millisecond, func() { m.reset(l) })
	default:
		return false
	}
	return true
}

func (m *minion) reset(l *link) {
	m.record.log("%s: resets a connection", m.id)
	_ = l.Conn.(*net.TCPConn).SetLinger(0)
	_ = l.Close()
}

// faults plays the troubles that come by themselves.
func (m *minion) faults(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(300+m.rnd(2500)) * time.Millisecond):
		}
		switch m.trouble {
		case "resets", "closes":
			m.mu.Lock()
			for l := range m.conns {
				if m.trouble == "resets" {
					_ = l.Conn.(*net.TCPConn).SetLinger(0)
				}
				_ = l.Close()
				delete(m.conns, l)
				break
			}
			m.mu.Unlock()
		case "stalls":
			m.mu.Lock()
			m.stalled = time.Now().Add(time.Duration(200+m.random.Intn(300)) * time.Millisecond)
			m.mu.Unlock()
		case "hangs":
			m.mu.Lock()
			m.stalled = time.Now().Add(time.Duration(2000+m.random.Intn(3000)) * time.Millisecond)
			m.mu.Unlock()
		}
	}
}

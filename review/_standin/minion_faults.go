package main

// This file owns the troubles of a minion in the search tool.

import (
	"context"
	"fmt"
	"net"
	"strings"
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
		case "crashes", "takeovers":
			if m.rnd(4) == 0 {
				m.crash()
			}
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

// crash ends the minion's process: its connections are reset and its tasks cut. It starts again at the same address after a
// while, cold and with no task; with takeovers under a new name. The list tells late.
func (m *minion) crash() {
	m.mu.Lock()
	m.record.log("%s: dies with %d tasks", m.id, len(m.standing))
	_ = m.listener.Close()
	for l := range m.conns {
		_ = l.Conn.(*net.TCPConn).SetLinger(0)
		_ = l.Close()
	}
	var cut, open []string
	for tag := range m.standing {
		cut = append(cut, tag)
	}
	for tag := range m.open {
		open = append(open, tag)
	}
	old := m.id
	m.conns, m.open, m.standing, m.unsaid = map[*link]bool{}, map[string]*offer{}, map[string]*offer{}, nil
	m.usedC, m.usedM = 0, 0
	m.mu.Unlock()
	for _, tag := range cut {
		m.onEnded(m, tag, "")
	}
	for _, tag := range open {
		m.onGivenUp(m, tag)
	}
	if m.rnd(2) == 0 {
		time.Sleep(time.Duration(m.rnd(1500)) * time.Millisecond)
	} else {
		time.Sleep(time.Duration(m.rnd(60)) * time.Millisecond)
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp4", m.listener.Addr().String())
	if err != nil {
		m.record.log("%s: cannot listen again: %v", m.id, err)
		return
	}
	m.mu.Lock()
	m.listener = listener
	m.up = time.Now().UnixMilli()
	if m.trouble == "takeovers" {
		m.generation++
		m.id = fmt.Sprintf("%s-%d", old[:10], m.generation)
	}
	m.record.log("%s: starts again as %s", old, m.id)
	m.mu.Unlock()
	go m.accept()
	gone := m.entry("removed")
	gone = strings.Replace(gone, m.id, old, 1)
	time.AfterFunc(time.Duration(500+m.rnd(3000))*time.Millisecond, func() {
		if old != m.id {
			m.channel.add(false, gone, m.entry("up"))
		} else {
			m.channel.add(false, m.entry("up"))
		}
		m.record.log("the channel tells of the start of %s", m.id)
	})
}

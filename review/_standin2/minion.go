package main

// This file owns the stand-in minion. It follows the protocol page: it looks at one offer at a time, accepts what it is
// offered, reports on the connection of the set-up or else on any open one, repeats the end of a task on the next
// connection, and cuts a task that an orchestrator releases. It has one address for each orchestrator.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"ravenhitch/internal/testbed"
)

const (
	admitTime   = 15 * time.Millisecond // within the 11 to 34 ms of the brief
	notePeriod  = 500 * time.Millisecond
	kindOfSmall = "node-32"
)

// minion is a stand-in minion.
type minion struct {
	h            *harness
	name, zone   string
	kind         string
	cores, units float64

	mu         sync.Mutex
	conns      map[net.Conn]string // the orchestrator to which each open connection leads
	tasks      map[string]*task    // standing tasks, by tag
	starts     map[string]int      // START messages, by tag
	keys       map[string]int      // tasks started, by key
	repeats    []testbed.Line      // ends to be sent on the next connection
	cuts       map[string]string   // the orchestrator whose release cut a task, by tag
	cutAt      map[string]time.Time
	draining   bool
	startTimes []time.Time                  // of the START messages
	answers    func(line testbed.Line) bool // whether the answer to an offer is sent; nil for always
	admitsMu   sync.Mutex                   // held while the minion looks at an offer
	ended      func(tag string)             // called at the end of a task, if set
	guard      *guard                       // shared by the minions of one zone; nil if no class is keyed
	resets     func(line testbed.Line) bool // whether the connection is reset after an offer was accepted; nil for never
	lifetime   func(line testbed.Line) time.Duration
}

// guard is what the minions of one zone know together of the keys of keyed classes: they let one copy stand.
type guard struct {
	mu       sync.Mutex
	standing map[string]bool // by key
}

// admits reports whether no copy of a key stands, and records that one does. Without a key, nothing can be recognised.
func (g *guard) admits(key string) bool {
	if g == nil || key == "" {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.standing[key] {
		return false
	}
	g.standing[key] = true
	return true
}

// task is a standing task.
type task struct {
	conn  net.Conn
	key   string
	cores float64
	units float64
	end   *time.Timer
}

func (h *harness) newMinion(name, zone string) *minion {
	m := &minion{h: h, name: name, zone: zone, kind: kindOfSmall, cores: 28, units: 60, conns: map[net.Conn]string{}, tasks: map[string]*task{},
		starts: map[string]int{}, keys: map[string]int{}, cuts: map[string]string{}, cutAt: map[string]time.Time{}}
	stop := make(chan struct{})
	h.Cleanup(func() { close(stop) })
	go m.sendNotes(stop)
	return m
}

// listen returns an address of the minion for an orchestrator.
func (m *minion) listen(orchestrator string) string {
	l, err := testbed.ListenLocal()
	if err != nil {
		m.h.cannotRun("%v", err)
	}
	m.h.Cleanup(func() { testbed.CloseQuietly(l) })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go m.serve(conn, orchestrator)
		}
	}()
	return l.Addr().String()
}

// entry returns the list entry of the minion at an address.
func (m *minion) entry(addr, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":%q,"flavor":%q,"cell":1,"phase":%q,"size":1,"up_since_ms":0,"spare":[%g,%g]}`,
		m.name, addr, m.zone, m.kind, phase, m.cores, m.units)
}

// serve handles the messages of a connection.
func (m *minion) serve(conn net.Conn, orchestrator string) {
	m.mu.Lock()
	m.conns[conn] = orchestrator
	repeats := m.repeats
	m.repeats = nil
	m.mu.Unlock()
	for _, line := range repeats {
		m.send(conn, line)
	}
	var mu sync.Mutex
	open := map[string]bool{} // set-ups that are not given up
	offers := make(chan testbed.Line, 10_000)
	go func() {
		for line := range offers {
			m.admitsMu.Lock()
			time.Sleep(admitTime)
			m.admitsMu.Unlock()
			mu.Lock()
			if open[line.Tag] {
				delete(open, line.Tag)
				m.accept(conn, line)
			}
			mu.Unlock()
		}
	}()
	for scanner := bufio.NewScanner(conn); scanner.Scan(); {
		var line testbed.Line
		if json.Unmarshal(scanner.Bytes(), &line) != nil {
			break
		}
		if line.Verb != "ECHO" {
			m.h.note("%s <- %s %s", m.name, orchestrator, text(line))
		}
		switch line.Verb {
		case "START":
			m.mu.Lock()
			m.starts[line.Tag]++
			m.startTimes = append(m.startTimes, time.Now())
			m.mu.Unlock()
			mu.Lock()
			open[line.Tag] = true
			mu.Unlock()
			offers <- line
		case "FINISH":
			mu.Lock()
			delete(open, line.Tag)
			mu.Unlock()
			m.released(conn, orchestrator, line.Tag)
		case "ECHO":
			testbed.Send(conn, m.report(line))
		}
	}
	close(offers)
	mu.Lock()
	clear(open)
	mu.Unlock()
	m.mu.Lock()
	delete(m.conns, conn)
	m.mu.Unlock()
	_ = conn.Close()
}

// report returns the answer to a test.
func (m *minion) report(test testbed.Line) testbed.Line {
	m.mu.Lock()
	defer m.mu.Unlock()
	cores, units := m.cores, m.units
	for _, t := range m.tasks {
		cores, units = cores-t.cores, units-t.units
	}
	answer := testbed.CodeLine("ECHOED", test.Tag, 1)
	answer.Opts["load"] = fmt.Sprintf("x0:%g;x1:%g", cores, units)
	return answer
}

func (m *minion) send(conn net.Conn, line testbed.Line) {
	m.h.note("%s -> %s %s", m.name, m.orchestratorOf(conn), text(line))
	testbed.Send(conn, line)
}

func (m *minion) orchestratorOf(conn net.Conn) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.conns[conn]
}

// accept accepts an offer: the task stands.
func (m *minion) accept(conn net.Conn, line testbed.Line) {
	if m.state() == "draining" || !m.guard.admits(line.Opts["idem"]) {
		refusal := testbed.CodeLine("FINISH", line.Tag, 34)
		refusal.Opts["note"] = "wrong_host" // it drains, or a copy stands
		m.send(conn, refusal)
		return
	}
	t := &task{conn: conn, key: line.Opts["key"], cores: 1, units: 2}
	if strings.HasPrefix(t.key, "cut") {
		t.cores, t.units = 4, 6
	}
	m.mu.Lock()
	m.tasks[line.Tag] = t
	m.keys[t.key]++
	if m.lifetime != nil {
		t.end = time.AfterFunc(m.lifetime(line), func() { m.completed(line.Tag) })
	}
	m.mu.Unlock()
	m.h.note("%s runs the task %s of %s", m.name, line.Tag, t.key)
	switch {
	case m.resets != nil && m.resets(line):
		m.h.note("%s: the connection is reset before the answer", m.name)
		testbed.ResetConnection(conn)
	case m.answers == nil || m.answers(line):
		m.send(conn, testbed.Line{Verb: "STARTED", Tag: line.Tag, Opts: map[string]string{}, Blob: line.Blob})
	}
}

// released handles a release by an orchestrator, which cuts the task if it stands.
func (m *minion) released(conn net.Conn, orchestrator, tag string) {
	m.send(conn, testbed.Line{Verb: "FINISHED", Tag: tag, Opts: map[string]string{}})
	m.mu.Lock()
	t := m.tasks[tag]
	if t != nil {
		m.cuts[tag], m.cutAt[tag] = orchestrator, time.Now()
	}
	m.mu.Unlock()
	if t != nil {
		m.h.note("%s cuts the task %s, released by %s", m.name, tag, orchestrator)
		m.over(tag, testbed.CodeLine("FINISH", tag, 31))
	}
}

// completed handles the end of a task by itself.
func (m *minion) completed(tag string) { m.over(tag, testbed.CodeLine("FINISH", tag, 16)) }

// over ends a task and reports it.
func (m *minion) over(tag string, line testbed.Line) {
	m.mu.Lock()
	t := m.tasks[tag]
	if t == nil {
		m.mu.Unlock()
		return
	}
	delete(m.tasks, tag)
	if m.ended != nil {
		m.ended(tag)
	}
	if t.end != nil {
		t.end.Stop()
	}
	conn := t.conn
	if _, isOpen := m.conns[conn]; !isOpen {
		conn = nil
		for other := range m.conns {
			conn = other
		}
	}
	m.repeats = append(m.repeats, line)
	m.mu.Unlock()
	if conn != nil {
		m.send(conn, line)
	}
}

// stands reports whether a task stands.
func (m *minion) stands(tag string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tasks[tag] != nil
}

// startsOf returns how often a tag was offered here.
func (m *minion) startsOf(tag string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.starts[tag]
}

// ranKey returns how many tasks of a key were started here.
func (m *minion) ranKey(key string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.keys[key]
}

// cutBy returns the orchestrator whose release cut a task, or "".
func (m *minion) cutBy(tag string) (string, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cuts[tag], m.cutAt[tag]
}

// sendNotes sends notes on the standing tasks: what each uses.
func (m *minion) sendNotes(stop <-chan struct{}) {
	ticker := time.NewTicker(notePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		type note struct {
			conn net.Conn
			line testbed.Line
		}
		var notes []note
		m.mu.Lock()
		for tag, t := range m.tasks {
			conn := t.conn
			if _, isOpen := m.conns[conn]; !isOpen {
				for other := range m.conns {
					conn = other
				}
			}
			if _, isOpen := m.conns[conn]; isOpen {
				notes = append(notes, note{conn, testbed.Line{Verb: "NOTICE", Tag: tag,
					Opts: map[string]string{"note": "cpu", "value": fmt.Sprintf("%g", t.cores*0.7)}}})
			}
		}
		m.mu.Unlock()
		for _, n := range notes {
			testbed.Send(n.conn, n.line)
		}
	}
}

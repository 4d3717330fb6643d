package main

// This file owns the stand-in for a minion: it looks at one offer at a time, accepts what fits its cores and memory, and
// reports the ends of its tasks as the protocol page says.

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"sync"
	"time"
)

type offer struct {
	conn  *link
	start message
	cores float64
}

type minion struct {
	kind       string // of the list, "" for that of almaty-main
	id, zone   string
	cell       int
	cores, mem float64
	record     *record
	listener   net.Listener
	sizeOf     func(key string) (cores, memory float64) // of the task with this name
	lifeOf     func(key string) time.Duration
	busy       float64 // share of offers that find the waiting line full with those of others
	busyNote   string
	copyAfter  time.Duration // after which every other refusal comes again, 0 for none
	onArrived  func(m *minion, tag, key string)
	onStarted  func(m *minion, tag, key string)
	onEnded    func(m *minion, tag, key string)
	onRefused  func(m *minion, tag, key string)
	onGivenUp  func(m *minion, tag string)
	trouble    string
	up         int64 // Unix millisecond of a late start
	generation int
	channel    *channel
	stalled    time.Time        // it does nothing until then
	wait       [2]time.Duration // least and most time to look at an offer
	mu         sync.Mutex
	random     *rand.Rand
	conns      map[*link]bool
	line       chan *offer
	open       map[string]*offer // offers not decided yet, by tag
	standing   map[string]*offer
	usedC      float64
	usedM      float64
	unsaid     []message
	dead       bool
	draining   bool // it accepts nothing new
}

func newMinion(r *record, id, zone string, cell int, cores, mem float64, seed int64) (*minion, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // dropPackets needs plain TCP
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &minion{id: id, zone: zone, cell: cell, cores: cores, mem: mem, record: r, listener: listener,
		random: rand.New(rand.NewSource(seed)), conns: map[*link]bool{}, line: make(chan *offer, 4096),
		open: map[string]*offer{}, standing: map[string]*offer{},
		wait: [2]time.Duration{11 * time.Millisecond, 34 * time.Millisecond}}
	return m, nil
}

func (m *minion) run() {
	go m.accept()
	go m.decideAll()
}

func (m *minion) entry(phase string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	kind := "node-32"
	switch {
	case m.kind != "":
		kind = m.kind
	case m.cores > 40:
		kind = "node-64"
	}
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":%q,"flavor":%q,"cell":%d,"phase":%q,"size":1,"up_since_ms":%d,"spare":[%g,%g]}`,
		m.id, m.listener.Addr().String(), m.zone, kind, m.cell, phase, m.up, m.cores-m.usedC, m.mem-m.usedM)
}

func (m *minion) accept() {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			return
		}
		l := &link{Conn: conn}
		m.mu.Lock()
		m.conns[l] = true
		unsaid := m.unsaid
		m.unsaid = nil
		dead := m.dead
		m.mu.Unlock()
		if dead {
			continue
		}
		for _, u := range unsaid {
			_ = l.send(u)
		}
		go func() {
			l.receive(func(msg message) { m.handle(l, msg) })
			m.closed(l)
		}()
	}
}

func (m *minion) isDead() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dead
}

func (m *minion) closed(l *link) {
	m.mu.Lock()
	delete(m.conns, l)
	var givenUp []string
	for tag, o := range m.open {
		if o.conn == l {
			delete(m.open, tag)
			givenUp = append(givenUp, tag)
		}
	}
	m.mu.Unlock()
	for _, tag := range givenUp {
		if m.onGivenUp != nil {
			m.onGivenUp(m, tag)
		}
	}
	_ = l.Close()
}

func (m *minion) handle(l *link, msg message) {
	m.awaitStall()
	if m.isDead() {
		return
	}
	switch msg.Verb {
	case "START":
		c, _ := m.sizeOf(msg.opt("key"))
		o := &offer{conn: l, start: msg, cores: c}
		m.record.log("%s: START %s (task %s, class %s)", m.id, msg.Tag, msg.opt("key"), msg.opt("class"))
		if m.onArrived != nil {
			m.onArrived(m, msg.Tag, msg.opt("key"))
		}
		m.mu.Lock()
		full := m.random.Float64() < m.busy
		if !full {
			m.open[msg.Tag] = o
		}
		m.mu.Unlock()
		if full {
			time.AfterFunc(m.look(), func() { m.refuse(o, m.busyNote) })
			return
		}
		m.line <- o
	case "FINISH":
		m.mu.Lock()
		_, waiting := m.open[msg.Tag]
		delete(m.open, msg.Tag)
		o := m.standing[msg.Tag]
		m.mu.Unlock()
		m.record.log("%s: FINISH %s %d from the orchestrator (waiting %v, standing %v)", m.id, msg.Tag, msg.code(), waiting, o != nil)
		if o != nil {
			m.end(msg.Tag, 31, "")
		} else if waiting && m.onGivenUp != nil {
			m.onGivenUp(m, msg.Tag)
		}
	case "ECHO":
		rc := 1
		m.mu.Lock()
		load := fmt.Sprintf("x0:%g;x1:%g", m.cores-m.usedC, m.mem-m.usedM)
		m.mu.Unlock()
		_ = l.send(message{Verb: "ECHOED", Tag: msg.Tag, Opts: map[string]any{"load": load}, RC: &rc})
	}
}

func (m *minion) look() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wait[0] + time.Duration(m.random.Int63n(int64(m.wait[1]-m.wait[0])+1))
}

func (m *minion) decideAll() {
	for o := range m.line {
		time.Sleep(m.look())
		m.awaitStall()
		m.decide(o)
	}
}

func (m *minion) decide(o *offer) {
	tag, key := o.start.Tag, o.start.opt("key")
	cores, mem := m.sizeOf(key)
	m.mu.Lock()
	if m.dead || m.open[tag] != o {
		m.mu.Unlock()
		return
	}
	delete(m.open, tag)
	note := ""
	switch {
	case m.draining, m.standing[tag] != nil:
		note = "wrong_host"
	case m.usedC+cores > m.cores:
		note = "cpu_full"
	case m.usedM+mem > m.mem:
		note = "mem_full"
	}
	if note == "" {
		m.standing[tag] = o
		m.usedC += cores
		m.usedM += mem
	}
	m.mu.Unlock()
	if note != "" {
		m.refuse(o, note)
		return
	}
	if m.onStarted != nil {
		m.onStarted(m, tag, key)
	}
	m.record.log("%s: STARTED %s (task %s)", m.id, tag, key)
	blob := m.id + " holds " + *o.start.Blob
	said := message{Verb: "STARTED", Tag: tag, Opts: map[string]any{}, Blob: &blob}
	if !m.spoil(o.conn, said) {
		_ = o.conn.send(said)
	}
	time.AfterFunc(m.lifeOf(key), func() { m.end(tag, 16, "") })
}

func (m *minion) refuse(o *offer, note string) {
	tag := o.start.Tag
	if m.onRefused != nil {
		m.onRefused(m, tag, o.start.opt("key"))
	}
	m.record.log("%s: FINISH %s 34 %s (refused, never ran)", m.id, tag, note)
	_ = o.conn.send(finishNote(tag, 34, note))
	if m.copyAfter > 0 && m.rnd(2) == 0 {
		time.AfterFunc(m.copyAfter, func() {
			m.record.log("%s: FINISH %s 34 %s (second copy of the same answer)", m.id, tag, note)
			_ = o.conn.send(finishNote(tag, 34, note))
		})
	}
}

// end ends a standing task and says so on the connection of its set-up, else on any open one, and on the next one.
func (m *minion) end(tag string, rc int, note string) {
	m.mu.Lock()
	o := m.standing[tag]
	if o == nil || m.dead {
		m.mu.Unlock()
		return
	}
	key := o.start.opt("key")
	cores, mem := m.sizeOf(key)
	delete(m.standing, tag)
	m.usedC -= cores
	m.usedM -= mem
	target := o.conn
	if !m.conns[target] {
		target = nil
		for l := range m.conns {
			target = l
		}
	}
	said := finishNote(tag, rc, note)
	m.unsaid = append(m.unsaid, said)
	m.mu.Unlock()
	m.record.log("%s: FINISH %s %d %s (the task is over)", m.id, tag, rc, note)
	if m.onEnded != nil {
		m.onEnded(m, tag, key)
	}
	if target != nil {
		_ = target.send(said)
	}
}

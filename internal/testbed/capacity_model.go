package testbed

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// This file owns the emulated machine behind minions: its room, the queue of offers
// that it looks at one at a time, the few starts under way, and its being cold.

// WorkerSpec says what a machine can do.
type WorkerSpec struct {
	Name, Hall, Kind string
	Cell             int
	Cores, Memory    float64
	Ask              [2]time.Duration // how long it looks at one offer
	Queue            int              // offers that may wait
	Starts           int              // at a time
	// A cold machine starts at ColdStartRate of its pace, is warm after ColdFor, and falls
	// over once it is offered more than Multiple times what it can start, Fresh offers
	// at least, within FallFor.
	Up                         time.Time // zero: long ago
	ColdShare, Multiple, Fresh float64
	ColdFor, FallFor           time.Duration
	MeanWork                   time.Duration // of a start
}

// Task is what a set-up's description says of a task to a machine.
type Task struct {
	Class         string
	Cores, Memory float64
	Work, Life    time.Duration
}

// Describe writes a task as a description.
func (t Task) Describe() string {
	return fmt.Sprintf("%s %g %g %d %d", t.Class, t.Cores, t.Memory, t.Work, t.Life)
}

func describe(s string) (t Task, err error) {
	_, err = fmt.Sscanf(s, "%s %g %g %d %d", &t.Class, &t.Cores, &t.Memory, &t.Work, &t.Life)
	return t, err
}

// Observer is told what machines do. It may be called from many goroutines.
type Observer interface {
	// Offered, Refused and GivenUp tell of offers, Refused before the word is sent.
	Offered(machine, tag string)
	Refused(machine, tag string)
	GivenUp(machine, tag string)
	Accepted(machine, key, tag string, t Task)
	Runs(key string)
	Over(key, tag string)
}

// CapacityModel is an emulated machine. Each orchestrator reaches it by a Minion of its own.
type CapacityModel struct {
	WorkerSpec
	watch   Observer
	asks    chan ask
	starts  chan struct{}
	stop    chan struct{}
	mu      sync.Mutex
	rng     *rand.Rand
	cores   float64 // held
	memory  float64
	runs    map[string]*run
	queued  map[string]bool // offers that wait; false: given up meanwhile
	offers  []time.Time     // while cold
	peak    float64         // of offers against the bound
	fallen  bool
	refused map[string]int // by note
	minions []*Worker
}

type ask struct {
	m    *Worker
	c    net.Conn
	l    Line
	task Task
}

type run struct {
	Task
	m    *Worker
	c    net.Conn
	key  string
	stop chan struct{}
	cut  bool
}

// NewCapacityModel starts a machine.
func NewCapacityModel(t Host, s WorkerSpec, w Observer, seed uint64) *CapacityModel {
	m := &CapacityModel{WorkerSpec: s, watch: w, asks: make(chan ask, s.Queue), starts: make(chan struct{}, max(1, s.Starts)),
		stop: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 1)), runs: map[string]*run{}, queued: map[string]bool{}, refused: map[string]int{}}
	go m.look()
	t.Cleanup(func() { close(m.stop) })
	return m
}

// NewWorker opens a way to the machine.
func (m *CapacityModel) NewWorker(t Host) *Worker {
	n := newWorker(t, m.Name, m)
	m.mu.Lock()
	m.minions = append(m.minions, n)
	m.mu.Unlock()
	return n
}

func (m *CapacityModel) offered(c net.Conn, l Line) {
	m.watch.Offered(m.Name, l.Tag)
	var n *Worker
	m.mu.Lock()
	for _, o := range m.minions {
		if o.has(c) {
			n = o
		}
	}
	m.weigh()
	fallen := m.fallen
	m.mu.Unlock()
	task, err := describe(*l.Blob)
	if err != nil || fallen {
		if err != nil {
			Send(c, FinishLine("FINISH", l.Tag, 47))
		}
		return
	}
	m.mu.Lock()
	m.queued[l.Tag] = true
	m.mu.Unlock()
	select {
	case m.asks <- ask{n, c, l, task}:
	default:
		m.mu.Lock()
		delete(m.queued, l.Tag)
		m.mu.Unlock()
		m.refuse(c, l.Tag, "busy")
	}
}

// weigh counts an offer against what a cold machine bears, and lets it fall over.
func (m *CapacityModel) weigh() {
	if m.Up.IsZero() || time.Since(m.Up) > m.ColdFor {
		return
	}
	now := time.Now()
	m.offers = append(m.offers, now)
	for len(m.offers) > 0 && now.Sub(m.offers[0]) > m.FallFor {
		m.offers = m.offers[1:]
	}
	bound := max(m.Fresh, m.Multiple*m.pace()*float64(m.Starts)*m.FallFor.Seconds()/m.MeanWork.Seconds())
	m.peak = max(m.peak, float64(len(m.offers))/bound)
	if m.peak > 1 {
		m.fallen = true
	}
}

func (m *CapacityModel) pace() float64 {
	if m.Up.IsZero() || time.Since(m.Up) > m.ColdFor {
		return 1
	}
	return m.ColdShare + (1-m.ColdShare)*time.Since(m.Up).Seconds()/m.ColdFor.Seconds()
}

func (m *CapacityModel) refuse(c net.Conn, tag, note string) {
	m.mu.Lock()
	m.refused[note]++
	m.mu.Unlock()
	m.watch.Refused(m.Name, tag)
	l := FinishLine("FINISH", tag, 34)
	l.Opts["note"] = note
	Send(c, l)
}

// look takes the offers one at a time.
func (m *CapacityModel) look() {
	for {
		var a ask
		select {
		case a = <-m.asks:
		case <-m.stop:
			return
		}
		m.mu.Lock()
		if !m.queued[a.l.Tag] {
			delete(m.queued, a.l.Tag)
			m.mu.Unlock()
			continue
		}
		d := m.Ask[0] + time.Duration(m.rng.Int64N(int64(m.Ask[1]-m.Ask[0])+1))
		m.mu.Unlock()
		select {
		case <-time.After(d):
		case <-m.stop:
			return
		}
		m.decide(a)
	}
}

func (m *CapacityModel) decide(a ask) {
	m.mu.Lock()
	t := a.task
	wanted := m.queued[a.l.Tag]
	delete(m.queued, a.l.Tag)
	switch {
	case !wanted:
		m.mu.Unlock()
		return
	case m.fallen:
		m.mu.Unlock()
		return
	case m.cores+t.Cores > m.Cores+1e-9:
		m.mu.Unlock()
		m.refuse(a.c, a.l.Tag, "cpu_full")
		return
	case m.memory+t.Memory > m.Memory+1e-9:
		m.mu.Unlock()
		m.refuse(a.c, a.l.Tag, "mem_full")
		return
	}
	m.cores += t.Cores
	m.memory += t.Memory
	r := &run{Task: t, m: a.m, c: a.c, key: a.l.Opts["key"], stop: make(chan struct{})}
	m.runs[a.l.Tag] = r
	m.mu.Unlock()
	m.watch.Accepted(m.Name, r.key, a.l.Tag, t)
	blob := m.Name + " holds " + r.key
	Send(a.c, Line{Verb: "STARTED", Tag: a.l.Tag, Opts: map[string]string{}, Blob: &blob})
	go m.live(a.l.Tag, r)
}

// live starts an accepted task, and ends it when its time has come.
func (m *CapacityModel) live(tag string, r *run) {
	select {
	case m.starts <- struct{}{}:
	case <-r.stop:
		m.over(tag, r)
		return
	case <-m.stop:
		return
	}
	m.mu.Lock()
	d := time.Duration(float64(r.Work) / m.pace())
	m.mu.Unlock()
	wait := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-r.stop:
		case <-m.stop:
		}
		return false
	}
	ok := wait(d)
	<-m.starts
	if ok {
		m.watch.Runs(r.key)
		wait(r.Life)
	}
	m.over(tag, r)
}

// over gives the room back and tells the end.
func (m *CapacityModel) over(tag string, r *run) {
	m.mu.Lock()
	delete(m.runs, tag)
	m.cores -= r.Cores
	m.memory -= r.Memory
	cause := 16
	if r.cut {
		cause = 31
	}
	m.mu.Unlock()
	m.watch.Over(r.key, tag)
	r.m.tell(r.c, FinishLine("FINISH", tag, cause))
}

func (m *CapacityModel) released(_ net.Conn, tag string) {
	m.watch.GivenUp(m.Name, tag)
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.runs[tag]; r != nil && !r.cut {
		r.cut = true
		close(r.stop)
	}
	if m.queued[tag] {
		m.queued[tag] = false
	}
}

// FreeCapacity is what nobody has asked for.
func (m *CapacityModel) FreeCapacity() (cores, memory float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Cores - m.cores, m.Memory - m.memory
}

// Peak is the most that it was offered while cold, over what it bears then, and
// Refused how many offers it turned away, by what it said.
func (m *CapacityModel) Peak() (peak float64, refused map[string]int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peak, maps.Clone(m.refused)
}

// ListEntry is its line of the list as one orchestrator gets it, with some room.
func (m *CapacityModel) ListEntry(n *Worker, phase string, cores, memory float64) string {
	up := int64(0)
	if !m.Up.IsZero() {
		up = m.Up.UnixMilli()
	}
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":%q,"flavor":%q,"cell":%d,"phase":%q,"size":1,`+
		`"up_since_ms":%d,"spare":[%g,%g]}`, m.Name, n.Addr(), m.Hall, m.Kind, m.Cell, phase, up, cores, memory)
}

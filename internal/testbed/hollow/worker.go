package hollow

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ravenhitch/internal/testbed"
)

// This file owns a worker's room, its tasks and its end.

type counter = atomic.Int64

// The causes of the protocol that workers use.
const (
	causeEnded     = 16
	causeCancelled = 31
	causeFull      = 34
	causeError     = 47
)

// untoldFor is how long an end goes to each connection that is opened after it: of a new one a
// worker does not know yet whose it is.
const untoldFor = 60 * time.Second

// acceptAgain is the pause after a connection that could not be accepted.
const acceptAgain = 20 * time.Millisecond

// Worker is one hollow worker.
type Worker struct {
	ID, Zone string
	Kind     Kind
	Cell     int
	fleet    *Fleet
	index    int
	address  string

	mutex       sync.Mutex
	listener    net.Listener
	connections map[*connection]bool
	tasks       map[string]*task
	untold      []ending
	cores       float64 // in use
	memory      float64
	state       string // its phase on the list, "" for up
	since       time.Time
	silent      bool
}

// task is one that stands.
type task struct {
	Task
	key          string
	orchestrator int
	from         *connection // of its set-up, nil where it stood before
	timer        *time.Timer
}

// ending is the end of a task as it is told on connections that open later.
type ending struct {
	line testbed.Line
	at   time.Time
}

// EndKind is a way for a worker to go.
type EndKind int

const (
	// Abrupt is the death of its process: connections are reset, new ones refused.
	Abrupt EndKind = iota
	// Silent is the loss of its machine or its network: open connections stay and say nothing.
	// New ones are refused, as no machine can be taken off the loopback network.
	Silent
)

func (w *Worker) listen(address string) error {
	listener, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return fmt.Errorf("hollow: worker %s: %w", w.ID, err)
	}
	w.mutex.Lock()
	w.listener, w.address = listener, listener.Addr().String()
	w.mutex.Unlock()
	w.fleet.goroutines.Go(func() { w.accept(listener) })
	return nil
}

func (w *Worker) accept(listener net.Listener) {
	for {
		accepted, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // no descriptor is left: the caller waits in the system's queue
			w.fleet.unaccepted.Add(1)
			<-time.After(acceptAgain)
			continue
		}
		w.fleet.accepted.Add(1)
		c := newConnection(w, accepted)
		w.mutex.Lock()
		w.connections[c] = true
		w.forgetTold()
		untold := append([]ending(nil), w.untold...)
		w.mutex.Unlock()
		for _, e := range untold {
			c.send(e.line)
		}
		w.fleet.goroutines.Go(c.serve)
	}
}

// forgetTold drops the ends that are old. The lock is held.
func (w *Worker) forgetTold() {
	for len(w.untold) > 0 && time.Since(w.untold[0].at) > untoldFor {
		w.untold = w.untold[1:]
	}
}

// reserve takes room, or says what is short. The lock is held.
func (w *Worker) reserve(t Task) (short string) {
	const slack = 1e-9
	switch {
	case w.cores+t.Cores > w.Kind.Cores+slack:
		return "cpu_full"
	case w.memory+t.Memory > w.Kind.Memory+slack:
		return "mem_full"
	}
	w.cores += t.Cores
	w.memory += t.Memory
	return ""
}

// AddRunning lets a task stand that was started before the run began; Begin starts its run time. It
// reports whether there was room.
func (w *Worker) AddRunning(tag, key string, t Task) bool {
	orchestrator, _ := TagOrchestrator(tag)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.reserve(t) != "" {
		return false
	}
	w.tasks[tag] = &task{Task: t, key: key, orchestrator: orchestrator}
	w.fleet.Touch(w.index)
	return true
}

// Begin starts the run times of the tasks that stand already.
func (f *Fleet) Begin() {
	for _, w := range f.Workers {
		w.mutex.Lock()
		for tag, t := range w.tasks {
			if t.timer == nil {
				t.timer = time.AfterFunc(t.Run, func() { w.end(tag, causeEnded) })
			}
		}
		w.mutex.Unlock()
	}
}

// start answers a set-up.
func (w *Worker) start(from *connection, line testbed.Line) {
	t, err := ParseTask(*line.Blob)
	if err != nil {
		from.send(testbed.FinishLine("FINISH", line.Tag, causeError))
		return
	}
	w.mutex.Lock()
	short := w.reserve(t)
	if short == "" {
		standing := &task{Task: t, key: line.Opts["key"], orchestrator: from.orchestrator, from: from}
		w.tasks[line.Tag] = standing
		standing.timer = time.AfterFunc(t.Run, func() { w.end(line.Tag, causeEnded) })
	}
	w.mutex.Unlock()
	if short != "" {
		w.fleet.refusals.Add(1)
		refusal := testbed.FinishLine("FINISH", line.Tag, causeFull)
		refusal.Opts["note"] = short
		from.send(refusal)
		return
	}
	w.fleet.Touch(w.index)
	w.fleet.observer.Accepted(w.ID, line.Opts["key"], line.Tag)
	answer := w.ID + " " + line.Tag
	from.send(testbed.Line{Verb: "STARTED", Tag: line.Tag, Opts: map[string]string{}, Blob: &answer})
}

// end gives the room of a task back and tells its end: on the connection of its set-up, else on
// those of its orchestrator, else on those that may be its; and on the next ones opened.
func (w *Worker) end(tag string, cause int) {
	now := time.Now()
	line := testbed.FinishLine("FINISH", tag, cause)
	w.mutex.Lock()
	t := w.tasks[tag]
	if t == nil || w.silent {
		w.mutex.Unlock()
		return
	}
	w.remove(tag, t)
	to := w.ways(t)
	w.forgetTold()
	w.untold = append(w.untold, ending{line, now})
	w.mutex.Unlock()
	w.fleet.Touch(w.index)
	w.fleet.observer.Ended(w.ID, tag, now, false)
	for _, c := range to {
		c.send(line)
	}
}

// remove takes a task off the worker. The lock is held.
func (w *Worker) remove(tag string, t *task) {
	delete(w.tasks, tag)
	if t.timer != nil {
		t.timer.Stop()
	}
	w.cores -= t.Cores
	w.memory -= t.Memory
}

// ways are the connections for the end of a task. The lock is held.
func (w *Worker) ways(t *task) []*connection {
	if t.from != nil && w.connections[t.from] {
		return []*connection{t.from}
	}
	var unknown []*connection
	for c := range w.connections {
		switch c.orchestrator {
		case t.orchestrator:
			return []*connection{c}
		case unknownOrchestrator:
			unknown = append(unknown, c)
		}
	}
	return unknown
}

// Stop ends the worker. Its tasks are lost.
func (w *Worker) Stop(how EndKind) {
	w.mutex.Lock()
	if w.listener != nil {
		w.listener.Close()
		w.listener = nil
	}
	w.silent = true
	lost := w.tasks
	for _, t := range lost {
		if t.timer != nil {
			t.timer.Stop()
		}
	}
	w.tasks, w.untold, w.cores, w.memory = map[string]*task{}, nil, 0, 0
	open := w.connections
	if how == Abrupt {
		w.connections = map[*connection]bool{}
	}
	w.mutex.Unlock()
	if how == Abrupt {
		for c := range open {
			c.reset()
		}
	}
	for tag := range lost {
		w.fleet.observer.Ended(w.ID, tag, time.Now(), true)
	}
}

// Restart starts a worker that was stopped, at its address, and tells the list since when it is up.
func (w *Worker) Restart() error {
	w.mutex.Lock()
	w.silent, w.since = false, time.Now()
	address, left := w.address, w.connections
	w.connections = map[*connection]bool{}
	w.mutex.Unlock()
	for c := range left {
		c.reset()
	}
	if err := w.listen(address); err != nil {
		return err
	}
	w.SetListed("up")
	return nil
}

// SetListed sets the state that the list tells.
func (w *Worker) SetListed(state string) {
	w.mutex.Lock()
	w.state = state
	w.mutex.Unlock()
	w.fleet.change(w.index, changedState)
}

// Tasks is how many tasks stand at the worker.
func (w *Worker) Tasks() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.tasks)
}

// entry is its entry of the list.
func (w *Worker) entry() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	state, since := w.state, int64(0)
	if state == "" {
		state = "up"
	}
	if !w.since.IsZero() {
		since = w.since.UnixMilli()
	}
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":%q,"flavor":%q,"cell":%d,"phase":%q,"size":1,"up_since_ms":%d,"spare":[%g,%g]}`,
		w.ID, w.address, w.Zone, w.Kind.Name, w.Cell, state, since, w.Kind.Cores-w.cores, w.Kind.Memory-w.memory)
}

// eventEntry is its entry of the list as part of an event.
func (w *Worker) eventEntry(what change) eventEntry {
	return eventEntry{text: w.entry(), worker: w, toAll: what == changedState}
}

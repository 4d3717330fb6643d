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

// This file implements a worker's listener, its failures and its entry in the worker list.

type counter = atomic.Int64

// acceptRetryPause is the pause after a failed accept.
const acceptRetryPause = 20 * time.Millisecond

// phaseUp is the phase of a worker that accepts offers.
const phaseUp = "up"

// Worker is one hollow worker.
type Worker struct {
	ID, Zone string
	Kind     Kind
	Cell     int
	fleet    *Fleet
	index    int
	address  string

	mutex             sync.Mutex
	listener          net.Listener
	connections       map[*connection]bool
	tasks             map[string]*runningTask // by request ID
	recentCompletions []completion            // recent completions, also sent on each new connection
	requestedCores    float64
	requestedMemory   float64
	phase             string    // phase in the worker list, "" for up
	startedAt         time.Time // time of the latest restart, zero if there was none; the list entry then shows 0
	unresponsive      bool
}

// FailureMode is the way in which a worker fails.
type FailureMode int

const (
	// Crash emulates the end of the worker's process: its connections are reset, and new ones are refused.
	Crash FailureMode = iota
	// Unreachable emulates the loss of the worker's host or network: its connections stay open but are silent. New
	// connections are refused, because a host cannot be removed from the loopback network.
	Unreachable
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

// accept accepts connections until the listener is closed.
func (w *Worker) accept(listener net.Listener) {
	for {
		socket, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // the process has no file descriptor left: retry later, and the connection waits in the listener's backlog
			w.fleet.acceptFailures.Add(1)
			<-time.After(acceptRetryPause)
			continue
		}
		w.fleet.connectionsAccepted.Add(1)
		c := newConnection(w, socket)
		for _, line := range w.addConnection(c) {
			c.send(line)
		}
		w.fleet.goroutines.Go(c.serve)
	}
}

// addConnection adds a connection and returns the completions to send on it. These are all completions that are not
// older than completionRetention, including completions for other orchestrators, because the worker does not know yet
// which orchestrator opened the connection.
func (w *Worker) addConnection(c *connection) (lines []testbed.Line) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.connections[c] = true
	w.dropOldCompletions()
	for _, completed := range w.recentCompletions {
		lines = append(lines, completed.line)
	}
	return lines
}

// Stop makes the worker fail. All its tasks are lost.
func (w *Worker) Stop(mode FailureMode) {
	w.mutex.Lock()
	if w.listener != nil {
		testbed.CloseQuietly(w.listener)
		w.listener = nil
	}
	w.unresponsive = true
	lost := w.tasks
	for _, task := range lost {
		if task.timer != nil {
			task.timer.Stop()
		}
	}
	w.tasks, w.recentCompletions, w.requestedCores, w.requestedMemory = map[string]*runningTask{}, nil, 0, 0
	open := w.connections
	if mode == Crash {
		w.connections = map[*connection]bool{}
	}
	w.mutex.Unlock()
	if mode == Crash {
		for c := range open {
			c.reset()
		}
	}
	for requestID := range lost {
		w.fleet.observer.Ended(w.ID, requestID, time.Now(), true)
	}
}

// Restart starts a stopped worker at the same address. The worker's entry in the worker list then has the new start
// time.
func (w *Worker) Restart() error {
	w.mutex.Lock()
	w.unresponsive, w.startedAt = false, time.Now()
	address, stale := w.address, w.connections
	w.connections = map[*connection]bool{}
	w.mutex.Unlock()
	for c := range stale {
		c.reset()
	}
	if err := w.listen(address); err != nil {
		return err
	}
	w.SetPhase(phaseUp)
	return nil
}

// SetPhase sets the worker's phase in the worker list.
func (w *Worker) SetPhase(phase string) {
	w.mutex.Lock()
	w.phase = phase
	w.mutex.Unlock()
	w.fleet.recordChange(w.index, stateChanged)
}

// entry returns the worker's entry in the worker list, as JSON.
func (w *Worker) entry() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	phase, upSinceMs := w.phase, int64(0)
	if phase == "" {
		phase = phaseUp
	}
	if !w.startedAt.IsZero() {
		upSinceMs = w.startedAt.UnixMilli()
	}
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":%q,"flavor":%q,"cell":%d,"phase":%q,"size":1,"up_since_ms":%d,"spare":[%g,%g]}`,
		w.ID, w.address, w.Zone, w.Kind.Name, w.Cell, phase, upSinceMs, w.Kind.Cores-w.requestedCores, w.Kind.Memory-w.requestedMemory)
}

// eventEntry returns the worker's entry in the worker list as part of an event.
func (w *Worker) eventEntry(kind changeKind) eventEntry {
	return eventEntry{text: w.entry(), worker: w, stateChanged: kind == stateChanged}
}

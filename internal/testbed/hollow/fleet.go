// Package hollow holds workers without machines behind them: thousands of them share one
// process. Each has a listener of its own on a loopback address, answers set-ups, tests and
// releases as the protocol has it, keeps account of its room, and ends a task when its run time
// is over. It also holds the source of the worker list, which tells what changed. It must never
// be part of a program that serves.
package hollow

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Observer is told what becomes of tasks at the workers. It is called from many goroutines, and
// never with a lock of the fleet held.
type Observer interface {
	// Accepted is called before the answer is written.
	Accepted(worker, key, tag string)
	// Ended is called before the end is told. Lost tasks were on a worker that vanished or died:
	// nobody tells their end.
	Ended(worker, tag string, at time.Time, lost bool)
}

// Kind is a kind of worker.
type Kind struct {
	Name          string
	Cores, Memory float64
}

// Options say what a fleet is made of.
type Options struct {
	Workers int
	Kinds   []Kind        // by turns
	Zones   []string      // by turns
	Cell    int           // workers of a rack
	Idle    time.Duration // after which a connection without a message is closed; 0: never
}

// Fleet is a set of workers.
type Fleet struct {
	Workers  []*Worker
	observer Observer

	mutex   sync.Mutex
	changed changes // since takeChanges was called

	refusals   counter
	messages   counter
	accepted   counter
	unaccepted counter
	goroutines sync.WaitGroup
	stop       chan struct{}
}

// NewFleet starts the workers.
func NewFleet(options Options, observer Observer) (*Fleet, error) {
	f := &Fleet{observer: observer, changed: changes{}, stop: make(chan struct{})}
	for i := range options.Workers {
		rack := i / options.Cell
		w := &Worker{
			ID: fmt.Sprintf("s-%08x", 0xc41f00+i), Zone: options.Zones[rack%len(options.Zones)],
			Kind: options.Kinds[i%len(options.Kinds)], Cell: rack, fleet: f, index: i,
			tasks: map[string]*task{}, connections: map[*connection]bool{},
		}
		if err := w.listen(loopback(i)); err != nil {
			f.Close()
			return nil, err
		}
		f.Workers = append(f.Workers, w)
	}
	if options.Idle > 0 {
		f.goroutines.Go(func() { f.closeIdle(options.Idle) })
	}
	return f, nil
}

// idleLooks is how often within the idle time connections are looked at.
const idleLooks = 30

// closeIdle closes connections on which there was no message for long.
func (f *Fleet) closeIdle(idle time.Duration) {
	ticker := time.NewTicker(idle / idleLooks)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			for _, w := range f.Workers {
				w.closeUnused(now.Add(-idle))
			}
		case <-f.stop:
			return
		}
	}
}

// loopback is the nth address of this process: the workers of two processes share none, as far
// as their numbers differ in the low bits.
func loopback(n int) string {
	const hosts = 250 // a last byte of 0 or 255 looks like a network's
	return fmt.Sprintf("127.%d.%d.%d:0", 16+os.Getpid()%200, n/hosts, 1+n%hosts)
}

// Refusals is how many set-ups found no room so far.
func (f *Fleet) Refusals() int64 { return f.refusals.Load() }

// Messages is how many messages the workers read and wrote so far.
func (f *Fleet) Messages() int64 { return f.messages.Load() }

// Accepted is how many connections came so far.
func (f *Fleet) Accepted() int64 { return f.accepted.Load() }

// Unaccepted is how often a connection had to wait since the process had no descriptor left.
func (f *Fleet) Unaccepted() int64 { return f.unaccepted.Load() }

// Connections is how many connections are open to all workers.
func (f *Fleet) Connections() int {
	n := 0
	for _, w := range f.Workers {
		w.mutex.Lock()
		n += len(w.connections)
		w.mutex.Unlock()
	}
	return n
}

// Running is how many tasks run.
func (f *Fleet) Running() int {
	n := 0
	for _, w := range f.Workers {
		w.mutex.Lock()
		n += len(w.tasks)
		w.mutex.Unlock()
	}
	return n
}

// change is what changed of a worker's entry on the list.
type change int

const (
	changedRoom  change = iota // only what it has free
	changedState               // whether and where it is there
)

// changes are those of workers, by index.
type changes map[int]change

// Touch marks the room of a worker as changed, though nothing may be different: the list tells its
// entry again.
func (f *Fleet) Touch(index int) { f.change(index, changedRoom) }

func (f *Fleet) change(index int, what change) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.changed[index] = max(f.changed[index], what)
}

// takeChanges returns what changed since the last call.
func (f *Fleet) takeChanges() changes {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	changed := f.changed
	f.changed = changes{}
	return changed
}

// Close ends all workers, and returns when none of their goroutines runs any more.
func (f *Fleet) Close() {
	close(f.stop)
	for _, w := range f.Workers {
		w.Stop(Abrupt)
	}
	f.goroutines.Wait()
}

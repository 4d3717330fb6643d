// Package hollow holds workers that run nothing: thousands of them share one process. Each has
// a listener of its own on a loopback address, answers offers, pings and releases as the
// protocol has it, accounts for its capacity, and completes a task after its run time. The
// package also holds the stand-in for discovery that lists them. It must never be part of a
// program that serves.
package hollow

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// This file owns a set of workers, its counters, and which workers changed.

// Observer is notified of what becomes of tasks at the workers. It is called from many
// goroutines, and never with a lock of the fleet held.
type Observer interface {
	// Accepted is called before the message is written.
	Accepted(worker, key, requestID string)
	// Ended is called before the completion is reported. Lost tasks were on a worker that
	// failed: nobody reports their completion.
	Ended(worker, requestID string, at time.Time, lost bool)
}

// Kind is a kind of worker.
type Kind struct {
	Name          string
	Cores, Memory float64
}

// Options say what a fleet is made of.
type Options struct {
	Workers     int
	Kinds       []Kind        // by turns
	Zones       []string      // by turns
	CellSize    int           // workers in a cell
	IdleTimeout time.Duration // after which a connection without a message is closed; 0: never
}

// Fleet is a set of workers.
type Fleet struct {
	Workers  []*Worker
	observer Observer

	mutex   sync.Mutex
	changed changes // since takeChanges was called

	rejections          counter
	messages            counter
	connectionsAccepted counter
	acceptFailures      counter
	goroutines          sync.WaitGroup
	stop                chan struct{}
}

// firstWorkerID is the number in the ID of the first worker.
const firstWorkerID = 0xc41f00

// NewFleet starts the workers.
func NewFleet(options Options, observer Observer) (*Fleet, error) {
	f := &Fleet{observer: observer, changed: changes{}, stop: make(chan struct{})}
	for i := range options.Workers {
		cell := i / options.CellSize
		w := &Worker{
			ID:          fmt.Sprintf("s-%08x", firstWorkerID+i),
			Zone:        options.Zones[cell%len(options.Zones)],
			Kind:        options.Kinds[i%len(options.Kinds)],
			Cell:        cell,
			fleet:       f,
			index:       i,
			tasks:       map[string]*runningTask{},
			connections: map[*connection]bool{},
		}
		if err := w.listen(loopbackAddress(i)); err != nil {
			f.Close()
			return nil, err
		}
		f.Workers = append(f.Workers, w)
	}
	if options.IdleTimeout > 0 {
		f.goroutines.Go(func() { f.closeIdle(options.IdleTimeout) })
	}
	return f, nil
}

// idleChecks is how often within the idle timeout connections are looked at.
const idleChecks = 30

// closeIdle closes connections on which there was no message for a timeout.
func (f *Fleet) closeIdle(timeout time.Duration) {
	ticker := time.NewTicker(timeout / idleChecks)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			for _, w := range f.Workers {
				w.closeUnused(now.Add(-timeout))
			}
		case <-f.stop:
			return
		}
	}
}

// loopbackAddress is the nth address of this process: the workers of two processes share none,
// as far as their process IDs differ in the low bits.
func loopbackAddress(n int) string {
	const hosts = 250 // a last byte of 0 or 255 looks like a network's
	return fmt.Sprintf("127.%d.%d.%d:0", 16+os.Getpid()%200, n/hosts, 1+n%hosts)
}

// Rejections is the number of offers that were rejected for want of capacity so far.
func (f *Fleet) Rejections() int64 { return f.rejections.Load() }

// Messages is the number of messages that the workers read and wrote so far.
func (f *Fleet) Messages() int64 { return f.messages.Load() }

// ConnectionsAccepted is the number of connections that came so far.
func (f *Fleet) ConnectionsAccepted() int64 { return f.connectionsAccepted.Load() }

// AcceptFailures is how often a connection had to wait since the process had no descriptor left.
func (f *Fleet) AcceptFailures() int64 { return f.acceptFailures.Load() }

// Connections is the number of open connections to all workers.
func (f *Fleet) Connections() int {
	return f.count(func(w *Worker) int { return len(w.connections) })
}

// Running is the number of running tasks.
func (f *Fleet) Running() int {
	return f.count(func(w *Worker) int { return len(w.tasks) })
}

// count sums a number over all workers, each under its lock.
func (f *Fleet) count(of func(*Worker) int) (total int) {
	for _, w := range f.Workers {
		w.mutex.Lock()
		total += of(w)
		w.mutex.Unlock()
	}
	return total
}

// change is what changed of a worker's entry on the list.
type change int

const (
	capacityChanged change = iota // only its free capacity
	stateChanged                  // its phase or its address
)

// changes are those of workers, by index.
type changes map[int]change

// RecordChange records that the free capacity of a worker changed, though it may be the same: the
// list sends its entry again.
func (f *Fleet) RecordChange(index int) { f.recordChange(index, capacityChanged) }

func (f *Fleet) recordChange(index int, what change) {
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
		w.Stop(Crash)
	}
	f.goroutines.Wait()
}

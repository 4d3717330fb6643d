// Package hollow provides hollow workers, which accept tasks but execute nothing, so that thousands of them fit into
// one process. Each worker has its own listener on a loopback address, answers offers, pings and releases according
// to the protocol, accounts for its capacity and reports a task as complete after its run time. The package also
// provides a stand-in for discovery that lists the workers. A program that serves clients must not include this
// package.
package hollow

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// This file implements a set of workers, its counters, and the record of the workers that changed.

// Observer is notified when workers accept and end tasks. It is called from many goroutines, and never
// while a lock of the fleet is held.
type Observer interface {
	// Accepted is called when a worker accepts a task, before the worker sends the acceptance.
	Accepted(worker, key, requestID string)
	// Ended is called when a task ends, before the worker reports its completion. If lost is true, the worker failed
	// and will never report the completion.
	Ended(worker, requestID string, at time.Time, lost bool)
}

// Kind is a kind of worker, with its capacity in cores and memory.
type Kind struct {
	Name          string
	Cores, Memory float64
}

// Options configure a fleet.
type Options struct {
	Workers     int
	Kinds       []Kind        // assigned to the workers round-robin
	Zones       []string      // assigned to the cells round-robin
	CellSize    int           // number of workers per cell
	IdleTimeout time.Duration // a connection without a message for this time is closed; 0 means never
}

// Fleet is a set of workers.
type Fleet struct {
	Workers  []*Worker
	observer Observer

	mutex   sync.Mutex
	changed changes // changes since the last call of takeChanges

	rejections          counter
	messages            counter
	connectionsAccepted counter
	acceptFailures      counter
	goroutines          sync.WaitGroup
	stop                chan struct{}
}

// firstWorkerID is the number in the ID of the first worker. Each further worker has the next number.
const firstWorkerID = 0xc41f00

// NewFleet starts the workers of a fleet.
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

// idleChecks is the number of times that closeIdle checks all connections during one idle timeout.
const idleChecks = 30

// closeIdle runs until the fleet is closed. It closes each connection that has had no message for the given timeout.
func (f *Fleet) closeIdle(timeout time.Duration) {
	ticker := time.NewTicker(timeout / idleChecks)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			for _, w := range f.Workers {
				w.closeIdle(now.Add(-timeout))
			}
		case <-f.stop:
			return
		}
	}
}

// loopbackAddress returns the nth loopback address of this process, with port 0 so that the kernel chooses a
// free port. Two processes use different addresses unless their process IDs are equal modulo 200.
func loopbackAddress(n int) string {
	const hosts = 250 // the last byte is 1 to 250, because 0 and 255 look like network and broadcast addresses
	return fmt.Sprintf("127.%d.%d.%d:0", 16+os.Getpid()%200, n/hosts, 1+n%hosts)
}

// Rejections returns the number of offers rejected so far for lack of capacity.
func (f *Fleet) Rejections() int64 { return f.rejections.Load() }

// Messages returns the number of messages that the workers have read and written so far.
func (f *Fleet) Messages() int64 { return f.messages.Load() }

// ConnectionsAccepted returns the number of connections accepted so far.
func (f *Fleet) ConnectionsAccepted() int64 { return f.connectionsAccepted.Load() }

// AcceptFailures returns the number of failed attempts to accept a connection. An attempt fails if the process
// has no file descriptor left; the connection then waits for the next attempt.
func (f *Fleet) AcceptFailures() int64 { return f.acceptFailures.Load() }

// Connections returns the number of open connections to all workers.
func (f *Fleet) Connections() int {
	return f.count(func(w *Worker) int { return len(w.connections) })
}

// Running returns the number of running tasks on all workers.
func (f *Fleet) Running() int {
	return f.count(func(w *Worker) int { return len(w.tasks) })
}

// count returns the sum of a value over all workers. It calls the function value with the worker's lock held.
func (f *Fleet) count(value func(*Worker) int) (total int) {
	for _, w := range f.Workers {
		w.mutex.Lock()
		total += value(w)
		w.mutex.Unlock()
	}
	return total
}

// changeKind is the kind of change of a worker's entry in the worker list. If both kinds are recorded for a
// worker, the larger value, stateChanged, prevails.
type changeKind int

const (
	capacityChanged changeKind = iota // only the worker's free capacity changed
	stateChanged                      // the worker's phase or address changed
)

// changes holds the kind of change of each changed worker, by worker index.
type changes map[int]changeKind

// RecordChange records that the free capacity of the worker with the given index changed. Discovery then
// publishes the worker's entry again, even if the capacity is in fact unchanged.
func (f *Fleet) RecordChange(index int) { f.recordChange(index, capacityChanged) }

func (f *Fleet) recordChange(index int, kind changeKind) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.changed[index] = max(f.changed[index], kind)
}

// takeChanges returns and clears the changes recorded since the last call.
func (f *Fleet) takeChanges() changes {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	changed := f.changed
	f.changed = changes{}
	return changed
}

// Close stops all workers and returns when all goroutines of the fleet have ended.
func (f *Fleet) Close() {
	close(f.stop)
	for _, w := range f.Workers {
		w.Stop(Crash)
	}
	f.goroutines.Wait()
}

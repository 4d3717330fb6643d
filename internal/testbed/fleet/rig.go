// Package fleet is the rig: orchestrators as processes of the real program, connected to
// each other, to workers, clients and discovery on loopback through relays that fail by a
// schedule. It owns what it starts, and leaves nothing running. What must hold it judges by
// the faults that it injected, and never by what the orchestrators report of each other.
package fleet

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ravenhitch/internal/testbed"
)

// This file owns the start and the end of a rig.

// Options say what a fleet is made of.
type Options struct {
	Programs      []string // builds, by turns
	Dir           string   // for settings and stored files
	Orchestrators int
	Workers       int // workers; 0: defaultWorkers
	Seed          uint64
	Alone         bool // the orchestrators are no cluster
}

const (
	defaultWorkers = 4
	zoneCount      = 3
)

// Fleet is a running rig.
type Fleet struct {
	Orchestrators []*Orchestrator
	host          testbed.Host
	network       *testbed.Network
	workers       []*testbed.Worker
	startedAt     time.Time
	requestIDs    atomic.Int64
	stop          chan struct{}
	goroutines    sync.WaitGroup

	mu       sync.Mutex // guards what the schedule changes
	healedAt time.Time
	samples  []sample
	applied  []appliedStep
}

// New starts a fleet in three zones, which ends with the host's cleanup.
func New(h testbed.Host, o Options) *Fleet {
	h.Helper()
	f := &Fleet{host: h, network: testbed.NewNetwork(o.Seed), stop: make(chan struct{})}
	h.Cleanup(f.close)
	if o.Workers == 0 {
		o.Workers = defaultWorkers
	}
	for i := range o.Workers {
		if err := f.addWorker(i); err != nil {
			h.Fatal(err)
		}
	}
	for i := range o.Orchestrators {
		if err := f.addOrchestrator(i, o.Dir); err != nil {
			h.Fatal(err)
		}
	}
	for i, orchestrator := range f.Orchestrators {
		if err := f.configure(i, orchestrator, o); err != nil {
			h.Fatal(err)
		}
	}
	for _, orchestrator := range f.Orchestrators {
		if err := f.start(orchestrator); err != nil {
			h.Fatal(err)
		}
	}
	f.startedAt = time.Now()
	return f
}

func (f *Fleet) addWorker(index int) error {
	worker := testbed.NewWorker(f.host, fmt.Sprint("s", index))
	worker.Kind = "node-32"
	f.goroutines.Go(func() { f.drain(worker) })
	f.workers = append(f.workers, worker)
	return f.network.SetAddress(worker.Name, worker.Addr())
}

// drain drops what a worker keeps for tests to receive.
func (f *Fleet) drain(worker *testbed.Worker) {
	for {
		select {
		case <-worker.Starts:
		case <-worker.Ends:
		case <-f.stop:
			return
		}
	}
}

func (f *Fleet) close() {
	close(f.stop)
	for _, orchestrator := range f.Orchestrators {
		if orchestrator.IsRunning() {
			orchestrator.Resume()
			orchestrator.End(syscall.SIGKILL)
		}
	}
	f.network.Close()
	f.goroutines.Wait()
}

// orchestrator returns the one with a name, or nil.
func (f *Fleet) orchestrator(name string) *Orchestrator {
	i := slices.IndexFunc(f.Orchestrators, func(o *Orchestrator) bool { return o.Name == name })
	if i < 0 {
		return nil
	}
	return f.Orchestrators[i]
}

// Package fleet runs a fleet of orchestrators as processes of the real program. Relays on loopback addresses
// connect them to each other and to workers, clients and discovery, and a schedule injects faults into the relayed
// traffic and into the processes. The package stops everything that it starts. To decide which rules must hold, it
// uses the faults that it injected, never the orchestrators' reports about each other.
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

// This file implements the start and the shutdown of a fleet.

// Options configure a fleet.
type Options struct {
	Programs      []string // executables of one or more builds of the program, assigned to the orchestrators round-robin
	Dir           string   // parent directory of the configuration and stored files
	Orchestrators int      // number of orchestrators
	Workers       int      // number of workers; 0 means defaultWorkers
	Seed          uint64   // seed of the network's random faults; the orchestrators' seeds are derived from it
	WithoutPeers  bool     // run the orchestrators without peers, not as a cluster
}

const (
	defaultWorkers = 4
	zoneCount      = 3
)

// Fleet is a running fleet of orchestrators and the workers, relays and discovery that they use.
type Fleet struct {
	Orchestrators []*Orchestrator
	host          testbed.Host
	network       *testbed.Network
	workers       []*testbed.Worker
	startedAt     time.Time    // time at which all orchestrators had started
	requestIDs    atomic.Int64 // number of assigned request IDs
	stop          chan struct{}
	goroutines    sync.WaitGroup

	mu       sync.Mutex // guards the fields below
	healedAt time.Time  // time of the latest heal step, which ends all network faults
	samples  []sample
	applied  []appliedStep
}

// New starts a fleet and assigns its orchestrators to three zones round-robin. The host's cleanup shuts the fleet down.
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
	f.goroutines.Go(func() { f.discardEvents(worker) })
	f.workers = append(f.workers, worker)
	return f.network.SetAddress(worker.Name, worker.Addr())
}

// discardEvents receives and discards the offers and cancels that a worker queues for tests, until the fleet shuts
// down. Otherwise the worker would block when a queue is full.
func (f *Fleet) discardEvents(worker *testbed.Worker) {
	for {
		select {
		case <-worker.Offers:
		case <-worker.Cancels:
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

// orchestrator returns the orchestrator with the given name, or nil if there is none.
func (f *Fleet) orchestrator(name string) *Orchestrator {
	i := slices.IndexFunc(f.Orchestrators, func(o *Orchestrator) bool { return o.Name == name })
	if i < 0 {
		return nil
	}
	return f.Orchestrators[i]
}

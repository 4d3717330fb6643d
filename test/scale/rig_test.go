package scale

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"ravenhitch/internal/shard"
	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/hollow"
)

// This file owns the rig: workers, discovery, orchestrators, clients, and the tasks that ran before.

type rig struct {
	t             *testing.T
	options       options
	directory     string
	binary        string
	ledger        *ledger
	fleet         *hollow.Fleet
	discovery     *hollow.Discovery
	orchestrators []*orchestrator
	clients       *clients
	demand        *demand
	probing       sync.WaitGroup
}

// build builds the program once.
var build = sync.OnceValues(func() (string, error) {
	directory, err := filepath.Abs("../../bin")
	if err != nil {
		return "", err
	}
	return testbed.BuildProgram(directory)
})

var errDescriptors = errors.New("the sockets of this run don't fit the descriptors of this process")

// spareDescriptors are those of the test's process beside workers and their connections.
const spareDescriptors = 1000

// checkDescriptors returns an error where listeners and connections don't fit the limit of this
// process. Fewer orchestrators with their part of the demand need fewer: see -fleet-size.
func (o options) checkDescriptors() error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	const connectionsPerWorker = 2 // an orchestrator opens a second one beside an unresponsive one
	need := o.workers + o.orchestrators*min(connectionsPerWorker*o.workers+connectionsEach, o.sockets) + spareDescriptors
	if uint64(need) > limit.Cur {
		return fmt.Errorf("%w: %d needed, %d allowed", errDescriptors, need, limit.Cur)
	}
	return nil
}

// newRig starts workers, discovery and orchestrators.
func newRig(t *testing.T, o options) *rig {
	t.Helper()
	if err := o.checkDescriptors(); err != nil {
		t.Fatal(err)
	}
	binary, err := build()
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, options: o, directory: t.TempDir(), binary: binary, ledger: newLedger(), demand: newDemand(o.seed, o)}
	t.Cleanup(r.close)
	r.fleet, err = hollow.NewFleet(hollow.Options{Workers: o.workers, Kinds: kinds, Zones: zoneNames(),
		CellSize: max(1, min(maxCellSize, o.workers/zones)), IdleTimeout: o.idle}, r.ledger)
	if err != nil {
		t.Fatal(err)
	}
	r.discovery = hollow.NewDiscovery(r.fleet, o.listPeriod)
	r.clients = newClients(r)
	r.ledger.retry, r.ledger.logf, r.ledger.placesAt = r.clients.retry, t.Logf, r.placesAt
	r.startOrchestrators()
	return r
}

// startOrchestrators starts them one after another. Each names the others as members, so that all
// have their addresses before the first one starts.
func (r *rig) startOrchestrators() {
	r.t.Helper()
	for i := range r.options.orchestrators {
		o, err := newOrchestrator(r, i)
		if err != nil {
			r.t.Fatal(err)
		}
		r.orchestrators = append(r.orchestrators, o)
	}
	for _, o := range r.orchestrators {
		if err := o.start(); err != nil {
			r.t.Fatal(err)
		}
		r.probing.Go(o.prober.run)
	}
}

// admit lets clients submit to the orchestrators that answer a ping on each connection, as the front
// does; after the platform's timeout to all of them.
func (r *rig) admit() {
	var group sync.WaitGroup
	for _, o := range r.orchestrators {
		group.Go(func() {
			startedAt := time.Now()
			if !o.clients.pingAll(admitTimeout) {
				r.t.Logf("scale-finding: %s answered no pings on all connections within %s; clients submit to it all the same", o.Name, admitTimeout)
			} else {
				r.t.Logf("%s answered its first pings after %s", o.Name, time.Since(startedAt).Round(time.Millisecond))
			}
			o.admitted.Store(true)
		})
	}
	group.Wait()
}

// admitTimeout is the platform's timeout for orchestrators at the start of a run.
const admitTimeout = 30 * time.Second

// drawRunning draws the tasks that ran before, and places them at workers with free capacity: with
// -partition, at those assigned to the orchestrator that placed them. One whose workers have no free
// capacity would have rejected the task; then the next one is taken.
func (r *rig) drawRunning() []*task {
	var all []*task
	workers := r.workersByOrchestrator()
	random := rand.New(rand.NewPCG(r.options.seed, 37))
	for len(all) < r.options.running {
		j := r.demand.next()
		placedBy := r.orchestrators[len(all)%len(r.orchestrators)]
		for i := range min(j.size, r.options.running-len(all)) {
			t := &task{job: j, key: fmt.Sprintf("%s-%03d", j.name, i), runTime: r.demand.runTime(), orchestrator: placedBy}
			for tries := 0; !r.placeRunning(t, workers[t.orchestrator], random); tries++ {
				if tries == len(r.orchestrators) {
					r.t.Fatalf("no free capacity for a task of %g cores that ran before", t.job.task.Cores)
				}
				t.orchestrator = r.orchestrators[(t.orchestrator.index+1)%len(r.orchestrators)]
			}
			r.ledger.adopt(t)
			all = append(all, t)
		}
	}
	return all
}

// maxPlacementTries bounds the workers that are tried for one that fits.
const maxPlacementTries = 1000

// workersByOrchestrator are the workers that are assigned to each orchestrator.
func (r *rig) workersByOrchestrator() map[*orchestrator][]*hollow.Worker {
	workers := map[*orchestrator][]*hollow.Worker{}
	for _, w := range r.fleet.Workers {
		for _, o := range r.assigned(w) {
			workers[o] = append(workers[o], w)
		}
	}
	return workers
}

// assigned are the orchestrators that place tasks at a worker while all run.
func (r *rig) assigned(w *hollow.Worker) []*orchestrator {
	if !r.options.partition {
		return r.orchestrators
	}
	var members []shard.Member
	for _, o := range r.orchestrators {
		members = append(members, shard.Member{Name: o.Name, Zone: o.zone()})
	}
	assignee := r.options.regions().Assignments(w.Zone, members)[shard.Of(w.ID)]
	return slices.DeleteFunc(slices.Clone(r.orchestrators), func(o *orchestrator) bool { return o.Name != assignee })
}

// placesAt reports whether an orchestrator places tasks at a worker while all run.
func (r *rig) placesAt(o *orchestrator, worker string) bool {
	i := slices.IndexFunc(r.fleet.Workers, func(w *hollow.Worker) bool { return w.ID == worker })
	return i >= 0 && slices.Contains(r.assigned(r.fleet.Workers[i]), o)
}

// placeRunning lets a task of its orchestrator run at one of some workers that has free capacity.
func (r *rig) placeRunning(t *task, workers []*hollow.Worker, random *rand.Rand) bool {
	_, requestID := t.orchestrator.clients.pick()
	return r.placeRunningAs(t, workers, random, requestID)
}

// placeRunningAs does so under a request ID.
func (r *rig) placeRunningAs(t *task, workers []*hollow.Worker, random *rand.Rand, requestID string) bool {
	running := hollow.Task{Cores: t.job.task.Cores, Memory: t.job.task.Memory, RunTime: t.runTime}
	for range maxPlacementTries {
		w := workers[random.IntN(len(workers))]
		if w.AddRunning(requestID, t.key, running) {
			t.worker, t.requestID = w.ID, requestID
			return true
		}
	}
	return false
}

// foreignRunTime is longer than any test: tasks of orchestrators that don't run never complete.
const foreignRunTime = time.Hour

// addForeignTasks places the tasks of the orchestrators that the settings count and that don't run, so
// that the workers have as little free capacity as they would have.
func (r *rig) addForeignTasks() {
	random, demand := rand.New(rand.NewPCG(r.options.seed, 47)), newDemand(r.options.seed+1, r.options)
	for i := range int(r.options.foreignShare() * float64(r.options.running)) {
		t := &task{job: demand.next(), key: fmt.Sprintf("others-%06d", i), orchestrator: r.orchestrators[0], runTime: foreignRunTime}
		if !r.placeRunningAs(t, r.fleet.Workers, random, hollow.RequestID(r.options.fleetSize, uint64(i))) {
			r.t.Fatalf("no free capacity for a task of %g cores of another orchestrator", t.job.task.Cores)
		}
	}
}

// adoptRunning places the tasks that ran before and registers them at the orchestrators. Their run
// times begin with Fleet.StartRunTimes. It returns how many the orchestrators say that they have.
func (r *rig) adoptRunning() (adopted int) {
	byOrchestrator := map[*orchestrator][]*task{}
	for _, t := range r.drawRunning() {
		byOrchestrator[t.orchestrator] = append(byOrchestrator[t.orchestrator], t)
	}
	r.addForeignTasks()
	var group sync.WaitGroup
	for o, tasks := range byOrchestrator {
		group.Go(func() {
			if !r.clients.handOver(o, tasks) {
				r.t.Logf("scale-finding: %s answered no ping behind the %d tasks that were registered there", o.Name, len(tasks))
			}
		})
	}
	group.Wait()
	if !r.waitUntil(func() bool { return !r.discovery.Pending() && r.listApplied(r.discovery.Revision()) }) {
		r.t.Log("scale-finding: not every orchestrator polled the capacity that the tasks which ran before leave free")
	}
	for _, o := range r.orchestrators {
		n, err := o.activeTasks()
		if err != nil {
			r.t.Logf("scale-finding: %s does not say what it has: %v", o.Name, err)
		}
		adopted += n
	}
	return adopted
}

// close ends all that newRig started.
func (r *rig) close() {
	r.ledger.close()
	if r.clients != nil {
		r.clients.stop(true)
	}
	for _, o := range r.orchestrators {
		o.prober.close()
		if o.starts > 0 {
			o.kill()
		}
		o.clients.close()
		o.subscription.Close()
	}
	r.probing.Wait()
	if r.discovery != nil {
		r.discovery.Close()
	}
	if r.fleet != nil {
		r.fleet.Close()
	}
}

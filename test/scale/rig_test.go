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

// This file contains the rig: workers, discovery, orchestrators, clients, and the tasks that were running
// before the run.

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

// build builds the program on its first call and returns the path of the binary.
var build = sync.OnceValues(func() (string, error) {
	directory, err := filepath.Abs("../../bin")
	if err != nil {
		return "", err
	}
	return testbed.BuildProgram(directory)
})

var errDescriptors = errors.New("the sockets of this run exceed the descriptor limit of the test process")

// spareDescriptors is the number of descriptors that the test's process needs in addition to the listeners of the
// workers and the connections of orchestrators to workers and clients.
const spareDescriptors = 1000

// checkDescriptors returns an error if the listeners and connections of the run exceed the descriptor limit of this
// process. In that case, the test can run fewer orchestrators, with a proportionally lower number of starts and
// running tasks. With -fleet-size, the test simulates the other orchestrators.
func (o options) checkDescriptors() error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	const connectionsPerWorker = 2 // the second connection is opened, for example, if the first is unresponsive
	need := o.workers + o.orchestrators*min(connectionsPerWorker*o.workers+connectionsEach, o.sockets) + spareDescriptors
	if uint64(need) > limit.Cur {
		return fmt.Errorf("%w: need %d descriptors, limit is %d", errDescriptors, need, limit.Cur)
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

// startOrchestrators starts the orchestrators one after another. It adds all of them to r.orchestrators before it
// starts the first one, because the configuration of each orchestrator names the others as members.
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

// admit lets clients submit to an orchestrator as soon as it answers a ping on each connection, as the
// platform's front end does. If a ping cannot be sent or is not answered within admitTimeout, clients submit to
// the orchestrator anyway.
func (r *rig) admit() {
	var group sync.WaitGroup
	for _, o := range r.orchestrators {
		group.Go(func() {
			startedAt := time.Now()
			if !o.clients.pingAll(admitTimeout) {
				r.t.Logf("scale-finding: %s did not answer the pings on all connections within %s; clients submit to it anyway", o.Name, admitTimeout)
			} else {
				r.t.Logf("%s answered its first pings after %s", o.Name, time.Since(startedAt).Round(time.Millisecond))
			}
			o.admitted.Store(true)
		})
	}
	group.Wait()
}

// admitTimeout is the time that the platform gives an orchestrator to answer pings before clients submit to it.
const admitTimeout = 30 * time.Second

// drawRunning draws the tasks that were running before the run and places them at workers with free capacity.
// With -partition, only workers that are assigned to the task's orchestrator are used. If none of them has free
// capacity, the orchestrator would have rejected the task, so drawRunning tries the next orchestrator.
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
					r.t.Fatalf("found no worker with free capacity for an already running task of %g cores", t.job.task.Cores)
				}
				t.orchestrator = r.orchestrators[(t.orchestrator.index+1)%len(r.orchestrators)]
			}
			r.ledger.adopt(t)
			all = append(all, t)
		}
	}
	return all
}

// maxPlacementTries is the maximum number of random workers that placeRunningAs tries for a task, or pingLikeStarts
// for a ping.
const maxPlacementTries = 1000

// workersByOrchestrator returns the workers that are assigned to each orchestrator.
func (r *rig) workersByOrchestrator() map[*orchestrator][]*hollow.Worker {
	workers := map[*orchestrator][]*hollow.Worker{}
	for _, w := range r.fleet.Workers {
		for _, o := range r.assigned(w) {
			workers[o] = append(workers[o], w)
		}
	}
	return workers
}

// assigned returns the orchestrators to which a worker is assigned while all orchestrators run.
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

// placesAt reports whether a worker is assigned to an orchestrator while all orchestrators run.
func (r *rig) placesAt(o *orchestrator, worker string) bool {
	i := slices.IndexFunc(r.fleet.Workers, func(w *hollow.Worker) bool { return w.ID == worker })
	return i >= 0 && slices.Contains(r.assigned(r.fleet.Workers[i]), o)
}

// placeRunning makes a task run, under a new request ID, at a random worker with free capacity. It reports
// whether it found a worker with free capacity.
func (r *rig) placeRunning(t *task, workers []*hollow.Worker, random *rand.Rand) bool {
	_, requestID := t.orchestrator.clients.pick()
	return r.placeRunningAs(t, workers, random, requestID)
}

// placeRunningAs is like placeRunning but uses the given request ID.
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

// foreignRunTime is the run time of the tasks of orchestrators that the test does not run. It is longer than any
// test, so these tasks never complete.
const foreignRunTime = time.Hour

// addForeignTasks places the tasks of the orchestrators that the settings count but the test does not run. The
// workers then have as little free capacity as if all orchestrators ran.
func (r *rig) addForeignTasks() {
	random, demand := rand.New(rand.NewPCG(r.options.seed, 47)), newDemand(r.options.seed+1, r.options)
	for i := range int(r.options.foreignShare() * float64(r.options.running)) {
		t := &task{job: demand.next(), key: fmt.Sprintf("others-%06d", i), orchestrator: r.orchestrators[0], runTime: foreignRunTime}
		if !r.placeRunningAs(t, r.fleet.Workers, random, hollow.RequestID(r.options.fleetSize, uint64(i))) {
			r.t.Fatalf("found no worker with free capacity for a task of %g cores of an orchestrator that does not run", t.job.task.Cores)
		}
	}
}

// adoptRunning places the tasks that were running before the run and registers them at the orchestrators.
// The run times of these tasks start later, when Fleet.StartRunTimes is called. adoptRunning returns the number of
// tasks that the orchestrators report.
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
				r.t.Logf("scale-finding: %s did not answer the pings on all connections after the registration of its %d running tasks", o.Name, len(tasks))
			}
		})
	}
	group.Wait()
	if !r.waitUntil(func() bool { return !r.discovery.Pending() && r.listApplied(r.discovery.Revision()) }) {
		r.t.Log("scale-finding: not every orchestrator applied the worker list with the capacity that the already running tasks leave free")
	}
	for _, o := range r.orchestrators {
		n, err := o.activeTasks()
		if err != nil {
			r.t.Logf("scale-finding: %s does not report its number of tasks: %v", o.Name, err)
		}
		adopted += n
	}
	return adopted
}

// close stops everything that newRig started.
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

package scale

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"ravenhitch/internal/shard"
	"ravenhitch/internal/testbed/hollow"
)

// This file owns the rig: workers, the source of their list, orchestrators, clients, and the tasks
// that run from the beginning on.

type rig struct {
	t             *testing.T
	options       options
	directory     string
	binary        string
	ledger        *ledger
	fleet         *hollow.Fleet
	source        *hollow.Discovery
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
	binary := filepath.Join(directory, "ravenhitch")
	out, err := exec.Command("go", "build", "-o", binary, "ravenhitch/cmd/ravenhitch").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return binary, nil
})

var errDescriptors = errors.New("the sockets of this run don't fit the descriptors of this process")

// spareDescriptors are those of the test's process beside workers and their connections.
const spareDescriptors = 1000

// checkDescriptors tells whether listeners and connections fit the limit of this process. They are
// shared out by fewer orchestrators with their part of the demand: see -fleet-size.
func (o options) checkDescriptors() error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	const connectionsAWorker = 2 // an orchestrator opens a second one beside one that has been quiet
	need := o.workers + o.orchestrators*min(connectionsAWorker*o.workers+linksEach, o.sockets) + spareDescriptors
	if uint64(need) > limit.Cur {
		return fmt.Errorf("%w: %d needed, %d allowed", errDescriptors, need, limit.Cur)
	}
	return nil
}

// newRig starts workers, source and orchestrators.
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
		CellSize: max(1, min(rackSize, o.workers/zones)), IdleTimeout: o.idle}, r.ledger)
	if err != nil {
		t.Fatal(err)
	}
	r.source = hollow.NewDiscovery(r.fleet, o.listEvery)
	r.clients = newClients(r)
	r.ledger.again, r.ledger.note, r.ledger.places = r.clients.again, t.Logf, r.places
	r.startOrchestrators()
	return r
}

// startOrchestrators starts them one after another. Each names the others as its peers, so that all
// are there before the first one starts.
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

// admit lets clients ask the orchestrators that pass a test on each connection, as the front does;
// after the platform's patience all of them.
func (r *rig) admit() {
	var group sync.WaitGroup
	for _, o := range r.orchestrators {
		group.Go(func() {
			began := time.Now()
			if !o.clients.passed(admitPatience) {
				r.t.Logf("scale-finding: %s answered no test on all connections within %s; clients ask it all the same", o.Name, admitPatience)
			} else {
				r.t.Logf("%s passed its first tests after %s", o.Name, time.Since(began).Round(time.Millisecond))
			}
			o.admitted.Store(true)
		})
	}
	group.Wait()
}

// admitPatience is how long the platform waits for orchestrators at the start of a run.
const admitPatience = 30 * time.Second

// standing draws the tasks that run already, and puts them at workers with room: where the workers
// are divided, at those of the orchestrator that holds them, which it would have chosen among. One
// whose workers have no room would have refused the task; then the next one holds it.
func (r *rig) standing() []*task {
	var all []*task
	places := r.workersByOrchestrator()
	random := rand.New(rand.NewPCG(r.options.seed, 37))
	for len(all) < r.options.running {
		j := r.demand.next()
		holder := r.orchestrators[len(all)%len(r.orchestrators)]
		for i := range min(j.size, r.options.running-len(all)) {
			t := &task{job: j, key: fmt.Sprintf("%s-%03d", j.name, i), run: r.demand.run(), orchestrator: holder}
			for tries := 0; !r.put(t, places[t.orchestrator], random); tries++ {
				if tries == len(r.orchestrators) {
					r.t.Fatalf("no room for a task of %g cores that is to run already", t.job.task.Cores)
				}
				t.orchestrator = r.orchestrators[(t.orchestrator.index+1)%len(r.orchestrators)]
			}
			r.ledger.found(t)
			all = append(all, t)
		}
	}
	return all
}

// putTries bounds the workers that are looked at for a task that runs already.
const putTries = 1000

// workersByOrchestrator are the workers at which each orchestrator places tasks.
func (r *rig) workersByOrchestrator() map[*orchestrator][]*hollow.Worker {
	places := map[*orchestrator][]*hollow.Worker{}
	for _, w := range r.fleet.Workers {
		for _, o := range r.placers(w) {
			places[o] = append(places[o], w)
		}
	}
	return places
}

// placers are the orchestrators that place tasks at a worker while all are there.
func (r *rig) placers(w *hollow.Worker) []*orchestrator {
	if !r.options.partition {
		return r.orchestrators
	}
	var members []shard.Member
	for _, o := range r.orchestrators {
		members = append(members, shard.Member{Name: o.Name, Zone: o.zone()})
	}
	owner := r.options.regions().Assignments(w.Zone, members)[shard.Of(w.ID)]
	return slices.DeleteFunc(slices.Clone(r.orchestrators), func(o *orchestrator) bool { return o.Name != owner })
}

// places reports whether an orchestrator places tasks at a worker while all are there.
func (r *rig) places(o *orchestrator, worker string) bool {
	i := slices.IndexFunc(r.fleet.Workers, func(w *hollow.Worker) bool { return w.ID == worker })
	return i >= 0 && slices.Contains(r.placers(r.fleet.Workers[i]), o)
}

// put lets a task stand at one of some workers, one with room, for its orchestrator.
func (r *rig) put(t *task, workers []*hollow.Worker, random *rand.Rand) bool {
	_, tag := t.orchestrator.clients.pick()
	return r.putTagged(t, workers, random, tag)
}

func (r *rig) putTagged(t *task, workers []*hollow.Worker, random *rand.Rand, tag string) bool {
	stands := hollow.Task{Cores: t.job.task.Cores, Memory: t.job.task.Memory, RunTime: t.run}
	for range putTries {
		w := workers[random.IntN(len(workers))]
		if w.AddRunning(tag, t.key, stands) {
			t.worker, t.tag = w.ID, tag
			return true
		}
	}
	return false
}

// othersRun is longer than any run: what belongs to orchestrators that don't run stands all the time.
const othersRun = time.Hour

// setUpOthers puts the tasks at workers that belong to the orchestrators that the settings tell of
// and that don't run, so that the workers have as little room as they would have.
func (r *rig) setUpOthers() {
	random, demand := rand.New(rand.NewPCG(r.options.seed, 47)), newDemand(r.options.seed+1, r.options)
	for i := range int(r.options.othersShare() * float64(r.options.running)) {
		t := &task{job: demand.next(), key: fmt.Sprintf("others-%06d", i), orchestrator: r.orchestrators[0], run: othersRun}
		if !r.putTagged(t, r.fleet.Workers, random, hollow.RequestID(r.options.fleetSize, uint64(i))) {
			r.t.Fatalf("no room for a task of %g cores of another orchestrator", t.job.task.Cores)
		}
	}
}

// setUpRunning lets the tasks that run already stand and tells the orchestrators of them. Their run
// times begin with Fleet.Begin. It returns how many the orchestrators say that they know of.
func (r *rig) setUpRunning() (known int) {
	share := map[*orchestrator][]*task{}
	for _, t := range r.standing() {
		share[t.orchestrator] = append(share[t.orchestrator], t)
	}
	r.setUpOthers()
	var group sync.WaitGroup
	for o, held := range share {
		group.Go(func() {
			if !r.clients.tell(o, held) {
				r.t.Logf("scale-finding: %s passed no test behind the %d tasks it was told of", o.Name, len(held))
			}
		})
	}
	group.Wait()
	if !r.until(func() bool { return !r.source.Pending() && r.heard(r.source.Revision()) }) {
		r.t.Log("scale-finding: not everybody was told the room that the tasks leave that run already")
	}
	for _, o := range r.orchestrators {
		n, err := o.active()
		if err != nil {
			r.t.Logf("scale-finding: %s can't be asked what it knows of: %v", o.Name, err)
		}
		known += n
	}
	return known
}

// close ends all that was started.
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
		o.list.Close()
	}
	r.probing.Wait()
	if r.source != nil {
		r.source.Close()
	}
	if r.fleet != nil {
		r.fleet.Close()
	}
}

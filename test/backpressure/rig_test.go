// Package backpressure runs retry storms and floods of requests against the real program. Each orchestrator is a
// separate process; a storm has three of them by default. The workers and thousands of clients are emulated over
// loopback.
package backpressure

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

// This file owns the rig: the emulated workers, the orchestrator processes and the list of workers
// that discovery serves to them.

const (
	zoneCount     = 3
	publishPeriod = 500 * ms
	// publishLag is the age of the free capacities in the list at the time when they are published.
	publishLag = 1500 * ms
	// coldDivisor determines the number of workers in slow start: one of every coldDivisor workers has just started.
	coldDivisor = 7
	binDir      = "../../bin"
)

// build builds the program on the first call and returns the path of the binary on each call.
var build = sync.OnceValues(func() (string, error) {
	directory, err := filepath.Abs(binDir)
	if err != nil {
		return "", err
	}
	return testbed.BuildProgram(directory)
})

// rigOptions holds the size and the settings of a rig.
type rigOptions struct {
	workers, coldWorkers, orchestrators int
	operatorsFile                       string
	seed                                uint64
	maxRetryAfter                       time.Duration
}

// rig is a set of emulated workers and the orchestrators that offer tasks to them.
type rig struct {
	t             testing.TB
	options       rigOptions
	directory     string
	binary        string
	operatorsFile string
	models        []*testbed.CapacityModel
	workers       [][]*testbed.Worker  // workers[i][j] is the Worker through which orchestrator i connects to models[j]
	discoveries   []*testbed.Discovery // by orchestrator
	orchestrators []*orchestrator
	recorder      *recorder
	stop          chan struct{}
}

// orchestrator is one orchestrator process. After its end it can be started again at the same address.
type orchestrator struct {
	testbed.Process
	rig     *rig
	index   int
	address string
}

// workerSpecs returns the specifications of the emulated workers. Every third worker is a node-64 and the others are
// node-32. Zones are assigned round-robin; with three zones, all node-64 workers are in the last zone. The parameter
// cold is the number of workers that have just started. They are the first ones.
func workerSpecs(workers, cold int) (specs []testbed.WorkerSpec) {
	const cellSize = 6
	for i := range workers {
		spec := testbed.WorkerSpec{
			Name: fmt.Sprintf("s-%08x", 0xc41f00+i), Zone: "hall-" + string(rune('a'+i%zoneCount)), Kind: "node-32", Cell: i / cellSize,
			Cores: 28, Memory: 60, InspectionTime: [2]time.Duration{11 * ms, 34 * ms}, QueueLength: 20, MaxStarting: 4,
			ColdStartRate: 0.21, FallMultiple: 4, InitialBudget: 25, SlowStart: 16 * time.Second, OverloadWindow: 3 * time.Second,
			MeanStartTime: 170 * ms,
		}
		if i%3 == 2 {
			spec.Kind, spec.Cores, spec.Memory, spec.MaxStarting = "node-64", 56, 120, 8
		}
		if i < cold {
			spec.UpSince = time.Now()
		}
		specs = append(specs, spec)
	}
	return specs
}

// newRig starts the emulated workers and publishes their list, at once and then periodically until the end of
// the test. It prepares the orchestrators but does not start them; orchestrator.start starts them.
func newRig(t testing.TB, options rigOptions) *rig {
	t.Helper()
	binary, err := build()
	if err != nil {
		t.Fatal(err)
	}
	operatorsFile, err := filepath.Abs(options.operatorsFile)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, options: options, directory: t.TempDir(), binary: binary, operatorsFile: operatorsFile,
		recorder: newRecorder(), stop: make(chan struct{})}
	for i, spec := range workerSpecs(options.workers, options.coldWorkers) {
		r.models = append(r.models, testbed.NewCapacityModel(t, spec, r.recorder, options.seed+uint64(i)))
	}
	for i := range options.orchestrators {
		r.addOrchestrator(i)
	}
	r.publish(true, r.freeCapacities())
	published := make(chan struct{})
	go func() {
		defer close(published)
		r.publishPeriodically()
	}()
	t.Cleanup(func() {
		close(r.stop)
		<-published
		for _, o := range r.orchestrators {
			o.End(syscall.SIGKILL)
		}
	})
	return r
}

func (r *rig) addOrchestrator(index int) {
	var workers []*testbed.Worker
	for _, model := range r.models {
		workers = append(workers, model.NewWorker(r.t))
	}
	r.workers = append(r.workers, workers)
	r.discoveries = append(r.discoveries, testbed.NewDiscovery(r.t))
	r.orchestrators = append(r.orchestrators, &orchestrator{Process: testbed.Process{Name: fmt.Sprint("n", index)}, rig: r, index: index})
}

// capacity is the free capacity of a worker: the number of cores, and the memory in the unit of the worker list.
type capacity struct{ cores, memory float64 }

func (r *rig) freeCapacities() (free []capacity) {
	for _, model := range r.models {
		cores, memory := model.FreeCapacity()
		free = append(free, capacity{cores, memory})
	}
	return free
}

// publish makes the discovery of each orchestrator send an event with the entries of all workers and the given
// free capacities. If complete is true, the event replaces the worker list of the orchestrator; otherwise it
// updates entries in the list.
func (r *rig) publish(complete bool, free []capacity) {
	for i, discovery := range r.discoveries {
		var entries []string
		for j, model := range r.models {
			entries = append(entries, model.ListEntry(r.workers[i][j], "up", free[j].cores, free[j].memory))
		}
		discovery.Add(complete, entries...)
	}
}

// publishPeriodically publishes free capacities once per publishPeriod. The published values are publishLag old.
func (r *rig) publishPeriodically() {
	ticker := time.NewTicker(publishPeriod)
	defer ticker.Stop()
	var past [][]capacity
	for {
		select {
		case <-ticker.C:
			past = append(past, r.freeCapacities())
			if lag := int(publishLag / publishPeriod); len(past) > lag {
				r.publish(false, past[len(past)-1-lag])
			}
		case <-r.stop:
			return
		}
	}
}

// start starts an orchestrator and returns once it serves clients. It reports failures with t.Error,
// so it can be called from any goroutine of the test.
func (o *orchestrator) start() {
	listen := o.address
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	config := filepath.Join(o.rig.directory, fmt.Sprintf("config%d.json", o.index))
	if err := os.WriteFile(config, []byte(o.configuration(listen)), 0o600); err != nil {
		o.rig.t.Error(err)
		return
	}
	o.Bin, o.Args = o.rig.binary, []string{"-conf", o.rig.operatorsFile}
	o.Env = []string{"ROUTER_CONFIG=" + config, "ROUTER_LISTEN=", "ROUTER_NAME=", "ROUTER_MGMT="}
	if err := o.Start(); err != nil {
		o.rig.t.Error(err)
		return
	}
	address, err := o.WaitForLog(fmt.Sprintf("msg=serving name=n%d listen=", o.index))
	if err != nil {
		o.rig.t.Error(err)
	}
	// Only the first start sets the address. A restart reuses it, and another write would be a data race because
	// clients read the field during a restart.
	if o.address == "" {
		o.address = address
	}
}

// configuration returns the configuration of an orchestrator that starts now. The seed depends on the index, so that
// two orchestrators make different random choices. It also depends on the time, so that two starts of one
// orchestrator usually make different choices too.
func (o *orchestrator) configuration(listen string) string {
	discovery := o.rig.discoveries[o.index]
	seed := uint64(0x8c1f30d2 + time.Now().UnixNano()%1000 + int64(o.index)*1000)
	deployment := testbed.Deployment{Orchestrators: len(o.rig.orchestrators), MaxRetryAfter: o.rig.options.maxRetryAfter}
	return deployment.Config(o.index, listen, "", discovery.Server.Listener.Addr().String(), seed, discovery)
}

// restart kills an orchestrator with SIGKILL and starts it again after downtime.
func (o *orchestrator) restart(downtime time.Duration) {
	o.End(syscall.SIGKILL)
	time.Sleep(downtime)
	o.start()
}

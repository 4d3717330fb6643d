package main

// This file restarts many processes at once, with many workers known from their configurations, and
// measures how long each takes until it is ready: until it has answered a ping, which is what the front
// of the platform waits for.

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

var (
	startProcesses = flag.Int("processes", 4, "processes that are restarted at once")
	startWorkers   = flag.Int("workers", 200, "workers that they know")
)

// startListeners is how many listeners the workers share: each worker is a connection of its own, whatever
// it is called.
const startListeners = 8

// All processes are killed and started again at once: each is ready again, and places tasks. The times are
// printed and not asserted; -args -processes 16 -workers 4000 plays it in full.
func TestRestartedAtOnce(t *testing.T) {
	rig := newRestartRig(t, *startProcesses, *startWorkers)
	rig.start(t)
	rig.kill()
	took := rig.start(t)
	for i, process := range rig.processes {
		expectServes(t, process, testbed.RequestID(i+1))
	}
	rig.kill()
	n := len(took)
	t.Logf("start: processes=%d workers=%d ready=%d median_ms=%d nine_in_ten_ms=%d slowest_ms=%d", n, *startWorkers, n,
		took[n/2].Milliseconds(), took[(9*n+9)/10-1].Milliseconds(), took[n-1].Milliseconds())
}

// restartRig is the processes and the discovery that they follow.
type restartRig struct {
	discovery *testbed.Discovery
	processes []*testbed.Process
}

// newRestartRig prepares processes, and starts none.
func newRestartRig(t *testing.T, processes, workers int) *restartRig {
	t.Helper()
	program, dir := buildProgram(t), t.TempDir()
	rig := &restartRig{discovery: testbed.NewDiscovery(t)}
	rig.discovery.Add(true, workerEntries(t, workers)...)
	for i := range processes {
		path := filepath.Join(dir, fmt.Sprintf("config%d.json", i))
		if err := os.WriteFile(path, []byte(configJSON(rig.discovery)), 0o600); err != nil {
			t.Fatal(err)
		}
		name := fmt.Sprintf("n%d", i)
		rig.processes = append(rig.processes, &testbed.Process{Name: name, Bin: program,
			Env: []string{"ROUTER_CONFIG=" + path, "ROUTER_NAME=" + name}})
	}
	t.Cleanup(rig.kill)
	return rig
}

// workerEntries lists so many workers, which share listeners.
func workerEntries(t *testing.T, workers int) (entries []string) {
	t.Helper()
	var listeners []*testbed.Worker
	for i := range startListeners {
		listeners = append(listeners, testbed.NewWorker(t, fmt.Sprint("listener", i)))
	}
	for i := range workers {
		listener := listeners[i%startListeners]
		entry := strings.Replace(listener.ListEntry("up"), fmt.Sprintf("%q", listener.Name), fmt.Sprintf(`"s-%08x"`, i), 1)
		entries = append(entries, entry)
	}
	return entries
}

// kill kills all processes that run.
func (r *restartRig) kill() {
	for _, process := range r.processes {
		process.End(syscall.SIGKILL)
	}
}

// start starts all processes at once. It returns how long each took until it had answered a ping, in
// order.
func (r *restartRig) start(t *testing.T) []time.Duration {
	t.Helper()
	type ready struct {
		took time.Duration
		err  error
	}
	all := make(chan ready, len(r.processes))
	for _, process := range r.processes {
		go func() {
			began := time.Now()
			err := process.Start()
			if err == nil {
				err = pingUntilReady(process)
			}
			all <- ready{time.Since(began), err}
		}()
	}
	var took []time.Duration
	for range r.processes {
		result := <-all
		if result.err != nil {
			t.Error(result.err)
		}
		took = append(took, result.took)
	}
	slices.Sort(took)
	return took
}

// pingUntilReady pings a process as the front of the platform does, as soon as it serves.
func pingUntilReady(process *testbed.Process) error {
	addr, err := process.WaitForLog("listen=")
	if err != nil {
		return err
	}
	client, err := testbed.Dial(addr)
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }() // the answer is read by then
	testbed.Send(client, pingLine("t"))
	select {
	case line := <-client.Lines:
		if line.Verb != "ECHOED" || line.Cause() != 1 {
			return fmt.Errorf("%s: the ping got %v", process.Name, line)
		}
		return nil
	case <-time.After(testbed.Timeout):
		return fmt.Errorf("%s: the ping got no answer in %s", process.Name, testbed.Timeout)
	}
}

// expectServes lets a process place a task on a worker.
func expectServes(t *testing.T, process *testbed.Process, id string) {
	t.Helper()
	addr, err := process.WaitForLog("listen=")
	if err != nil {
		t.Fatal(err)
	}
	client := testbed.NewClient(t, addr)
	testbed.Send(client, testbed.StartLine(id, "guide-web", "ok-"+id, 6000))
	if line := testbed.Wait(t, "the response of "+process.Name, client.Lines); line.Verb != "STARTED" {
		t.Errorf("%s: got %v", process.Name, line)
	}
}

package main

// This file restarts many processes at once, each with many workers in its configuration, and measures how long
// each process takes to become ready. A process is ready when it has answered a ping. The front end of the
// platform waits for this answer before it lets clients submit requests to the process.

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
	restartProcesses = flag.Int("processes", 4, "processes that are restarted at once")
	restartWorkers   = flag.Int("workers", 200, "workers in the configuration of each process")
)

// sharedListeners is the number of listeners that the workers share. The server opens a separate
// connection to each worker, whether or not workers share an address.
const sharedListeners = 8

// All processes are killed and started again at once. Each process becomes ready again and starts a task on a worker.
// The test logs how long the processes took to become ready, but sets no limit for these times. To run the test at
// full size, pass -args -processes 16 -workers 4000.
func TestRestartedAtOnce(t *testing.T) {
	rig := newRestartRig(t, *restartProcesses, *restartWorkers)
	rig.start(t)
	rig.kill()
	took := rig.start(t)
	for i, process := range rig.processes {
		expectServes(t, process, testbed.RequestID(i+1))
	}
	rig.kill()
	n := len(took)
	t.Logf("start: processes=%d workers=%d ready=%d median_ms=%d nine_in_ten_ms=%d slowest_ms=%d", n, *restartWorkers, n,
		took[n/2].Milliseconds(), took[(9*n+9)/10-1].Milliseconds(), took[n-1].Milliseconds())
}

// restartRig consists of the processes to restart and the discovery that they follow.
type restartRig struct {
	discovery *testbed.Discovery
	processes []*testbed.Process
}

// newRestartRig prepares the processes without starting them.
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

// workerEntries returns the list entries of the given number of workers, which share listeners.
func workerEntries(t *testing.T, workers int) (entries []string) {
	t.Helper()
	var listeners []*testbed.Worker
	for i := range sharedListeners {
		listeners = append(listeners, testbed.NewWorker(t, fmt.Sprint("listener", i)))
	}
	for i := range workers {
		listener := listeners[i%sharedListeners]
		entry := strings.Replace(listener.ListEntry("up"), fmt.Sprintf("%q", listener.Name), fmt.Sprintf(`"s-%08x"`, i), 1)
		entries = append(entries, entry)
	}
	return entries
}

// kill kills all running processes.
func (r *restartRig) kill() {
	for _, process := range r.processes {
		process.End(syscall.SIGKILL)
	}
}

// start starts all processes at once. It returns how long each process took to answer a ping, in ascending
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

// pingUntilReady pings a process as soon as it listens, as the front end of the platform does, and waits for the
// answer.
func pingUntilReady(process *testbed.Process) error {
	addr, err := process.WaitForLog("listen=")
	if err != nil {
		return err
	}
	client, err := testbed.Dial(addr)
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }() // a failed close does not affect the result
	testbed.Send(client, pingLine("t"))
	select {
	case line := <-client.Lines:
		if line.Verb != "ECHOED" || line.Code() != 1 {
			return fmt.Errorf("%s: the ping got %v, want ECHOED with code 1", process.Name, line)
		}
		return nil
	case <-time.After(testbed.Timeout):
		return fmt.Errorf("%s: the ping got no answer within %s", process.Name, testbed.Timeout)
	}
}

// expectServes submits a task to a process and checks that it starts.
func expectServes(t *testing.T, process *testbed.Process, id string) {
	t.Helper()
	addr, err := process.WaitForLog("listen=")
	if err != nil {
		t.Fatal(err)
	}
	client := testbed.NewClient(t, addr)
	testbed.Send(client, testbed.StartLine(id, "guide-web", "ok-"+id, 6000))
	if line := testbed.Wait(t, "the response from "+process.Name, client.Lines); line.Verb != "STARTED" {
		t.Errorf("%s: got %v, want STARTED", process.Name, line)
	}
}

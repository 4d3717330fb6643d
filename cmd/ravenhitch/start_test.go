package main

// This file restarts many processes at once, with many workers known from their
// configurations, and measures how long each takes until it is ready: until it has passed a
// test, which is what the front waits for.

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
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

// startListeners is how many listeners the workers share: each is a connection of its own,
// whatever it is called.
const startListeners = 8

// restartRig is the processes and what they are joined to.
type restartRig struct {
	discovery      *testbed.Discovery
	processes []*testbed.Process
}

func newRestartRig(t *testing.T, processes, workers int) *restartRig {
	t.Helper()
	dir := t.TempDir()
	bin := filepath.Join(dir, "ravenhitch")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	f := &restartRig{discovery: testbed.NewDiscovery(t)}
	var listeners []*testbed.Worker
	for i := range startListeners {
		listeners = append(listeners, testbed.NewWorker(t, fmt.Sprint("listener", i)))
	}
	var members []string
	for i := range workers {
		worker := listeners[i%startListeners]
		members = append(members, strings.Replace(worker.ListEntry("up"), fmt.Sprintf("%q", worker.Name), fmt.Sprintf(`"s-%08x"`, i), 1))
	}
	f.discovery.Add(true, members...)
	for i := range processes {
		path := filepath.Join(dir, fmt.Sprintf("config%d.json", i))
		if err := os.WriteFile(path, []byte(configJSON(f.discovery)), 0o600); err != nil {
			t.Fatal(err)
		}
		f.processes = append(f.processes, &testbed.Process{Name: fmt.Sprintf("n%d", i), Bin: bin,
			Env: []string{"ROUTER_CONFIG=" + path, "ROUTER_NAME=" + fmt.Sprintf("n%d", i)}})
	}
	t.Cleanup(func() { f.kill() })
	return f
}

func (f *restartRig) kill() {
	for _, process := range f.processes {
		process.End(syscall.SIGKILL)
	}
}

// start starts all processes at once. It returns how long each took until it had passed a
// test, in order.
func (f *restartRig) start(t *testing.T) []time.Duration {
	t.Helper()
	type ready struct {
		took time.Duration
		err  error
	}
	all := make(chan ready, len(f.processes))
	for _, process := range f.processes {
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
	for range f.processes {
		r := <-all
		if r.err != nil {
			t.Error(r.err)
		}
		took = append(took, r.took)
	}
	slices.Sort(took)
	return took
}

// pingUntilReady tests a process as the front does, as soon as it serves.
func pingUntilReady(process *testbed.Process) error {
	addr, err := process.WaitForLog("listen=")
	if err != nil {
		return err
	}
	client, err := testbed.Dial(addr)
	if err != nil {
		return err
	}
	defer client.Close()
	testbed.Send(client, testbed.Line{Verb: "ECHO", Tag: "t", Opts: map[string]string{}})
	select {
	case line := <-client.Lines:
		if line.Verb != "ECHOED" || line.Cause() != 1 {
			return fmt.Errorf("%s: the test got %v", process.Name, line)
		}
		return nil
	case <-time.After(testbed.Patience):
		return fmt.Errorf("%s: the test got no answer in %s", process.Name, testbed.Patience)
	}
}

// expectServes lets a process place a task at a worker.
func expectServes(t *testing.T, process *testbed.Process, tag string) {
	t.Helper()
	addr, err := process.WaitForLog("listen=")
	if err != nil {
		t.Fatal(err)
	}
	client := testbed.NewClient(t, addr)
	testbed.Send(client, testbed.StartLine(tag, "guide-web", "ok-"+tag, 6000))
	if line := testbed.Wait(t, "the answer of "+process.Name, client.Lines); line.Verb != "STARTED" {
		t.Errorf("%s: got %v", process.Name, line)
	}
}

// All processes are killed and started again at once: each is ready again, and places tasks.
// The times are printed and not asserted; -args -processes 16 -workers 4000 plays it in full.
func TestRestartedAtOnce(t *testing.T) {
	f := newRestartRig(t, *startProcesses, *startWorkers)
	f.start(t)
	f.kill()
	took := f.start(t)
	for i, process := range f.processes {
		expectServes(t, process, testbed.RequestID(i+1))
	}
	f.kill()
	n := len(took)
	t.Logf("start: processes=%d workers=%d ready=%d median_ms=%d nine_in_ten_ms=%d slowest_ms=%d", n, *startWorkers, n,
		took[n/2].Milliseconds(), took[(9*n+9)/10-1].Milliseconds(), took[n-1].Milliseconds())
}

package delivery

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

// This file tests the ends of tasks at workers that are cut off from the orchestrator for a while, or for good.

// cutFleet is a process of the program with one stand-in worker behind a proxy.
type cutFleet struct {
	testbed.Process
	t       *testing.T
	worker  *testbed.Worker
	proxy   *testbed.Proxy
	client  *testbed.Client
	address string
}

func startCutFleet(t *testing.T) *cutFleet {
	t.Helper()
	directory := t.TempDir()
	binary, err := testbed.BuildProgram(directory)
	if err != nil {
		t.Fatal(err)
	}
	f := &cutFleet{t: t, worker: testbed.NewWorker(t, "s-1")}
	f.worker.Kind = "node-64"
	f.proxy = testbed.NewProxy(t, f.worker)
	discovery := testbed.NewDiscovery(t)
	discovery.Add(true, f.worker.ListEntry("up"))
	channel := discovery.Server.Listener.Addr().String()
	config := filepath.Join(directory, "config.json")
	settings := testbed.Deployment{Orchestrators: 1}.Config(0, "127.0.0.1:0", "", channel, 1, discovery)
	for path, text := range map[string]string{config: settings, config + ".conf": "[log]\nlevel debug\n"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	f.Name, f.Bin, f.Args = "n0", binary, []string{"-conf", config + ".conf"}
	f.Env = []string{"ROUTER_CONFIG=" + config, "ROUTER_LISTEN=", "ROUTER_NAME=", "ROUTER_MGMT=", "TMPDIR=" + directory}
	t.Cleanup(func() {
		f.End(syscall.SIGKILL)
		if t.Failed() {
			for _, line := range f.Lines() {
				t.Log(line)
			}
		}
	})
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	if f.address, err = f.WaitForLog("msg=serving name=n0 listen="); err != nil {
		t.Fatal(err)
	}
	f.client = testbed.NewClient(t, f.address)
	return f
}

// startTasks starts count tasks, with the request IDs from 1.
func (f *cutFleet) startTasks(count int) {
	f.t.Helper()
	for i := range count {
		id := testbed.RequestID(i + 1)
		testbed.Send(f.client, testbed.StartLine(id, "guide-web", "ok-"+id, requestTimeoutMs))
		waitFor(f.t, f.client, "STARTED", id)
	}
}

// cutWithOffer cuts the worker off while an offer is open, which the client then cancels. The orchestrator gives the
// connection up, and the worker does not notice.
func (f *cutFleet) cutWithOffer() {
	f.t.Helper()
	f.proxy.Partition(f.t)
	id := testbed.RequestID(0x99)
	testbed.Send(f.client, testbed.StartLine(id, "guide-web", "ok-"+id, requestTimeoutMs))
	if _, err := f.WaitForLog("msg=\"offer written\" name=n0 request_id=" + id); err != nil {
		f.t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	testbed.Send(f.client, testbed.CodeLine("FINISH", id, codeEnded))
	for _, event := range []string{"worker connection aborted", "connection not established in time"} {
		if _, err := f.WaitForLog(event); err != nil {
			f.t.Fatal(err)
		}
	}
}

// expectEnd expects the end of a task within a limit.
func (f *cutFleet) expectEnd(requestID string, limit time.Duration) {
	f.t.Helper()
	began := time.Now()
	waitFor(f.t, f.client, "FINISH", requestID)
	if age := time.Since(began); age > limit {
		f.t.Errorf("task %s: its end was reported after %s, want %s at the most", requestID, age.Round(time.Millisecond), limit)
	} else {
		f.t.Logf("task %s: reported after %s", requestID, age)
	}
}

// A worker was cut off, and the orchestrator gave its connection up, which the worker has not noticed. The first report that
// the worker sends on that connection is lost.
func TestEndOnHalfOpenConnectionIsReportedInTime(t *testing.T) {
	f := startCutFleet(t)
	f.startTasks(2)
	f.cutWithOffer()
	dials, _ := f.worker.DialCounts()
	f.proxy.Heal(t)
	for healed := time.Now(); ; time.Sleep(time.Millisecond) {
		if now, _ := f.worker.DialCounts(); now > dials {
			t.Logf("connected %s after the heal", time.Since(healed))
			break
		}
	}
	time.Sleep(300 * time.Millisecond)
	for i := range 2 {
		id := testbed.RequestID(i + 1)
		f.worker.SendFinish(id, codeEnded)
		f.expectEnd(id, reportLimit+ruleSlack)
	}
}

// A machine vanishes: its connections stay open and silent, and new ones never come up. Discovery lists it on. If it was only
// cut off, the task is ended there too once it can be reached.
func TestTaskOfVanishedWorkerIsEnded(t *testing.T) {
	f := startCutFleet(t)
	f.startTasks(1)
	f.proxy.Partition(t)
	f.expectEnd(testbed.RequestID(1), endLimit+ruleSlack)
	f.proxy.Heal(t)
	if line := testbed.Wait(t, "the release of the task", f.worker.Cancels); line.Tag != testbed.RequestID(1) {
		t.Errorf("got %v, want the release of the task", line)
	}
}

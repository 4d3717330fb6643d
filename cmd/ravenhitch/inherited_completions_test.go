package main

// This file tests that a process fetches the completions that workers keep for an earlier one, and at what cost.

import (
	"fmt"
	"testing"

	"ravenhitch/internal/testbed"
)

// manyWorkers is the number of workers in these tests. It is above the number of descriptors at smallSocketLimit.
const manyWorkers = 60

// startAfterKill starts a server with fewer descriptors than workers, each of which keeps the completion of a task for it:
// request i+1 ran at worker i.
func startAfterKill(t *testing.T, settings string) *testServer {
	t.Helper()
	next := 0
	return startTestServer(t, serverOptions{settings: settings, sockets: smallSocketLimit, onWorker: func(worker *testbed.Worker) {
		next++
		worker.SendFinish(testbed.RequestID(next), codeDone)
	}}, manyWorkerNames()...)
}

func manyWorkerNames() (names []string) {
	for i := range manyWorkers {
		names = append(names, fmt.Sprintf("w%02d", i))
	}
	return names
}

// Guards against completions that are never reported after a restart, because the new process has fewer descriptors than
// workers and never connects to those that keep them.
func TestCompletionsForEarlierProcessAreFetched(t *testing.T) {
	const allWorkersWithTasks = 22 // as many as required connections are admitted
	for _, test := range []struct {
		name       string
		settings   string
		handedOver int
	}{
		{"no task is handed over", "", 0},
		{"a task is handed over", "", 1},
		{"a task is handed over, without pings", changedSettings(t, settingChange{"Limits.Probes", false}), 1},
		{"tasks at as many workers as descriptors are handed over", "", allWorkersWithTasks},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server := startAfterKill(t, test.settings)
			client := server.connect(t)
			for i := range test.handedOver {
				testbed.Send(client, adoptedLine(testbed.RequestID(1000+i), server.workers[i].Name))
			}
			pingServer(t, client)
			missing := map[string]bool{}
			for i := range manyWorkers {
				missing[testbed.RequestID(i+1)] = true
			}
			for len(missing) > 0 {
				line := testbed.Wait(t, fmt.Sprintf("one of %d completions", len(missing)), client.Lines)
				if line.Verb == "FINISH" && line.Code() == codeDone {
					delete(missing, line.Tag)
				}
			}
		})
	}
}

// Guards against connections to all workers at each start: without a sign of an earlier process, a process opens no more
// connections than its descriptors admit.
func TestFirstStartConnectsWithinDescriptors(t *testing.T) {
	server := startTestServer(t, serverOptions{sockets: smallSocketLimit}, manyWorkerNames()...)
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	if line := testbed.Wait(t, "the response", client.Lines); line.Verb != "STARTED" {
		t.Fatalf("response: got %v, want STARTED", line)
	}
	since := server.now(t)
	server.waitUntil(t, "two sweeps of the pool", func() bool { return server.loop.Now() > since+1_200*millisecond })
	if opened := server.pool.Counts().Opened; opened >= smallSocketLimit-reservedDescriptors {
		t.Errorf("opened %d connections to workers, want fewer than the %d descriptors", opened, smallSocketLimit-reservedDescriptors)
	}
}

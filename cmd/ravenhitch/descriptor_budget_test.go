package main

// This file tests servers that have more listed workers than descriptors.

import (
	"fmt"
	"slices"
	"testing"

	"ravenhitch/internal/testbed"
)

// With more workers than descriptors, the server closes connections to idle workers to connect to the workers
// that it needs. It keeps the connection to a worker with a running task, because the completion of the task
// arrives on that connection.
func TestIdleWorkerConnectionsAreEvicted(t *testing.T) {
	const workers, tasks = 60, 6
	server := newServerWithDiscoveryProxy(t, workers)
	client := server.connect(t)
	for i := range tasks {
		testbed.Send(client, testbed.StartLine(testbed.RequestID(i+1), "guide-web", fmt.Sprint("ok-", i), 5000))
		if line := testbed.Wait(t, "the response", client.Lines); line.Verb != "STARTED" {
			t.Fatalf("request %d got %v, want STARTED", i+1, line)
		}
	}
	// Probes each worker without a task twice, one worker at a time: there are too few descriptors for all workers.
	for _, worker := range slices.Concat(server.workers, server.workers) {
		if worker.TaskCount() > 0 {
			continue
		}
		before := worker.PingCount()
		server.onLoop(t, func() { server.pool.Probe(worker.Name) })
		server.waitUntil(t, "a probe of "+worker.Name, func() bool { return worker.PingCount() > before })
	}
	for _, worker := range server.workers {
		if _, open := worker.DialCounts(); open == 0 && worker.TaskCount() > 0 {
			t.Fatalf("no connection to %s, which has a running task", worker.Name)
		}
	}
	for i := range tasks {
		for _, worker := range server.workers {
			if worker.HasTask(testbed.RequestID(i + 1)) {
				worker.ReportCompletion(testbed.RequestID(i+1), codeDone)
			}
		}
		if line := testbed.Wait(t, "the completion", client.Lines); line.Tag != testbed.RequestID(i+1) || line.Code() != codeDone {
			t.Errorf("completion: got %v, want request %s with cause %d", line, testbed.RequestID(i+1), codeDone)
		}
	}
}

// With more workers than descriptors, the server connects to every worker with a running task. To have enough
// descriptors, it closes connections to idle workers and also borrows descriptors that clients do not use.
func TestWorkersWithRunningTasksAreConnected(t *testing.T) {
	const workers, tasks = 60, 20
	server := newServerWithDiscoveryProxy(t, workers)
	server.discovery.WaitPolled(t)
	client := server.connect(t)
	busy := server.workers[workers-tasks:]
	for i, worker := range busy {
		testbed.Send(client, adoptedLine(testbed.RequestID(i+1), worker.Name))
	}
	for _, worker := range busy {
		server.waitUntil(t, "a connection to "+worker.Name, func() bool {
			_, open := worker.DialCounts()
			return open > 0
		})
	}
	for i, worker := range busy {
		worker.ReportCompletion(testbed.RequestID(i+1), codeDone)
	}
	completed := map[string]bool{}
	for range busy {
		if line := testbed.Wait(t, "a completion", client.Lines); line.Code() == codeDone {
			completed[line.Tag] = true
		}
	}
	if len(completed) != tasks {
		t.Errorf("%d of %d completions were reported, want all", len(completed), tasks)
	}
	other := server.connect(t)
	pingServer(t, other)
	server.onLoop(t, func() {
		if free := server.loop.FreeDescriptors(); free < 4 {
			t.Errorf("%d descriptors are free, want at least the 4 reserved for discovery and operators", free)
		}
	})
}

package main

// This file lists more workers than there are descriptors.

import (
	"fmt"
	"slices"
	"testing"

	"ravenhitch/internal/testbed"
)

// Where there are more workers than descriptors, those that are needed are connected in place of idle
// ones. The connection to a worker with a running task stays, as the completion comes there.
func TestIdleWorkerConnectionsAreEvicted(t *testing.T) {
	const workers, tasks = 60, 6
	server := newRelayedServer(t, workers)
	client := server.connect(t)
	for i := range tasks {
		testbed.Send(client, testbed.StartLine(testbed.RequestID(i+1), "guide-web", fmt.Sprint("ok-", i), 5000))
		if line := testbed.Wait(t, "the response", client.Lines); line.Verb != "STARTED" {
			t.Fatalf("got %v", line)
		}
	}
	for _, worker := range slices.Concat(server.workers, server.workers) { // one by one: there are too few descriptors for all
		if worker.TaskCount() > 0 {
			continue
		}
		before := worker.PingCount()
		server.onLoop(t, func() { server.pool.Probe(worker.Name) })
		server.waitUntil(t, "a probe of "+worker.Name, func() bool { return worker.PingCount() > before })
	}
	for _, worker := range server.workers {
		if _, open := worker.DialCounts(); open == 0 && worker.TaskCount() > 0 {
			t.Fatalf("no connection to %s, where a task runs", worker.Name)
		}
	}
	for i := range tasks {
		for _, worker := range server.workers {
			if worker.HasTask(testbed.RequestID(i + 1)) {
				worker.End(testbed.RequestID(i+1), causeDone)
			}
		}
		if line := testbed.Wait(t, "the completion", client.Lines); line.Tag != testbed.RequestID(i+1) || line.Cause() != causeDone {
			t.Errorf("got %v", line)
		}
	}
}

// Where more workers than descriptors are listed, those with running tasks are connected in place of idle
// ones, and beyond that with what clients do not use.
func TestWorkersWithRunningTasksAreConnected(t *testing.T) {
	const workers, tasks = 60, 20
	server := newRelayedServer(t, workers)
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
		worker.End(testbed.RequestID(i+1), causeDone)
	}
	completed := map[string]bool{}
	for range busy {
		if line := testbed.Wait(t, "a completion", client.Lines); line.Cause() == causeDone {
			completed[line.Tag] = true
		}
	}
	if len(completed) != tasks {
		t.Errorf("%d completions of %d were reported", len(completed), tasks)
	}
	other := server.connect(t)
	pingServer(t, other)
	server.onLoop(t, func() {
		if free := server.loop.FreeDescriptors(); free < 4 {
			t.Errorf("%d descriptors are left free, want those of discovery and operators", free)
		}
	})
}

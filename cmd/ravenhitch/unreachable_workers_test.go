package main

// This file tests that attempts are offered to reachable workers while all workers are suspect.

import (
	"strings"
	"testing"

	"ravenhitch/internal/testbed"
)

// No first attempt gets a response, so all workers are suspect, and some of the workers are unreachable. The
// next attempts are offered to the reachable workers. If these workers already have as many attempts as a
// suspect worker may have, the requests wait for these workers.
//
// In the fault that this test guards against, the worker pool knew that no connection reached a worker but did
// not report this to the scheduler (see TestLastAttemptsIntoCut). When connections were refused, the trace of
// a rejected request showed that its first attempt was reset with the connection. Within the next 3 ms, two
// more attempts were wasted. For each of them, the trace had the lines 'offer never sent' and 'connection
// refused'.
func TestAttemptsBesideUnreachableWorkers(t *testing.T) {
	for _, test := range []struct {
		name        string
		workers     string
		injectFault func(t *testing.T, server *proxiedServer, worker *testbed.Worker)
	}{
		{"half of twelve are cut off", "a b c d e f g h i j k l", func(t *testing.T, server *proxiedServer, worker *testbed.Worker) {
			server.proxies[worker.Name].Partition(t)
		}},
		{"half of four refuse connections", "a b c d", func(t *testing.T, server *proxiedServer, worker *testbed.Worker) {
			server.proxies[worker.Name].RefuseConnections(t)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := newWarmProxiedServer(t, settingsJSON, nil, strings.Fields(test.workers)...)
			missed := server.submit("missed", 4*len(server.workers), 4000)
			server.sendNoticesOnceOffered(t, missed)
			for i, worker := range server.workers {
				if i%2 == 0 {
					test.injectFault(t, server, worker)
				}
			}
			server.expectAllStarted(t, missed)
			server.expectNoDuplicates(t)
		})
	}
}

// Unreachable workers get no attempts. Once the server can connect to such a worker again, the worker gets
// tasks again.
func TestWorkersReturnOnceReached(t *testing.T) {
	server := newWarmProxiedServer(t, settingsJSON, nil, "a", "b")
	missed := server.submit("missed", 4, 2000)
	server.sendNoticesOnceOffered(t, missed)
	for _, proxy := range server.proxies {
		proxy.Partition(t)
	}
	server.waitResponses(t, missed)
	for _, proxy := range server.proxies {
		proxy.Heal(t)
	}
	for _, worker := range server.workers {
		server.waitRunningAt(t, worker.Name)
	}
}

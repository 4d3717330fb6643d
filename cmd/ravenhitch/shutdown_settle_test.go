package main

// This file tests that a shutdown takes no report of a worker that it may not be able to pass on.

import (
	"testing"

	"ravenhitch/internal/testbed"
)

// A server shuts down while two tasks run and the completion of a third waits for a client. It ends its connections to
// workers, so that they keep further reports for the next process, and can still be reached by the client. It guards against
// a process that takes reports until it is killed, and cannot be reached any more.
func TestSettlingServerTakesNoReports(t *testing.T) {
	server := newTestServer(t, "a")
	client := server.connect(t)
	for i := range 3 {
		testbed.Send(client, adoptedLine(testbed.RequestID(i+1), "a"))
	}
	pingServer(t, client)
	closeNow(t, client)
	server.waitConnections(t, 0)
	server.workers[0].ReportCompletion(testbed.RequestID(1), codeDone)
	server.waitUntil(t, "the completion at the server", server.clientFront.HasUndelivered)
	server.Stop()

	server.waitUntil(t, "the end of the connections to workers", func() bool {
		_, open := server.workers[0].DialCounts()
		return open == 0
	})
	client = server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(9), "guide-web", "ok-9", 5000))
	expectCode(t, "the response to a request that came late", client, testbed.RequestID(9), codeRejected)
	testbed.Send(client, pingLine("t"))
	expectCode(t, "the completion", client, testbed.RequestID(1), codeDone)
	testbed.Send(client, confirmLine(testbed.RequestID(1)))
	if err := server.waitStopped(t); err != nil {
		t.Error(err)
	}
	if counts := server.dispatcher.Counts(); counts.Completed != 1 || server.dispatcher.RunningCount() != 2 {
		t.Errorf("got %d completions and %d running tasks at the end, want 1 and 2", counts.Completed, server.dispatcher.RunningCount())
	}
}

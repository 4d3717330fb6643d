package main

// This file tests what becomes of a task that was accepted and has ended, and whose acceptance was never read.

import (
	"testing"

	"ravenhitch/internal/testbed"
)

// A worker accepts a task and sends it away before its acceptance is read. The request is to be answered at once, and
// not to be offered again: its task ran and is over.
func TestTaskSentAwayBeforeItsAcceptance(t *testing.T) {
	for _, class := range []string{"guide-web", "archive-cut"} {
		t.Run(class, func(t *testing.T) {
			server := newTestServer(t, "a", "b")
			client := server.connect(t)
			testbed.Send(client, testbed.StartLine(testbed.RequestID(1), class, "held-1", 5000))
			server.sendAwayOnceOffered(t, testbed.RequestID(1))
			expectCause(t, "the response", client, testbed.RequestID(1), causeFailed)
			if offers := server.workers[0].StartCount("held-1") + server.workers[1].StartCount("held-1"); offers != 1 {
				t.Errorf("offered %d times", offers)
			}
		})
	}
}

// sendAwayOnceOffered lets the worker at which the task of a request runs send it away.
func (s *testServer) sendAwayOnceOffered(t *testing.T, requestID string) {
	t.Helper()
	for {
		for _, worker := range s.workers {
			if worker.HasTask(requestID) {
				worker.SendAway(requestID)
				return
			}
		}
		s.onLoop(t, func() {}) // a turn
	}
}

package main

// This file tests tasks that a worker accepted and ended before the orchestrator read the acceptance.

import (
	"testing"

	"ravenhitch/internal/testbed"
)

// A worker accepts tasks and begins to drain before the orchestrator has read the acceptances. The worker ends each
// task with a FINISH of code 41 and the note drained. The note means that the task ran, so the request ends and its
// client gets a response at once. The orchestrator used to treat this FINISH as the loss of an offer in transit. If the
// task could be repeated, it was offered to another worker.
//
// In a trace of the failure, each such request has a line with the fields below and, after it, an offer to another
// worker:
//
//	msg="worker ended offer" code=41 note=drained description=false
func TestTaskSentAwayBeforeItsAcceptance(t *testing.T) {
	for _, class := range []string{"guide-web", "archive-cut"} {
		t.Run(class, func(t *testing.T) {
			server := newTestServer(t, "a", "b")
			client := server.connect(t)
			testbed.Send(client, testbed.StartLine(testbed.RequestID(1), class, "held-1", 5000))
			server.evictOnceOffered(t, testbed.RequestID(1))
			expectCode(t, "the response", client, testbed.RequestID(1), codeFailed)
			if offers := server.workers[0].OfferCount("held-1") + server.workers[1].OfferCount("held-1"); offers != 1 {
				t.Errorf("the task was offered %d times, want 1", offers)
			}
		})
	}
}

// evictOnceOffered waits until the task of a request runs on a worker, and makes that worker evict the task, as a
// draining worker does.
func (s *testServer) evictOnceOffered(t *testing.T, requestID string) {
	t.Helper()
	for {
		for _, worker := range s.workers {
			if worker.HasTask(requestID) {
				worker.EvictTask(requestID)
				return
			}
		}
		s.onLoop(t, func() {}) // lets the event loop run another turn
	}
}

// A worker accepts a task, and its connection is closed before the orchestrator has read the acceptance. The request
// may be retried, but no worker is available, so it is pending. The worker then reports the end of the task on its
// next connection. The task ran and has ended, so the request gets a response at once and is not offered again when a
// worker becomes available.
//
// In the fault that this test guards against, the worker reported the end of a task on another connection than the
// one on which it got the offer. The orchestrator used such a report only if the task was running or unknown. It
// ignored the report if the request was pending. In the soak test with seed 15, the trace showed 'connection lost
// with offer open'. The worker ended the task 220 ms later, and the trace had no line about that. After another
// 380 ms, the line 'offer attempt=1' showed a second attempt at another worker.
func TestTaskEndedOnAnotherConnection(t *testing.T) {
	for _, end := range []struct {
		name string
		send func(worker *testbed.Worker, requestID string)
	}{
		{"evicted", func(worker *testbed.Worker, requestID string) { worker.EvictTask(requestID) }},
		{"completed", func(worker *testbed.Worker, requestID string) { worker.SendFinish(requestID, codeDone) }},
	} {
		t.Run(end.name, func(t *testing.T) {
			server := newTestServer(t, "a")
			worker := server.workers[0]
			client := server.connect(t)
			testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "held-1", 5000))
			testbed.Wait(t, "the offer", worker.Offers)
			server.drainOnlyWorker(t)
			worker.CloseConnections()
			server.waitUntil(t, "the reset attempt", func() bool { return server.dispatcher.Counts().Reset == 1 })
			end.send(worker, testbed.RequestID(1))
			expectCode(t, "the response", client, testbed.RequestID(1), codeFailed)
			server.undrainOnlyWorker()
			server.discovery.WaitPolled(t)
			if offers := worker.OfferCount("held-1"); offers != 1 {
				t.Errorf("the task was offered %d times, want 1", offers)
			}
		})
	}
}

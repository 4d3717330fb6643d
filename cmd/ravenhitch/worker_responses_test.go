package main

// This file tests responses of workers that are malformed, late or duplicated.

import (
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

// A worker sends a truncated response and a response without a description. It also sends responses to an unknown
// request, and one response twice. The server forwards nothing malformed to the client. After a malformed response,
// the server closes the connection to the worker, which ends the other attempts on it as well. The class of each
// request determines whether there is another attempt, which goes to a worker that has not received the offer yet.
func TestMalformedWorkerResponses(t *testing.T) {
	server := newTestServer(t, "a")
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	testbed.Wait(t, "the response", client.Lines)
	for i, kind := range []string{"half", "bare"} {
		t.Run(kind, func(t *testing.T) {
			expectMalformedIsRetried(t, kind)
			expectMalformedIsSettled(t, server.workers[0], client, kind, 10*(i+1))
		})
	}
	testbed.Send(client, testbed.StartLine(testbed.RequestID(2), "guide-web", "twice-1", 5000))
	testbed.Send(client, pingLine("t"))
	verbs := testbed.Wait(t, "one line", client.Lines).Verb + testbed.Wait(t, "another line", client.Lines).Verb
	testbed.Send(client, testbed.StartLine(testbed.RequestID(3), "guide-web", "ok-3", 5000))
	if line := testbed.Wait(t, "the response to the next task", client.Lines); line.Tag != testbed.RequestID(3) || len(verbs) != len("STARTEDECHOED") {
		t.Errorf("next response: got %v after %s, want the response to request 3 after STARTED and ECHOED", line, verbs)
	}
}

// expectMalformedIsRetried makes two workers send malformed responses of the given kind to their first offer of a task that
// may be offered again. Each worker gets one offer of the request, which is then rejected at once. The client's next
// request for the task is started by the worker that answers well.
func expectMalformedIsRetried(t *testing.T, kind string) {
	t.Helper()
	server := newTestServer(t, "a", "b")
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", kind+"-web", 5000))
	expectCode(t, "the response after two malformed ones", client, testbed.RequestID(1), codeRejected)
	for _, worker := range server.workers {
		if n := worker.OfferCount(kind + "-web"); n != 1 {
			t.Errorf("%s: worker %s got %d offers of one request, want 1", kind, worker.Name, n)
		}
	}
	testbed.Send(client, testbed.StartLine(testbed.RequestID(2), "guide-web", kind+"-web", 5000))
	line := testbed.Wait(t, kind, client.Lines)
	if line.Verb != "STARTED" || line.Tag != testbed.RequestID(2) || *line.Blob != "about "+kind+"-web" {
		t.Errorf("%s: got %v, want STARTED with the description of the next attempt", kind, line)
	}
}

// expectMalformedIsSettled makes the only worker send malformed responses of the given kind, and checks that every request
// on the same connection gets its response, and one offer: a rejection if the task may be submitted again, and a failure
// otherwise.
func expectMalformedIsSettled(t *testing.T, worker *testbed.Worker, client *testbed.Client, kind string, firstID int) {
	t.Helper()
	testbed.Send(client, testbed.StartLine(testbed.RequestID(firstID), "guide-web", kind+"-web", 5000))
	expectCode(t, "the response after a malformed one", client, testbed.RequestID(firstID), codeRejected)
	if n := worker.OfferCount(kind + "-web"); n != 1 {
		t.Errorf("%s: got %d offers of a request to its only worker, want 1", kind, n)
	}
	// Two requests whose tasks must not start twice fail before their deadlines: one gets a malformed
	// response, and the other is open on the same connection.
	began := time.Now()
	testbed.Send(client, testbed.StartLine(testbed.RequestID(firstID+1), "archive-cut", "silent-"+kind, 10_000))
	testbed.Send(client, testbed.StartLine(testbed.RequestID(firstID+2), "archive-cut", kind+"-cut", 10_000))
	for range 2 {
		if line := testbed.Wait(t, "a failure", client.Lines); line.Verb != "FINISH" || line.Code() == codeRejected {
			t.Errorf("%s: got %v, want FINISH with a code other than a rejection", kind, line)
		}
	}
	if d := time.Since(began); d > 3*time.Second {
		t.Errorf("%s: got both responses after %s, want at most 3 s", kind, d)
	}
	if n := worker.OfferCount(kind+"-cut") + worker.OfferCount("silent-"+kind); n != 2 {
		t.Errorf("%s: got %d offers of the two tasks, want 2", kind, n)
	}
}

// Some workers send a rejection twice. The second one arrives late and on any connection. It must not end the
// task if the task has started since. The same applies to a late message which says that the
// offer was never sent.
func TestLateDuplicateRejection(t *testing.T) {
	server := newTestServer(t, "a")
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	if line := testbed.Wait(t, "the response", client.Lines); line.Verb != "STARTED" {
		t.Fatalf("response: got %v, want STARTED", line)
	}
	for _, cause := range []int{codeRejected, codeNeverSent, codeDone} {
		server.workers[0].ReportCompletion(testbed.RequestID(1), cause)
	}
	expectCode(t, "the completion", client, testbed.RequestID(1), codeDone)
}

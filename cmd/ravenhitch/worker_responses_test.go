package main

// This file tests responses of workers that are malformed, late or doubled.

import (
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

// A response that stops short, lacks its description or comes with more than is its own: nothing
// malformed is passed on, the connection is closed, others on it are settled too, and the class decides
// on another attempt.
func TestMalformedWorkerResponses(t *testing.T) {
	server := newTestServer(t, "a")
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	testbed.Wait(t, "the response", client.Lines)
	for i, kind := range []string{"half", "bare"} {
		t.Run(kind, func(t *testing.T) { expectMalformedIsSettled(t, server.workers[0], client, kind, 10*(i+1)) })
	}
	testbed.Send(client, testbed.StartLine(testbed.RequestID(2), "guide-web", "twice-1", 5000))
	testbed.Send(client, pingLine("t"))
	verbs := testbed.Wait(t, "one line", client.Lines).Verb + testbed.Wait(t, "another", client.Lines).Verb
	testbed.Send(client, testbed.StartLine(testbed.RequestID(3), "guide-web", "ok-3", 5000))
	if line := testbed.Wait(t, "the next task's response", client.Lines); line.Tag != testbed.RequestID(3) || len(verbs) != len("STARTEDECHOED") {
		t.Errorf("got %v after %s", line, verbs)
	}
}

// expectMalformedIsSettled submits tasks, the first response to which the worker spoils in one way.
func expectMalformedIsSettled(t *testing.T, worker *testbed.Worker, client *testbed.Client, kind string, firstID int) {
	t.Helper()
	testbed.Send(client, testbed.StartLine(testbed.RequestID(firstID), "guide-web", kind+"-web", 5000))
	line := testbed.Wait(t, kind, client.Lines)
	if line.Verb != "STARTED" || line.Tag != testbed.RequestID(firstID) || *line.Blob != "about "+kind+"-web" {
		t.Errorf("%s: got %v", kind, line)
	}
	// Others on the connection, and one that must not start twice, are not left to their deadline.
	began := time.Now()
	testbed.Send(client, testbed.StartLine(testbed.RequestID(firstID+1), "archive-cut", "silent-"+kind, 10_000))
	testbed.Send(client, testbed.StartLine(testbed.RequestID(firstID+2), "archive-cut", kind+"-cut", 10_000))
	for range 2 {
		if line := testbed.Wait(t, "a failure", client.Lines); line.Verb != "FINISH" || line.Cause() == causeRejected {
			t.Errorf("%s: got %v", kind, line)
		}
	}
	if d := time.Since(began); d > 3*time.Second {
		t.Errorf("%s: settled after %s", kind, d)
	}
	if n := worker.StartCount(kind+"-cut") + worker.StartCount("silent-"+kind); n != 2 {
		t.Errorf("%s: started %d times", kind, n)
	}
}

// A duplicate of a rejection, which some workers send late and on any connection, ends no task that was
// started since.
func TestLateDuplicateRejection(t *testing.T) {
	server := newTestServer(t, "a")
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	if line := testbed.Wait(t, "the response", client.Lines); line.Verb != "STARTED" {
		t.Fatalf("got %v", line)
	}
	for _, cause := range []int{causeRejected, causeNeverSent, causeDone} {
		server.workers[0].End(testbed.RequestID(1), cause)
	}
	expectCause(t, "the completion", client, testbed.RequestID(1), causeDone)
}

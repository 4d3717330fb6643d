package main

// This file tests that the fronts for JSON lines and for gRPC behave the same, and that neither front affects
// requests and tasks of the other.

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/grpcfront/edgepb"
	"ravenhitch/internal/testbed"
)

// frontUser is a client of either front.
type frontUser interface {
	// place submits request number n and returns its outcome: "started: " and the description from the worker,
	// "rejected" or "failed".
	place(t *testing.T, n int, class, task string) string
	// nextCompletion waits for the next completion and returns its request ID and "done" or "lost".
	nextCompletion(t *testing.T) string
}

// frontRun is the result of runOnFront on one front.
type frontRun struct {
	outcomes          []string // outcomes of all requests and completions, in order
	counts            dispatch.Counts
	offersDuringDrain [2]int // number of offers while worker a drains: to the draining worker a, and to worker b
}

// The same requests, completions and drain have the same outcomes, counts and offers on both fronts.
func TestSameOnBothFronts(t *testing.T) {
	var jsonLines, grpc frontRun
	t.Run("json lines", func(t *testing.T) {
		jsonLines = runOnFront(t, func(server *testServer) frontUser { return jsonLinesUser{server.connect(t)} })
	})
	t.Run("grpc", func(t *testing.T) {
		grpc = runOnFront(t, func(server *testServer) frontUser { return grpcUser{server.openSession(t, "s")} })
	})
	if t.Failed() {
		return
	}
	if !slices.Equal(jsonLines.outcomes, grpc.outcomes) {
		t.Errorf("outcomes differ:\nJSON lines: %q\ngRPC:       %q", jsonLines.outcomes, grpc.outcomes)
	}
	if jsonLines.counts != grpc.counts {
		t.Errorf("counts differ:\nJSON lines: %+v\ngRPC:       %+v", jsonLines.counts, grpc.counts)
	}
	if jsonLines.offersDuringDrain != grpc.offersDuringDrain || jsonLines.offersDuringDrain != [2]int{0, 10} {
		t.Errorf("offers to the draining worker and to the other: got %v on JSON lines and %v on gRPC, want [0 10] on both",
			jsonLines.offersDuringDrain, grpc.offersDuringDrain)
	}
}

// runOnFront submits tasks that a worker answers in different ways, and completes two of them. It then drains this
// worker, adds another one and submits ten further tasks.
func runOnFront(t *testing.T, connect func(*testServer) frontUser) (run frontRun) {
	t.Helper()
	server := newTestServer(t, "a")
	draining, other := server.workers[0], testbed.NewWorker(t, "b")
	user := connect(server)
	n := 0
	for _, class := range []string{"guide-web", "archive-cut"} {
		for _, task := range []string{"ok-1", "full-1", "ok-2", "error-1", "ok-3", "silent-1", "reset-1", "ok-4"} {
			n++
			run.outcomes = append(run.outcomes, task+" "+user.place(t, n, class, task+"-"+class))
		}
	}
	// Two running tasks end with different causes.
	for _, completion := range []struct{ n, cause int }{{1, codeDone}, {3, codeLost}} {
		draining.ReportCompletion(testbed.RequestID(completion.n), completion.cause)
		run.outcomes = append(run.outcomes, user.nextCompletion(t))
	}
	// The worker drains and worker b is listed: further offers go to worker b only.
	server.discovery.Add(false, draining.ListEntry("draining"))
	server.discovery.WaitPolled(t)
	before := len(draining.Offers)
	server.discovery.Add(false, other.ListEntry("up"))
	server.discovery.WaitPolled(t)
	for i := range 10 {
		run.outcomes = append(run.outcomes, user.place(t, 100+i, "guide-web", fmt.Sprintf("ok-drain-%d", i)))
	}
	run.counts = server.counts(t)
	run.offersDuringDrain = [2]int{len(draining.Offers) - before, len(other.Offers)}
	return run
}

// jsonLinesUser is a client of the front for JSON lines.
type jsonLinesUser struct{ *testbed.Client }

func (u jsonLinesUser) place(t *testing.T, n int, class, task string) string {
	t.Helper()
	testbed.Send(u, testbed.StartLine(testbed.RequestID(n), class, task, clientTimeoutMs(task)))
	line := testbed.Wait(t, task, u.Lines)
	switch {
	case line.Verb == "STARTED":
		return "started: " + *line.Blob
	case line.Code() == codeRejected:
		return "rejected"
	}
	return "failed"
}

func (u jsonLinesUser) nextCompletion(t *testing.T) string {
	t.Helper()
	line := testbed.Wait(t, "a completion", u.Lines)
	if line.Code() == codeDone {
		return line.Tag + " done"
	}
	return line.Tag + " lost"
}

// grpcUser is a client of the gRPC front with one session.
type grpcUser struct{ *clientSession }

func (u grpcUser) place(t *testing.T, n int, class, task string) string {
	t.Helper()
	u.sendOffer(t, newOffer(testbed.RequestID(n), class, task, uint32(clientTimeoutMs(task))))
	message := testbed.Wait(t, task, u.messages)
	switch {
	case message.GetBinding() != nil:
		return "started: " + message.GetBinding().GetDescription()
	case codes.Code(message.GetRejection().GetCode()) == codes.ResourceExhausted:
		return "rejected"
	}
	return "failed"
}

func (u grpcUser) nextCompletion(t *testing.T) string {
	t.Helper()
	ended := testbed.Wait(t, "a completion", u.messages).GetEnded()
	if ended.GetHow() == edgepb.Ended_HOW_DONE {
		return ended.GetOfferId() + " done"
	}
	return ended.GetOfferId() + " lost"
}

// clientTimeoutMs returns the timeout of the request for a task, in milliseconds. A worker never answers the offer
// of a task whose name begins with "silent". The request for such a task has a shorter timeout than an attempt, so
// the number of attempts does not depend on the speed of the computer.
func clientTimeoutMs(task string) int {
	if strings.HasPrefix(task, "silent") {
		return 200
	}
	return 5000
}

// While a worker drains, the end of one of its tasks is reported on the front through which the client submitted
// the task, and no task of either front is offered to that worker.
func TestDrainUnderBothFronts(t *testing.T) {
	server := newTestServer(t, "a")
	client, session := server.connect(t), server.openSession(t, "s")
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-j0", 5000))
	session.sendOffer(t, newOffer(testbed.RequestID(2), "guide-web", "ok-g0", 5000))
	testbed.Wait(t, "a response", client.Lines)
	testbed.Wait(t, "a binding", session.messages)
	draining, other := server.workers[0], testbed.NewWorker(t, "b")
	server.discovery.Add(false, other.ListEntry("up"), draining.ListEntry("draining"))
	server.discovery.WaitPolled(t)
	before := len(draining.Offers)

	for i := range 8 {
		testbed.Send(client, testbed.StartLine(testbed.RequestID(10+i), "guide-web", fmt.Sprintf("ok-j%d", i+1), 5000))
		session.sendOffer(t, newOffer(testbed.RequestID(30+i), "guide-web", fmt.Sprintf("ok-g%d", i+1), 5000))
	}
	draining.ReportCompletion(testbed.RequestID(1), codeLost)
	draining.ReportCompletion(testbed.RequestID(2), codeLost)

	started, ended := 0, 0
	for started+ended < 9 {
		if line := testbed.Wait(t, "a response or completion on JSON lines", client.Lines); line.Verb == "STARTED" {
			started++
		} else if line.Tag == testbed.RequestID(1) && line.Code() == codeLost {
			ended++
		}
	}
	for started+ended < 18 {
		if message := testbed.Wait(t, "a response or completion on gRPC", session.messages); message.GetBinding().GetNode() == "b" {
			started++
		} else if message.GetEnded().GetOfferId() == testbed.RequestID(2) && message.GetEnded().GetHow() == edgepb.Ended_HOW_LOST {
			ended++
		}
	}
	if started != 16 || ended != 2 || len(draining.Offers) != before || len(other.Offers) != 16 {
		t.Errorf("got %d started, %d ended, %d offers to the draining worker and %d to the other; want 16, 2, 0 and 16",
			started, ended, len(draining.Offers)-before, len(other.Offers))
	}
}

// Neither front releases or takes over a task that a client submitted through the other front.
func TestFrontsAreIsolated(t *testing.T) {
	server := newTestServer(t, "a")
	client, session := server.connect(t), server.openSession(t, "s")
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	session.sendOffer(t, newOffer(testbed.RequestID(2), "guide-web", "ok-2", 5000))
	testbed.Wait(t, "a response", client.Lines)
	testbed.Wait(t, "a binding", session.messages)

	testbed.Send(client, cancelLine(testbed.RequestID(2)))
	if line := testbed.Wait(t, "the confirmation of the release", client.Lines); line.Verb != "FINISHED" {
		t.Errorf("a release of the gRPC front's task got %v, want FINISHED", line)
	}
	release := &edgepb.ReleaseRequest{OfferId: testbed.RequestID(1)}
	if _, err := server.grpcClient(t).Release(context.Background(), release); status.Code(err) != codes.NotFound {
		t.Errorf("a release of the JSON lines front's task: got error %v, want code NotFound", err)
	}
	testbed.Send(client, testbed.StartLine(testbed.RequestID(3), "guide-web", "ok-2", 5000))
	if line := testbed.Wait(t, "the response", client.Lines); line.Tag != testbed.RequestID(3) || line.Code() != codeFailed {
		t.Errorf("a submission of the gRPC front's task got %v, want cause %d", line, codeFailed)
	}
	for id, task := range map[string]string{testbed.RequestID(1): "ok-9", testbed.RequestID(4): "ok-1"} {
		session.sendOffer(t, newOffer(id, "guide-web", task, 5000))
		rejection := testbed.Wait(t, "the response", session.messages).GetRejection()
		if codes.Code(rejection.GetCode()) != codes.AlreadyExists {
			t.Errorf("offer %s of the other front's request or task got %v, want code AlreadyExists", id, rejection)
		}
	}
	if running := server.runningTasks(t); running != 2 || server.workers[0].OfferCount("ok-1") != 1 {
		t.Errorf("got %d running tasks and %d offers of ok-1, want 2 and 1", running, server.workers[0].OfferCount("ok-1"))
	}
}

package main

// This file tests that the fronts for JSON lines and for gRPC do the same, and leave alone what came by
// the other.

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
	// place submits the nth request and returns its outcome.
	place(t *testing.T, n int, class, task string) string
	// nextCompletion is the next completion that is reported, and whether the task succeeded.
	nextCompletion(t *testing.T) string
}

// frontRun is what came of the same requests on one front.
type frontRun struct {
	outcomes        []string
	counts          dispatch.Counts
	offersWhenDrain [2]int // to the draining worker and to the other
}

// The same offers, completions and drain on either front give the same outcomes, counts and drain.
func TestSameOnBothFronts(t *testing.T) {
	var jsonLines, grpc frontRun
	t.Run("json lines", func(t *testing.T) {
		jsonLines = playOnFront(t, func(server *testServer) frontUser { return jsonLinesUser{server.connect(t)} })
	})
	t.Run("grpc", func(t *testing.T) {
		grpc = playOnFront(t, func(server *testServer) frontUser { return grpcUser{server.openSession(t, "s")} })
	})
	if t.Failed() {
		return
	}
	if !slices.Equal(jsonLines.outcomes, grpc.outcomes) {
		t.Errorf("outcomes differ:\n%q\n%q", jsonLines.outcomes, grpc.outcomes)
	}
	if jsonLines.counts != grpc.counts {
		t.Errorf("counts differ:\n%+v\n%+v", jsonLines.counts, grpc.counts)
	}
	if jsonLines.offersWhenDrain != grpc.offersWhenDrain || jsonLines.offersWhenDrain != [2]int{0, 10} {
		t.Errorf("offers to the draining worker and to the other: %v and %v", jsonLines.offersWhenDrain, grpc.offersWhenDrain)
	}
}

// playOnFront places tasks of all kinds, lets two complete, and drains their worker.
func playOnFront(t *testing.T, connect func(*testServer) frontUser) (run frontRun) {
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
	// Running tasks complete, each with its own cause.
	for _, completion := range []struct{ n, cause int }{{1, causeDone}, {3, causeLost}} {
		draining.End(testbed.RequestID(completion.n), completion.cause)
		run.outcomes = append(run.outcomes, user.nextCompletion(t))
	}
	// One worker drains and another comes: what is offered from then on goes to the other only.
	server.discovery.Add(false, draining.ListEntry("draining"))
	server.discovery.WaitPolled(t)
	before := len(draining.Starts)
	server.discovery.Add(false, other.ListEntry("up"))
	server.discovery.WaitPolled(t)
	for i := range 10 {
		run.outcomes = append(run.outcomes, user.place(t, 100+i, "guide-web", fmt.Sprintf("ok-drain-%d", i)))
	}
	run.counts = server.counts(t)
	run.offersWhenDrain = [2]int{len(draining.Starts) - before, len(other.Starts)}
	return run
}

// jsonLinesUser is a client on JSON lines.
type jsonLinesUser struct{ *testbed.Client }

func (u jsonLinesUser) place(t *testing.T, n int, class, task string) string {
	t.Helper()
	testbed.Send(u, testbed.StartLine(testbed.RequestID(n), class, task, clientTimeoutMs(task)))
	line := testbed.Wait(t, task, u.Lines)
	switch {
	case line.Verb == "STARTED":
		return "started: " + *line.Blob
	case line.Cause() == causeRejected:
		return "rejected"
	}
	return "failed"
}

func (u jsonLinesUser) nextCompletion(t *testing.T) string {
	t.Helper()
	line := testbed.Wait(t, "a completion", u.Lines)
	if line.Cause() == causeDone {
		return line.Tag + " done"
	}
	return line.Tag + " lost"
}

// grpcUser is a client with a gRPC session.
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

// clientTimeoutMs is the timeout of a task's request, in milliseconds. What no worker answers gets less
// than the scheduler gives a single attempt, so that the number of attempts does not depend on the
// speed of the computer.
func clientTimeoutMs(task string) int {
	if strings.HasPrefix(task, "silent") {
		return 200
	}
	return 5000
}

// Both fronts offer tasks of one program while a worker drains: what ran there ends on the front that it
// came by, and nothing new goes there.
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
	before := len(draining.Starts)

	for i := range 8 {
		testbed.Send(client, testbed.StartLine(testbed.RequestID(10+i), "guide-web", fmt.Sprintf("ok-j%d", i+1), 5000))
		session.sendOffer(t, newOffer(testbed.RequestID(30+i), "guide-web", fmt.Sprintf("ok-g%d", i+1), 5000))
	}
	draining.End(testbed.RequestID(1), causeLost)
	draining.End(testbed.RequestID(2), causeLost)

	started, ended := 0, 0
	for started+ended < 9 {
		if line := testbed.Wait(t, "json lines", client.Lines); line.Verb == "STARTED" {
			started++
		} else if line.Tag == testbed.RequestID(1) && line.Cause() == causeLost {
			ended++
		}
	}
	for started+ended < 18 {
		if message := testbed.Wait(t, "grpc", session.messages); message.GetBinding().GetNode() == "b" {
			started++
		} else if message.GetEnded().GetOfferId() == testbed.RequestID(2) && message.GetEnded().GetHow() == edgepb.Ended_HOW_LOST {
			ended++
		}
	}
	if started != 16 || ended != 2 || len(draining.Starts) != before || len(other.Starts) != 16 {
		t.Errorf("%d started, %d ended, %d offers to the draining worker", started, ended, len(draining.Starts)-before)
	}
}

// Neither front ends or takes over what came by the other.
func TestFrontsAreIsolated(t *testing.T) {
	server := newTestServer(t, "a")
	client, session := server.connect(t), server.openSession(t, "s")
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	session.sendOffer(t, newOffer(testbed.RequestID(2), "guide-web", "ok-2", 5000))
	testbed.Wait(t, "a response", client.Lines)
	testbed.Wait(t, "a binding", session.messages)

	testbed.Send(client, cancelLine(testbed.RequestID(2)))
	if line := testbed.Wait(t, "the confirmation of the release", client.Lines); line.Verb != "FINISHED" {
		t.Errorf("got %v", line)
	}
	release := &edgepb.ReleaseRequest{OfferId: testbed.RequestID(1)}
	if _, err := server.grpcClient(t).Release(context.Background(), release); status.Code(err) != codes.NotFound {
		t.Errorf("a release of the other front's task: %v", err)
	}
	testbed.Send(client, testbed.StartLine(testbed.RequestID(3), "guide-web", "ok-2", 5000))
	if line := testbed.Wait(t, "the response", client.Lines); line.Tag != testbed.RequestID(3) || line.Cause() != causeFailed {
		t.Errorf("a submission of the other front's task got %v", line)
	}
	for id, task := range map[string]string{testbed.RequestID(1): "ok-9", testbed.RequestID(4): "ok-1"} {
		session.sendOffer(t, newOffer(id, "guide-web", task, 5000))
		rejection := testbed.Wait(t, "the response", session.messages).GetRejection()
		if codes.Code(rejection.GetCode()) != codes.AlreadyExists {
			t.Errorf("an offer of the other front's task got %v", rejection)
		}
	}
	if running := server.runningTasks(t); running != 2 || server.workers[0].StartCount("ok-1") != 1 {
		t.Errorf("%d tasks run", running)
	}
}

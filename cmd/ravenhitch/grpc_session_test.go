package main

// This file tests sessions of the gRPC front: streams that end and are resumed, and their limits.

import (
	"errors"
	"fmt"
	"io"
	"net"
	"testing"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ravenhitch/internal/grpcfront/edgepb"
	"ravenhitch/internal/testbed"
)

// A binding that was sent and never read is sent again, and the task starts once.
func TestUnreadBindingIsResent(t *testing.T) {
	server := newTestServer(t, "a")
	first := server.openSession(t, "s")
	first.sendOffer(t, newOffer(testbed.RequestID(1), "archive-cut", "ok-cut", 5000))
	binding := testbed.Wait(t, "the binding", first.messages).GetBinding()
	first.disconnectAndDrain() // the client never acknowledged it
	again := server.openSession(t, "s")
	if got := testbed.Wait(t, "the binding once more", again.messages); got.GetBinding().GetDescription() != binding.GetDescription() {
		t.Errorf("after the resume came %v", got)
	}

	// A repeat of the offer, and a new offer of the same task, get the same binding. One after the other:
	// streams may overtake each other, and the last gets the completion.
	other := server.openSession(t, "another")
	for i, session := range []*clientSession{again, again, other} {
		session.sendOffer(t, newOffer(testbed.RequestID(1+i%2), "archive-cut", "ok-cut", 5000))
		got := testbed.Wait(t, "a repeat's response", session.messages).GetBinding()
		if got.GetDescription() != binding.GetDescription() || got.GetNode() != "a" {
			t.Errorf("repeat %d got %v", i, got)
		}
	}
	server.workers[0].End(testbed.RequestID(1), causeDone)
	if ended := testbed.Wait(t, "the completion", other.messages).GetEnded(); ended.GetHow() != edgepb.Ended_HOW_DONE {
		t.Errorf("the completion is %v", ended)
	}

	// A repeat that comes after the completion starts nothing either.
	other.sendOffer(t, newOffer(testbed.RequestID(1), "archive-cut", "ok-cut", 5000))
	rejection := testbed.Wait(t, "the late repeat's response", other.messages).GetRejection()
	if codes.Code(rejection.GetCode()) != codes.AlreadyExists {
		t.Errorf("the late repeat got %v", rejection)
	}
	if n := server.workers[0].StartCount("ok-cut"); n != 1 {
		t.Errorf("the task was started %d times", n)
	}
}

// An offer stays open while its session has no stream, and the response waits for the next stream.
func TestResponseWhileDisconnected(t *testing.T) {
	server := newTestServer(t, "a")
	first := server.openSession(t, "s")
	first.sendOffer(t, newOffer(testbed.RequestID(1), "guide-web", "silent-x", 600))
	testbed.Wait(t, "the offer", server.workers[0].Starts)
	first.disconnectAndDrain()
	again := server.openSession(t, "s")
	rejection := testbed.Wait(t, "the response", again.messages).GetRejection()
	if codes.Code(rejection.GetCode()) != codes.ResourceExhausted {
		t.Errorf("the response is %v", rejection)
	}
}

// Offers, releases and the end of a session over its stream.
func TestSession(t *testing.T) {
	server := newTestServer(t, "a")
	session := server.openSession(t, "s")
	nextRejection := func(what string) *edgepb.Rejection { return testbed.Wait(t, what, session.messages).GetRejection() }

	session.sendOffer(t, newOffer("nonsense", "guide-web", "ok-0", 0))
	if rejection := nextRejection("an invalid offer's response"); codes.Code(rejection.GetCode()) != codes.InvalidArgument {
		t.Errorf("an invalid offer got %v", rejection)
	}
	session.sendOffer(t, newOffer(testbed.RequestID(1), "guide-web", "full-1", 0))
	if rejection := nextRejection("a rejection"); rejection.GetRetryAfterMs() == 0 {
		t.Errorf("a rejection without Retry-After: %v", rejection)
	}
	session.sendOffer(t, newOffer(testbed.RequestID(2), "guide-web", "silent-1", 5000))
	session.sendRelease(t, testbed.RequestID(2))
	if rejection := nextRejection("the cancel's response"); codes.Code(rejection.GetCode()) != codes.Canceled {
		t.Errorf("a cancelled offer got %v", rejection)
	}
	session.sendOffer(t, newOffer(testbed.RequestID(3), "guide-web", "ok-1", 0))
	testbed.Wait(t, "a binding", session.messages)
	session.sendRelease(t, testbed.RequestID(3))
	if ended := testbed.Wait(t, "the completion", session.messages).GetEnded(); ended.GetHow() != edgepb.Ended_HOW_RELEASED {
		t.Errorf("a released task ended with %v", ended)
	}

	session.sendOffer(t, newOffer(testbed.RequestID(4), "guide-web", "ok-2", 0))
	if err := session.CloseSend(); err != nil {
		t.Fatal(err)
	}
	if message := testbed.Wait(t, "the last response", session.messages); message.GetBinding() == nil || message.GetNumber() != 6 {
		t.Errorf("the last response is %v", message)
	}
	for range session.messages {
	}
	if !errors.Is(session.err, io.EOF) {
		t.Errorf("the stream ended with %v", session.err)
	}
}

// A client that connects or opens a stream and sends nothing is disconnected after a while, and a session
// may have so many offers open.
func TestGRPCLimits(t *testing.T) {
	server := newTestServer(t, "a")
	conn, err := net.Dial("tcp", server.grpcAddr)
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, conn)
	stream, err := server.grpcClient(t).Session(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	setReadTimeout(t, conn)
	if _, err := io.Copy(io.Discard, conn); err != nil {
		t.Errorf("the silent connection was left open: %v", err)
	}
	if _, err := stream.Recv(); status.Code(err) != codes.DeadlineExceeded {
		t.Errorf("the silent stream ended with %v", err)
	}
	session := server.openSession(t, "many")
	for i := range 520 {
		session.sendOffer(t, newOffer(testbed.RequestID(i+1), "guide-web", fmt.Sprint("silent-", i), 60_000))
	}
	for range 8 {
		rejection := testbed.Wait(t, "a rejection", session.messages).GetRejection()
		if codes.Code(rejection.GetCode()) != codes.ResourceExhausted || rejection.GetRetryAfterMs() == 0 {
			t.Errorf("got %v", rejection)
		}
	}
}

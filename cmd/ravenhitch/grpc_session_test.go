package main

// This file tests the sessions of the gRPC front: the resumption of a session on a new stream, and the limits.

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

// If the client has not acknowledged a binding, the server sends it again on the next stream of the session.
// The task starts only once.
func TestUnreadBindingIsResent(t *testing.T) {
	server := newTestServer(t, "a")
	first := server.openSession(t, "s")
	first.sendOffer(t, newOffer(testbed.RequestID(1), "archive-cut", "ok-cut", 5000))
	binding := testbed.Wait(t, "the binding", first.messages).GetBinding()
	first.disconnectAndDrain() // the client has not acknowledged the binding
	resumed := server.openSession(t, "s")
	if got := testbed.Wait(t, "the binding again", resumed.messages); got.GetBinding().GetDescription() != binding.GetDescription() {
		t.Errorf("first message of the resumed session: got %v, want the same binding", got)
	}

	// A repeat of the offer and a new offer of the same task get the same binding. The test sends the offers
	// one after the other for two reasons: messages on different streams may arrive in any order, and the
	// completion goes to the session that offered the task last.
	other := server.openSession(t, "another")
	for i, session := range []*clientSession{resumed, resumed, other} {
		session.sendOffer(t, newOffer(testbed.RequestID(1+i%2), "archive-cut", "ok-cut", 5000))
		got := testbed.Wait(t, "the response to a repeat", session.messages).GetBinding()
		if got.GetDescription() != binding.GetDescription() || got.GetNode() != "a" {
			t.Errorf("repeat %d: got %v, want the same binding to worker a", i, got)
		}
	}
	server.workers[0].ReportCompletion(testbed.RequestID(1), codeDone)
	if ended := testbed.Wait(t, "the completion", other.messages).GetEnded(); ended.GetHow() != edgepb.Ended_HOW_DONE {
		t.Errorf("completion: got %v, want HOW_DONE", ended)
	}

	// If the offer is repeated after the completion, the task does not start again either.
	other.sendOffer(t, newOffer(testbed.RequestID(1), "archive-cut", "ok-cut", 5000))
	rejection := testbed.Wait(t, "the response to the late repeat", other.messages).GetRejection()
	if codes.Code(rejection.GetCode()) != codes.AlreadyExists {
		t.Errorf("repeat after the completion: got %v, want code AlreadyExists", rejection)
	}
	if n := server.workers[0].OfferCount("ok-cut"); n != 1 {
		t.Errorf("the task was offered to the worker %d times, want 1", n)
	}
}

// An offer stays open while its session has no stream, and its response is sent on the next stream.
func TestResponseWhileDisconnected(t *testing.T) {
	server := newTestServer(t, "a")
	first := server.openSession(t, "s")
	first.sendOffer(t, newOffer(testbed.RequestID(1), "guide-web", "silent-x", 600))
	testbed.Wait(t, "the offer", server.workers[0].Offers)
	first.disconnectAndDrain()
	resumed := server.openSession(t, "s")
	rejection := testbed.Wait(t, "the response", resumed.messages).GetRejection()
	if codes.Code(rejection.GetCode()) != codes.ResourceExhausted {
		t.Errorf("response: got %v, want code ResourceExhausted", rejection)
	}
}

// A session responds to offers, cancels and releases on its stream. Once the client has closed its side and
// the last response is sent, the stream ends without an error.
func TestSession(t *testing.T) {
	server := newTestServer(t, "a")
	session := server.openSession(t, "s")
	nextRejection := func(what string) *edgepb.Rejection { return testbed.Wait(t, what, session.messages).GetRejection() }

	session.sendOffer(t, newOffer("nonsense", "guide-web", "ok-0", 0))
	if rejection := nextRejection("the response to an invalid offer"); codes.Code(rejection.GetCode()) != codes.InvalidArgument {
		t.Errorf("invalid offer: got %v, want code InvalidArgument", rejection)
	}
	session.sendOffer(t, newOffer(testbed.RequestID(1), "guide-web", "full-1", 0))
	if rejection := nextRejection("a rejection"); rejection.GetRetryAfterMs() == 0 {
		t.Errorf("rejection: got %v, want a Retry-After", rejection)
	}
	session.sendOffer(t, newOffer(testbed.RequestID(2), "guide-web", "silent-1", 5000))
	session.sendRelease(t, testbed.RequestID(2))
	if rejection := nextRejection("the response to the cancel"); codes.Code(rejection.GetCode()) != codes.Canceled {
		t.Errorf("cancelled offer: got %v, want code Canceled", rejection)
	}
	session.sendOffer(t, newOffer(testbed.RequestID(3), "guide-web", "ok-1", 0))
	testbed.Wait(t, "a binding", session.messages)
	session.sendRelease(t, testbed.RequestID(3))
	if ended := testbed.Wait(t, "the completion", session.messages).GetEnded(); ended.GetHow() != edgepb.Ended_HOW_RELEASED {
		t.Errorf("released task: got %v, want HOW_RELEASED", ended)
	}

	session.sendOffer(t, newOffer(testbed.RequestID(4), "guide-web", "ok-2", 0))
	if err := session.CloseSend(); err != nil {
		t.Fatal(err)
	}
	if message := testbed.Wait(t, "the last response", session.messages); message.GetBinding() == nil || message.GetNumber() != 6 {
		t.Errorf("last response: got %v, want a binding with number 6", message)
	}
	for range session.messages {
	}
	if !errors.Is(session.err, io.EOF) {
		t.Errorf("end of the stream: got error %v, want io.EOF", session.err)
	}
}

// The server closes a connection or a stream on which the client sends nothing before the timeout for its first
// message. A session may have at most 512 open offers; the server rejects further offers with a Retry-After.
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
		t.Errorf("silent connection: got error %v, want a close by the server", err)
	}
	if _, err := stream.Recv(); status.Code(err) != codes.DeadlineExceeded {
		t.Errorf("silent stream: got error %v, want DeadlineExceeded", err)
	}
	session := server.openSession(t, "many")
	for i := range 520 {
		session.sendOffer(t, newOffer(testbed.RequestID(i+1), "guide-web", fmt.Sprint("silent-", i), 60_000))
	}
	for range 8 {
		rejection := testbed.Wait(t, "a rejection", session.messages).GetRejection()
		if codes.Code(rejection.GetCode()) != codes.ResourceExhausted || rejection.GetRetryAfterMs() == 0 {
			t.Errorf("offer above the limit: got %v, want code ResourceExhausted and a Retry-After", rejection)
		}
	}
}

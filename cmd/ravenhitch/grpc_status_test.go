package main

// This file tests the status codes of the gRPC front.

import (
	"context"
	"strings"
	"testing"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ravenhitch/internal/grpcfront/edgepb"
	"ravenhitch/internal/testbed"
)

// statusCase is an offer and the status code that it gets.
type statusCase struct {
	name  string
	offer *edgepb.Offer
	want  codes.Code
}

// changed is an offer of a class that may be retried, with one change.
func changed(id int, task string, change func(offer *edgepb.Offer)) *edgepb.Offer {
	offer := newOffer(testbed.RequestID(id), "guide-web", task, 0)
	change(offer)
	return offer
}

var statusCases = []statusCase{
	{"started", newOffer(testbed.RequestID(1), "guide-web", "ok-1", 0), codes.OK},
	{"rejected", newOffer(testbed.RequestID(2), "guide-web", "full-1", 0), codes.ResourceExhausted},
	{"failed", newOffer(testbed.RequestID(3), "archive-cut", "error-1", 0), codes.Unknown},
	{"invalid id", newOffer("12", "guide-web", "ok-2", 0), codes.InvalidArgument},
	{"no task", newOffer(testbed.RequestID(4), "guide-web", "", 0), codes.InvalidArgument},
	{"unknown class", newOffer(testbed.RequestID(5), "nightly", "ok-3", 0), codes.InvalidArgument},
	{"no size", changed(6, "ok-4", func(offer *edgepb.Offer) { offer.Cores, offer.Memory = 0, 0 }), codes.InvalidArgument},
	{"a negative size", changed(7, "ok-5", func(offer *edgepb.Offer) { offer.Cores = -1 }), codes.InvalidArgument},
	{"invalid program", changed(8, "ok-6", func(offer *edgepb.Offer) { offer.Service = "x" }), codes.InvalidArgument},
	{"long description", changed(9, "ok-7", func(offer *edgepb.Offer) { offer.Description = strings.Repeat("x", 9000) }), codes.InvalidArgument},
	{"an endless timeout", changed(60, "ok-60", func(offer *edgepb.Offer) { offer.WaitMs = 1<<32 - 1 }), codes.InvalidArgument},
	{"never fits", changed(10, "ok-8", func(offer *edgepb.Offer) { offer.Cores = 1000 }), codes.ResourceExhausted},
	{"another task's id", newOffer(testbed.RequestID(1), "guide-web", "ok-9", 0), codes.AlreadyExists},
}

// Rejections, failures, invalid offers, deadlines and cancellation are status codes.
func TestStatusCodes(t *testing.T) {
	server := newTestServer(t, "a")
	client, worker := server.grpcClient(t), server.workers[0]
	for _, test := range statusCases {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), testbed.Timeout)
			defer cancel()
			_, err := client.Place(ctx, test.offer)
			if status.Code(err) != test.want {
				t.Fatalf("got %v, expected %v", err, test.want)
			}
			expectDetails(t, err, test.want)
		})
	}
	if n := worker.StartCount("error-1"); n != 1 {
		t.Errorf("a task that must not start twice was offered %d times after an error", n)
	}
	t.Run("deadline", func(t *testing.T) { expectDeadline(t, client, worker) })
	t.Run("cancelled", func(t *testing.T) { expectCancelled(t, client, worker) })
	t.Run("release", func(t *testing.T) { expectRelease(t, client, worker) })
	t.Run("no open", func(t *testing.T) {
		stream, err := client.Session(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if err := stream.Send(&edgepb.ClientMessage{Kind: &edgepb.ClientMessage_Ack{Ack: 1}}); err != nil {
			t.Fatal(err)
		}
		if _, err := stream.Recv(); status.Code(err) != codes.InvalidArgument {
			t.Errorf("got %v", err)
		}
	})
}

// expectDetails checks the details of a status: a rejection says when to retry, an invalid offer what is
// invalid.
func expectDetails(t *testing.T, err error, code codes.Code) {
	t.Helper()
	details := status.Convert(err).Details()
	for _, detail := range details {
		switch detail := detail.(type) {
		case *errdetails.RetryInfo:
			if detail.GetRetryDelay().AsDuration() <= 0 || code != codes.ResourceExhausted {
				t.Errorf("the delay is %v", detail)
			}
		case *errdetails.BadRequest:
			if len(detail.GetFieldViolations()) != 1 || code != codes.InvalidArgument {
				t.Errorf("the violations are %v", detail)
			}
		}
	}
	if n := len(details); n != 1 && (code == codes.InvalidArgument || code == codes.ResourceExhausted) {
		t.Errorf("%d details", n)
	}
}

func expectDeadline(t *testing.T, client edgepb.OrchestratorClient, worker *testbed.Worker) {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, err := client.Place(ctx, newOffer(testbed.RequestID(20), "archive-cut", "silent-1", 0))
	if code := status.Code(err); code != codes.Unknown && code != codes.DeadlineExceeded || time.Since(began) > 5*time.Second {
		t.Errorf("got %v", err)
	}
	waitAbandoned(t, worker, testbed.RequestID(20))
}

func expectCancelled(t *testing.T, client edgepb.OrchestratorClient, worker *testbed.Worker) {
	for len(worker.Starts) > 0 {
		<-worker.Starts
	}
	ctx, cancel := context.WithCancel(context.Background())
	errs := make(chan error, 1)
	go func() {
		_, err := client.Place(ctx, newOffer(testbed.RequestID(21), "archive-cut", "silent-2", 0))
		errs <- err
	}()
	for testbed.Wait(t, "the offer", worker.Starts).Tag != testbed.RequestID(21) {
	}
	cancel()
	if err := testbed.Wait(t, "the call's end", errs); status.Code(err) != codes.Canceled {
		t.Errorf("got %v", err)
	}
	// Nothing came on the connection since the offer: a cancel written there may never arrive, and only
	// the close abandons the attempt for sure.
	for testbed.Wait(t, "the close", worker.LostOffers).Tag != testbed.RequestID(21) {
	}
}

func expectRelease(t *testing.T, client edgepb.OrchestratorClient, worker *testbed.Worker) {
	if _, err := client.Release(context.Background(), &edgepb.ReleaseRequest{OfferId: testbed.RequestID(1)}); err != nil {
		t.Error(err)
	}
	if line := testbed.Wait(t, "the release", worker.Ends); line.Tag != testbed.RequestID(1) {
		t.Errorf("the worker got %v", line)
	}
	if _, err := client.Release(context.Background(), &edgepb.ReleaseRequest{OfferId: testbed.RequestID(99)}); status.Code(err) != codes.NotFound {
		t.Errorf("got %v", err)
	}
}

// waitAbandoned waits for the worker to see an attempt abandoned: by a cancel, or, where nothing came from
// it since the offer, by the close of the connection.
func waitAbandoned(t *testing.T, worker *testbed.Worker, id string) {
	t.Helper()
	timeout := time.After(10 * time.Second)
	for {
		select {
		case line := <-worker.Ends:
			if line.Tag == id && line.Cause() == causeDone {
				return
			}
		case line := <-worker.LostOffers:
			if line.Tag == id {
				return
			}
		case <-timeout:
			t.Fatalf("%s was not abandoned in 10 s", id)
		}
	}
}

package main

// This file tests retry tokens: proofs of a place in line, which any orchestrator of the same keys takes.

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ravenhitch/client"
	"ravenhitch/internal/config"
	"ravenhitch/internal/grpcfront"
	"ravenhitch/internal/grpcfront/edgepb"
	"ravenhitch/internal/testbed"
)

const tokenKeys = "[keys]\nkey 2026-12 000102030405060708090a0b0c0d0e0f\n"

// newServerWithTokenKeys starts a server with retry token keys, and returns where they are stored.
func newServerWithTokenKeys(t *testing.T) (server *testServer, keysPath string) {
	t.Helper()
	keysPath = filepath.Join(t.TempDir(), "tickets.keys")
	if err := os.WriteFile(keysPath, []byte(tokenKeys), 0o600); err != nil {
		t.Fatal(err)
	}
	operators := config.OperatorSettings{GRPCListen: "127.0.0.1:0", RetryTokenKeys: keysPath}
	return startTestServer(t, serverOptions{operators: operators}, "a"), keysPath
}

// tokenCounts are the counts of retry tokens that came.
func (s *testServer) tokenCounts(t *testing.T) (counts grpcfront.TokenCounts) {
	t.Helper()
	s.onLoop(t, func() { counts = s.grpcFront.TokenCounts() })
	return counts
}

// expectTokenCounts checks the counts of retry tokens that came.
func (s *testServer) expectTokenCounts(t *testing.T, want grpcfront.TokenCounts) {
	t.Helper()
	if got := s.tokenCounts(t); got != want {
		t.Errorf("%+v, expected %+v", got, want)
	}
}

// A token that one orchestrator gave proves the place in line at another of the same keys, once, at its
// time; any other token is worth nothing, and the offer is served.
func TestRetryTokens(t *testing.T) {
	here, _ := newServerWithTokenKeys(t)
	there, keysPath := newServerWithTokenKeys(t)
	token, retryAfter := rejectedWithToken(t, here)
	rejectedAt := time.Now()
	n := 1
	bring := func(task string, token []byte) {
		t.Helper()
		n++
		offer := newOffer(testbed.RequestID(n), "guide-web", task, 1000)
		offer.Ticket = token
		if _, err := there.grpcClient(t).Place(t.Context(), offer); status.Code(err) != codes.ResourceExhausted {
			t.Errorf("got %v", err)
		}
	}

	altered := bytes.Clone(token)
	altered[10] ^= 1
	bring("full-1", token) // early
	bring("full-1", altered)
	bring("full-2", token) // another task's
	<-time.After(time.Until(rejectedAt.Add(retryAfter)))
	bring("full-1", token)
	bring("full-1", token) // used
	there.expectTokenCounts(t, grpcfront.TokenCounts{Good: 1, Early: 1, Used: 1, Bad: 2})

	// Keys that can't be used change nothing; new ones hold from then on.
	for _, text := range []string{"[keys]", "[keys]\nkey 2027-01 ffffffffffffffffffffffffffffffff\n"} {
		if err := os.WriteFile(keysPath, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		there.Reload("none")
		bring("full-1", token)
	}
	there.expectTokenCounts(t, grpcfront.TokenCounts{Good: 1, Early: 1, Used: 2, Bad: 3})
}

// rejectedWithToken has a request rejected, and returns the token and when to come again.
func rejectedWithToken(t *testing.T, server *testServer) (token []byte, retryAfter time.Duration) {
	t.Helper()
	_, err := server.grpcClient(t).Place(t.Context(), newOffer(testbed.RequestID(1), "guide-web", "full-1", 1000))
	for _, detail := range status.Convert(err).Details() {
		switch detail := detail.(type) {
		case *edgepb.ReturnTicket:
			token = detail.GetTicket()
		case *errdetails.RetryInfo:
			retryAfter = detail.GetRetryDelay().AsDuration()
		}
	}
	if status.Code(err) != codes.ResourceExhausted || len(token) == 0 || retryAfter <= 0 || retryAfter > 3*time.Second {
		t.Fatalf("got %v with a token of %d bytes, to come back after %s", err, len(token), retryAfter)
	}
	return token, retryAfter
}

// The client package follows the Retry-After of a real orchestrator: rejected at first, it comes back at its
// time, with its token, and is started once there is free capacity.
func TestClientRetriesWithToken(t *testing.T) {
	server, _ := newServerWithTokenKeys(t)
	conn := server.dialGRPC(t)
	b := testbed.NewWorker(t, "b")
	server.discovery.Add(true, server.workers[0].ListEntry("draining"), b.ListEntry("draining"))
	server.discovery.WaitPolled(t)
	ctx, cancel := context.WithTimeout(t.Context(), testbed.Timeout)
	defer cancel()
	type result struct {
		client.Binding
		error
	}
	placed := make(chan result, 1)
	go func() {
		binding, err := client.New(client.Options{AttemptTimeout: 300 * time.Millisecond}, conn).Place(ctx,
			client.Task{Name: "ok-7", Class: "guide-web", Cores: 1, Memory: 2}, nil)
		placed <- result{binding, err}
	}()
	server.waitUntil(t, "a rejection", func() bool { return server.dispatcher.Counts().Rejected > 0 })
	server.discovery.Add(true, b.ListEntry("up"))
	if got := testbed.Wait(t, "the binding", placed); got.error != nil || got.Worker != "b" {
		t.Errorf("got %+v", got)
	}
	if got := server.tokenCounts(t); got.Good != 1 || got.Bad+got.Early+got.Expired+got.Used != 0 {
		t.Errorf("tokens: %+v", got)
	}
	if n := b.StartCount("ok-7"); n != 1 {
		t.Errorf("it was started %d times", n)
	}
}

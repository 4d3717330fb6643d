package main

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"ravenhitch/client"
	"ravenhitch/internal/config"
	"ravenhitch/internal/grpcfront"
	"ravenhitch/internal/grpcfront/edgepb"
	"ravenhitch/internal/testbed"
)

const tokenKeys = "[keys]\nkey 2026-12 000102030405060708090a0b0c0d0e0f\n"

// newServerWithTokenKeys is a program with keys of return tickets.
func newServerWithTokenKeys(t *testing.T, keys string) (*testServer, string) {
	path := filepath.Join(t.TempDir(), "tickets.keys")
	if err := os.WriteFile(path, []byte(keys), 0o600); err != nil {
		t.Fatal(err)
	}
	return newServerWithOperators(t, config.Operators{GRPCListen: "127.0.0.1:0", RetryTokenKeys: path}, "a"), path
}

// A ticket given by one orchestrator proves the place in line at another of the same
// key, once, at its time; any other ticket is worth none, and the offer is served.
func TestRetryTokens(t *testing.T) {
	here, _ := newServerWithTokenKeys(t, tokenKeys)
	there, path := newServerWithTokenKeys(t, tokenKeys)
	first := newOffer(testbed.RequestID(1), "guide-web", "full-1", 1000)
	_, err := here.grpcClient(t).Place(t.Context(), first)
	var ticket []byte
	var wait time.Duration
	for _, d := range status.Convert(err).Details() {
		switch d := d.(type) {
		case *edgepb.ReturnTicket:
			ticket = d.GetTicket()
		case *errdetails.RetryInfo:
			wait = d.GetRetryDelay().AsDuration()
		}
	}
	if status.Code(err) != codes.ResourceExhausted || len(ticket) == 0 || wait <= 0 || wait > 3*time.Second {
		t.Fatalf("got %v with a ticket of %d bytes, to come back after %s", err, len(ticket), wait)
	}
	came := time.Now()
	n := 1
	bring := func(task string, ticket []byte) {
		t.Helper()
		n++
		offer := newOffer(testbed.RequestID(n), "guide-web", task, 1000)
		offer.Ticket = ticket
		if _, err := there.grpcClient(t).Place(t.Context(), offer); status.Code(err) != codes.ResourceExhausted {
			t.Errorf("got %v", err)
		}
	}
	altered := append([]byte{}, ticket...)
	altered[10] ^= 1
	bring("full-1", ticket) // early
	bring("full-1", altered)
	bring("full-2", ticket) // foreign
	<-time.After(time.Until(came.Add(wait)))
	bring("full-1", ticket)
	bring("full-1", ticket) // used
	check := func(want grpcfront.TokenCounts) {
		t.Helper()
		var got grpcfront.TokenCounts
		if there.onLoop(t, func() { got = there.grpcFront.TokenCounts() }); got != want {
			t.Errorf("%+v, expected %+v", got, want)
		}
	}
	check(grpcfront.TokenCounts{Good: 1, Early: 1, Used: 1, Bad: 2})
	// Keys that can't be used change nothing; new ones hold from then on.
	for _, text := range []string{"[keys]", "[keys]\nkey 2027-01 ffffffffffffffffffffffffffffffff\n"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		there.Reload("none")
		bring("full-1", ticket)
	}
	check(grpcfront.TokenCounts{Good: 1, Early: 1, Used: 2, Bad: 3})
}

// The client package follows the advice of a real orchestrator: refused at first, it
// comes back at its time, with its ticket, and is bound once there is room.
func TestClientRetriesWithToken(t *testing.T) {
	server, _ := newServerWithTokenKeys(t, tokenKeys)
	conn, err := grpc.NewClient(server.grpcAddr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	b := testbed.NewWorker(t, "b")
	server.discovery.Add(true, server.workers[0].ListEntry("draining"), b.ListEntry("draining"))
	server.discovery.WaitPolled(t)
	ctx, cancel := context.WithTimeout(t.Context(), testbed.Patience)
	defer cancel()
	type outcome struct {
		client.Binding
		error
	}
	done := make(chan outcome, 1)
	go func() {
		b, err := client.New(client.Options{Wait: 300 * time.Millisecond}, conn).Place(ctx,
			client.Task{Name: "ok-7", Class: "guide-web", Cores: 1, Memory: 2}, nil)
		done <- outcome{b, err}
	}()
	server.waitUntil(t, "a refusal", func() bool { return server.dispatcher.Counts().Rejected > 0 })
	server.discovery.Add(true, b.ListEntry("up"))
	if o := testbed.Wait(t, "the binding", done); o.error != nil || o.Node != "b" {
		t.Errorf("got %+v", o)
	}
	var got grpcfront.TokenCounts
	if server.onLoop(t, func() { got = server.grpcFront.TokenCounts() }); got.Good != 1 || got.Bad+got.Early+got.Expired+got.Used != 0 {
		t.Errorf("tickets: %+v", got)
	}
	if n := b.StartCount("ok-7"); n != 1 {
		t.Errorf("it was started %d times", n)
	}
}

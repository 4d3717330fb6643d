package main

// This file tests that a shutdown serves clients over JSON lines for as long as their connections are open, although
// calls over gRPC have not ended.

import (
	"context"
	"testing"

	"google.golang.org/grpc/codes"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	"ravenhitch/internal/testbed"
)

// A client over gRPC watches the health of the server and does not end its call. The event loop, which reads what clients
// send over JSON lines, must run until the calls over gRPC have ended or are aborted. In the fault that this test guards
// against, it ended before, and their connections stayed open for 0.3 s with nothing to read them.
func TestClientsAreServedWhileGRPCEnds(t *testing.T) {
	server := newTestServer(t, "a")
	watch, err := healthpb.NewHealthClient(server.dialGRPC(t)).Watch(context.Background(), &healthpb.HealthCheckRequest{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := watch.Recv(); err != nil {
		t.Fatal(err)
	}
	client := server.connect(t)
	pingServer(t, client)
	server.Stop()
	for open := true; open; _, open = <-client.Lines {
		testbed.Send(client, pingLine("t"))
	}
	if err := server.waitStopped(t); err != nil {
		t.Error(err)
	}
	if !server.grpcDone {
		t.Error("the event loop ended before the calls over gRPC")
	}
}

// A client watches the health of the server and does not end its call. The server ends it when nothing else is left to do. It
// guards against a shutdown that waits for such a client until shortly before the kill.
func TestShutdownEndsHealthWatch(t *testing.T) {
	server := newTestServer(t, "a")
	watch, err := healthpb.NewHealthClient(server.dialGRPC(t)).Watch(context.Background(), &healthpb.HealthCheckRequest{})
	if err != nil {
		t.Fatal(err)
	}
	server.Stop()
	for err == nil {
		_, err = watch.Recv()
	}
	if message := status.Convert(err).Message(); status.Code(err) != codes.Unavailable || message != "the orchestrator ends; open the session again" {
		t.Errorf("end of the watch: got %v, want that the orchestrator ends", err)
	}
	if err := server.waitStopped(t); err != nil {
		t.Error(err)
	}
}

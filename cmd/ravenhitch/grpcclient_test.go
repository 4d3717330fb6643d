package main

// This file provides the gRPC clients of the tests.

import (
	"context"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"ravenhitch/internal/grpcfront/edgepb"
)

// newOffer returns the offer of a task that requests one core. The timeout is in milliseconds. With 0, the timeout of
// the class applies. Place ignores the timeout of the offer if the call has a deadline.
func newOffer(id, class, task string, timeoutMs uint32) *edgepb.Offer {
	return &edgepb.Offer{OfferId: id, Task: task, Class: class, Cores: 1, Memory: 2, Service: "b4d65521",
		Description: "about " + task, WaitMs: timeoutMs}
}

// dialGRPC returns a connection without TLS to the gRPC front of the server. The connection is closed at the end of the
// test.
func (s *testServer) dialGRPC(t *testing.T) *grpc.ClientConn {
	t.Helper()
	conn, err := grpc.NewClient(s.grpcAddr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, conn)
	return conn
}

// grpcClient returns a gRPC client with a connection of its own.
func (s *testServer) grpcClient(t *testing.T) edgepb.OrchestratorClient {
	t.Helper()
	return edgepb.NewOrchestratorClient(s.dialGRPC(t))
}

// clientSession is one gRPC stream of a named session. A session can continue on another stream.
type clientSession struct {
	edgepb.Orchestrator_SessionClient
	disconnect context.CancelFunc
	messages   chan *edgepb.ServerMessage // closed when the stream ends
	err        error                      // error that ended the stream, valid once messages is closed
}

// openSession opens a stream of the named session. It acknowledges none of the messages of earlier streams.
func (s *testServer) openSession(t *testing.T, name string) *clientSession {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	stream, err := s.grpcClient(t).Session(ctx)
	if err != nil {
		t.Fatal(err)
	}
	session := &clientSession{Orchestrator_SessionClient: stream, disconnect: cancel, messages: make(chan *edgepb.ServerMessage, 1000)}
	session.send(t, &edgepb.ClientMessage{Kind: &edgepb.ClientMessage_Open{Open: &edgepb.Open{Session: name}}})
	go func() {
		defer close(session.messages)
		for {
			message, err := stream.Recv()
			if err != nil {
				session.err = err
				return
			}
			session.messages <- message
		}
	}()
	return session
}

func (s *clientSession) send(t *testing.T, message *edgepb.ClientMessage) {
	t.Helper()
	if err := s.Send(message); err != nil {
		t.Fatal(err)
	}
}

func (s *clientSession) sendOffer(t *testing.T, offer *edgepb.Offer) {
	t.Helper()
	s.send(t, &edgepb.ClientMessage{Kind: &edgepb.ClientMessage_Offer{Offer: offer}})
}

func (s *clientSession) sendRelease(t *testing.T, id string) {
	t.Helper()
	s.send(t, &edgepb.ClientMessage{Kind: &edgepb.ClientMessage_Release{Release: &edgepb.ReleaseRequest{OfferId: id}}})
}

// disconnectAndDrain ends the stream and discards its remaining messages.
func (s *clientSession) disconnectAndDrain() {
	s.disconnect()
	for range s.messages {
	}
}

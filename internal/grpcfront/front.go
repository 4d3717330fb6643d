// Package grpcfront serves clients over gRPC: offers stream in, bindings stream out. It decides nothing
// about tasks.
package grpcfront

// This file owns the gRPC server, and the queue from its goroutines to the event loop. Those goroutines only
// pass on to the loop what came in, and take what is to go out from bounded queues. They must never call
// the dispatcher outside the loop, or make the loop wait.

import (
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/grpcfront/edgepb"
	"ravenhitch/internal/retrytoken"
)

const (
	// MaxConns is how many connections the front serves at most.
	MaxConns = 64
	// maxStreams bounds the calls on one connection.
	maxStreams = 100
	// maxQueuedCalls bounds the calls that wait for the loop.
	maxQueuedCalls = 2048
	// maxHeaders and maxMessage bound what a client sends, in bytes.
	maxHeaders = 16 << 10
	maxMessage = 2 * maxDescription
	// bufferSize is for each connection and direction, in bytes: links are slow, memory is short.
	bufferSize = 8 << 10
)

const (
	// firstMessageTimeout is how long a connection may take to speak HTTP/2, and a stream to open its
	// session.
	firstMessageTimeout = 1500 * time.Millisecond
	// maxIdle is how long a connection without a call stays open.
	maxIdle = 30 * time.Second
	// A connection that was idle for pingInterval is closed unless it answers a ping within pingTimeout.
	pingInterval = 20 * time.Second
	pingTimeout  = 5 * time.Second
	// minClientPingInterval is how often a client may ping.
	minClientPingInterval = 5 * time.Second
	// closeTimeout is how long Close waits for calls to end.
	closeTimeout = 300 * time.Millisecond
)

// Loop is what the front needs of the event loop: a queue for other goroutines, and on the loop itself
// the time and timers.
type Loop interface {
	Post(f func())
	Now() int64
	After(us int64, f func()) *eventloop.Timer
}

// Dispatcher is what the front needs of the dispatcher. It is called on the loop only.
type Dispatcher interface {
	Submit(now int64, client dispatch.Client, submission dispatch.Submission) error
	Cancel(now int64, client dispatch.Client, requestID string) dispatch.CancelResult
	Class(name string) (dispatch.Class, bool)
	IsResumable(requestID string) bool
}

// Front is the gRPC front.
type Front struct {
	edgepb.UnimplementedOrchestratorServer
	loop        Loop
	dispatcher  Dispatcher
	server      *grpc.Server
	health      *health.Server
	queuedCalls atomic.Int64 // that wait for the loop
	keys        atomic.Pointer[retrytoken.Keys]

	// What follows belongs to the loop.
	redeemed       retrytoken.Redeemed
	tokenCounts    TokenCounts
	sessions       map[string]*session // by name
	sessionsOpened uint64              // so far
	closing        bool
}

// Credentials reads a certificate and its key from files. Without either, connections are plain.
func Credentials(cert, key string) (credentials.TransportCredentials, error) {
	if cert == "" && key == "" {
		return insecure.NewCredentials(), nil
	}
	creds, err := credentials.NewServerTLSFromFile(cert, key)
	if err != nil {
		return nil, fmt.Errorf("grpcfront: %w", err)
	}
	return creds, nil
}

// New returns a front that serves nothing yet.
func New(loop Loop, dispatcher Dispatcher, creds credentials.TransportCredentials) *Front {
	f := &Front{loop: loop, dispatcher: dispatcher, sessions: map[string]*session{}, health: health.NewServer()}
	f.server = grpc.NewServer(
		grpc.Creds(creds),
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.MaxHeaderListSize(maxHeaders),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.ConnectionTimeout(firstMessageTimeout),
		grpc.ReadBufferSize(bufferSize),
		grpc.WriteBufferSize(bufferSize),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: maxIdle, Time: pingInterval, Timeout: pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minClientPingInterval, PermitWithoutStream: true}),
	)
	edgepb.RegisterOrchestratorServer(f.server, f)
	healthpb.RegisterHealthServer(f.server, f.health)
	return f
}

// Serve accepts connections until Close.
func (f *Front) Serve(listener net.Listener) error {
	err := f.server.Serve(netutil.LimitListener(listener, MaxConns))
	if err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		return fmt.Errorf("grpcfront: %w", err)
	}
	return nil
}

// SetNotServing sends clients that watch the front's health elsewhere. What they still send is
// served as before.
func (f *Front) SetNotServing() { f.health.Shutdown() }

// Close ends the streams once what they were sent is written, and the server with them. The loop must have
// ended, or the call must come from it.
func (f *Front) Close() {
	f.closing = true
	for _, session := range f.sessions {
		if session.stream != nil {
			session.stream.end(errShutdown)
		}
	}
	stopped := make(chan struct{})
	go func() { // it ends with Stop at the latest
		f.server.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(closeTimeout):
		f.server.Stop()
	}
}

// post runs call on the loop, or returns a status where too many wait there already.
func (f *Front) post(call func()) error {
	if f.queuedCalls.Add(1) > maxQueuedCalls {
		f.queuedCalls.Add(-1)
		return retryStatus(codes.ResourceExhausted, "too many calls wait", defaultRetryAfter)
	}
	f.loop.Post(func() {
		f.queuedCalls.Add(-1)
		call()
	})
	return nil
}

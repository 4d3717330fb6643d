// Package grpcfront speaks gRPC with owners: offers stream in, bindings stream
// out. It owns the gRPC server, the streams and the sessions that outlive them.
// Its goroutines only pass what came in to the loop and take answers back from
// bounded queues. It must never touch the core from outside the loop, decide on
// a task, or make the loop wait.
package grpcfront

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
	"google.golang.org/grpc/status"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/grpcfront/edgepb"
	"ravenhitch/internal/retrytoken"
)

const (
	// Conns is how many connections the front holds at most.
	Conns = 64
	// streamsMost bounds the calls on one connection, queueMost what waits for the
	// loop, outMost what waits for one stream to be read, keptMost what a session
	// keeps for a client that has not acknowledged it.
	streamsMost  = 100
	queueMost    = 2048
	outMost      = 512
	keptMost     = 512
	sessionsMost = 1024
	// openMost bounds the offers of a session that wait for an answer.
	openMost = 512
	// hushMost is how long a connection may take to speak HTTP/2, and a stream to open
	// its session; idleMost how long a connection without a call is kept.
	hushMost = 1500 * time.Millisecond
	idleMost = 30 * time.Second
	headMost = 16 << 10
	// bufferSize is for each connection and direction: links are slow, memory is short.
	bufferSize = 8 << 10
	// sessionLife is how long a session without a stream is kept.
	sessionLife = int64(2 * time.Minute / time.Microsecond)
	nameMost    = 64
	textMost    = 8 << 10
	// minRetryPause is the advice given where the module gave none.
	retryLeast = time.Second
)

// Loop is what the front needs of the loop: a way in from other goroutines, and
// on the loop itself the time and calls to come.
type Loop interface {
	Post(f func())
	Now() int64
	After(us int64, f func()) *eventloop.Timer
}

// Dispatcher is what the front needs of the core; called on the loop only.
type Dispatcher interface {
	Submit(now int64, o dispatch.Client, s dispatch.Submission) error
	Cancel(now int64, o dispatch.Client, tag string) dispatch.CancelResult
	Class(name string) (dispatch.Class, bool)
	IsResumable(tag string) bool
}

// Front is the gRPC front.
type Front struct {
	edgepb.UnimplementedOrchestratorServer
	l        Loop
	c        Dispatcher
	srv      *grpc.Server
	health   *health.Server
	queued   atomic.Int64
	keys     atomic.Pointer[retrytoken.Keys]
	used     retrytoken.Redeemed // the loop's
	tickets  TokenCounts         // the loop's
	sessions map[string]*session // the loop's
	begun    uint64              // sessions so far; the loop's
	closing  bool                // the loop's
}

// Credentials reads a certificate and its key. Without either, connections are
// plain.
func Credentials(cert, key string) (credentials.TransportCredentials, error) {
	if cert == "" && key == "" {
		return insecure.NewCredentials(), nil
	}
	c, err := credentials.NewServerTLSFromFile(cert, key)
	if err != nil {
		return nil, fmt.Errorf("grpcfront: %w", err)
	}
	return c, nil
}

// New returns a front that serves nothing yet.
func New(l Loop, c Dispatcher, creds credentials.TransportCredentials) *Front {
	f := &Front{l: l, c: c, sessions: map[string]*session{}, health: health.NewServer()}
	f.srv = grpc.NewServer(
		grpc.Creds(creds),
		grpc.MaxRecvMsgSize(2*textMost),
		grpc.MaxHeaderListSize(headMost),
		grpc.MaxConcurrentStreams(streamsMost),
		grpc.ConnectionTimeout(hushMost),
		grpc.ReadBufferSize(bufferSize), grpc.WriteBufferSize(bufferSize),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: idleMost, Time: 20 * time.Second, Timeout: 5 * time.Second}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second, PermitWithoutStream: true}),
	)
	edgepb.RegisterOrchestratorServer(f.srv, f)
	healthpb.RegisterHealthServer(f.srv, f.health)
	return f
}

// Serve accepts connections until Close.
func (f *Front) Serve(ln net.Listener) error {
	if err := f.srv.Serve(netutil.LimitListener(ln, Conns)); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		return fmt.Errorf("grpcfront: %w", err)
	}
	return nil
}

// SetNotServing tells clients that ask for the front's health to go elsewhere. What they
// still send is served as before.
func (f *Front) SetNotServing() { f.health.Shutdown() }

// Close ends the streams once what they were sent is written. The loop must have
// ended, or the call must come from it.
func (f *Front) Close() {
	f.closing = true
	for _, s := range f.sessions {
		if s.at != nil {
			s.at.end(status.Error(codes.Unavailable, "the orchestrator ends; open the session again"))
		}
	}
	done := make(chan struct{})
	go func() {
		f.srv.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(300 * time.Millisecond):
		f.srv.Stop()
	}
}

// ask runs g on the loop, unless too much waits there already.
func (f *Front) ask(g func()) error {
	if f.queued.Add(1) > queueMost {
		f.queued.Add(-1)
		return retry(codes.ResourceExhausted, "too many calls wait", retryLeast)
	}
	f.l.Post(func() {
		f.queued.Add(-1)
		g()
	})
	return nil
}

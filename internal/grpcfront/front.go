// Package grpcfront implements the gRPC API of the orchestrator. Clients submit tasks over a stream or by unary
// calls. In this API, a submission is called an offer. The response that names the worker of a started task is called
// a binding. The package rejects offers that are invalid or exceed its limits. All other decisions about tasks are
// the dispatcher's.
package grpcfront

// This file owns the gRPC server and the queue from its goroutines to the event loop. The goroutines validate the
// received messages, pass them to the event loop, and send the messages that the event loop puts into bounded
// queues. Invariant: the dispatcher is called on the event loop only, and the goroutines never block the event loop.

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"sync/atomic"
	"time"

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
	// MaxConns is the maximum number of connections that the front serves at the same time. Further ones are closed.
	MaxConns = 64
	// maxStreams is the maximum number of concurrent calls on one connection.
	maxStreams = 100
	// maxQueuedCalls is the maximum number of queued functions that wait for the event loop: one for each unary call
	// and one for each message that is received on a stream.
	maxQueuedCalls = 2048
	// maxHeaders is the maximum size of the header list of a call, in bytes.
	maxHeaders = 16 << 10
	// maxMessage is the maximum size of one message from a client, in bytes.
	maxMessage = 2 * maxDescription
	// receiveWindow is the number of bytes that a client may send on a stream, and on all streams of a connection, before the
	// server has handled them. It is fixed, as the windows would otherwise grow for a client that sends at full speed.
	receiveWindow = 64 << 10
	// bufferSize is the size of the read buffer and of the write buffer of each connection, in bytes. It is
	// small to save memory. The links to clients are slow and need no larger buffers.
	bufferSize = 8 << 10
)

const (
	// firstMessageTimeout is the maximum time for a new connection to complete its HTTP/2 handshake, and for
	// a new stream to open its session.
	firstMessageTimeout = 1500 * time.Millisecond
	// minClientPingInterval is the minimum time between two pings from a client. The server closes a connection
	// whose client repeatedly pings more often.
	minClientPingInterval = 5 * time.Second
)

// connectionTimes are the times after which the server ends a connection that nothing happens on.
type connectionTimes struct {
	maxIdle      time.Duration // time after which a connection without calls is closed
	pingInterval time.Duration // time without received data after which the server pings the client
	pingTimeout  time.Duration // time after a ping without a reply after which the server closes the connection
}

// defaultConnectionTimes are the times of a Front that New returns.
var defaultConnectionTimes = connectionTimes{maxIdle: 30 * time.Second, pingInterval: 20 * time.Second, pingTimeout: 5 * time.Second}

// Loop is the part of the event loop that the front uses. Post may be called from any goroutine; Now and
// After may be called on the event loop only. Now returns the Unix time in microseconds.
type Loop interface {
	Post(f func())
	Now() int64
	After(us int64, f func()) *eventloop.Timer
}

// Dispatcher is the part of the dispatcher that the front uses. Its methods are called on the event loop only.
type Dispatcher interface {
	Submit(now int64, client dispatch.Client, submission dispatch.Submission) error
	Cancel(now int64, client dispatch.Client, requestID string) dispatch.CancelResult
	Abandon(now int64, client dispatch.Client, requestID string)
	Class(name string) (dispatch.Class, bool)
	IsResumable(requestID string) bool
}

// Front is the gRPC server of an orchestrator. It forwards offers and release requests to the dispatcher, and
// responses to the clients.
type Front struct {
	edgepb.UnimplementedOrchestratorServer
	loop        Loop
	dispatcher  Dispatcher
	server      *grpc.Server
	health      *health.Server
	queuedCalls atomic.Int64 // number of functions queued by post that the event loop has not started
	keys        atomic.Pointer[retrytoken.Keys]
	log         *slog.Logger
	tracer      dispatch.Tracer
	closed      context.Context // ends when the front begins to close
	endWatches  context.CancelFunc

	// The following fields are accessed on the event loop only.
	redeemed       retrytoken.Redeemed
	tokenCounts    TokenCounts
	sessions       map[string]*session // by name
	sessionsOpened uint64              // number of sessions created so far
	streamsOpened  uint64              // number of streams attached to sessions so far
	stored         int                 // number of unacknowledged messages of all sessions
	maxStored      int                 // number of unacknowledged messages from which each session is limited to its share
	closing        bool
}

// Credentials loads a TLS certificate and its key from the files at cert and key. If both paths are empty,
// it returns credentials for connections without TLS.
func Credentials(cert, key string) (credentials.TransportCredentials, error) {
	if cert == "" && key == "" {
		return insecure.NewCredentials(), nil
	}
	creds, err := credentials.NewServerTLSFromFile(cert, key)
	if err != nil {
		return nil, fmt.Errorf("grpcfront: load the TLS certificate and its key: %w", err)
	}
	return creds, nil
}

// New returns a front that uses the given loop, dispatcher and transport credentials. The front serves no
// connections until Serve is called.
func New(loop Loop, dispatcher Dispatcher, creds credentials.TransportCredentials) *Front {
	return newWithTimes(loop, dispatcher, creds, defaultConnectionTimes)
}

func newWithTimes(loop Loop, dispatcher Dispatcher, creds credentials.TransportCredentials, times connectionTimes) *Front {
	f := &Front{loop: loop, dispatcher: dispatcher, sessions: map[string]*session{}, health: health.NewServer(),
		maxStored: math.MaxInt}
	f.SetLog(slog.New(slog.DiscardHandler))
	f.closed, f.endWatches = context.WithCancel(context.Background())
	f.server = grpc.NewServer(
		grpc.Creds(creds),
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.MaxHeaderListSize(maxHeaders),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.ConnectionTimeout(firstMessageTimeout),
		grpc.StreamInterceptor(f.endWatchAtClose),
		grpc.StaticStreamWindowSize(receiveWindow),
		grpc.StaticConnWindowSize(receiveWindow),
		grpc.ReadBufferSize(bufferSize),
		grpc.WriteBufferSize(bufferSize),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: times.maxIdle, Time: times.pingInterval, Timeout: times.pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minClientPingInterval, PermitWithoutStream: true}),
	)
	edgepb.RegisterOrchestratorServer(f.server, f)
	healthpb.RegisterHealthServer(f.server, f.health)
	return f
}

// SetLog sets the log of sessions and of the offers in them. Without it, the front logs nothing. It must be called before
// Serve.
func (f *Front) SetLog(log *slog.Logger) { f.log, f.tracer.Log = log, log }

// SetMaxStored sets the number of unacknowledged messages that all sessions may store together. It bounds the memory that
// clients can take that do not acknowledge. It must be called before Serve.
func (f *Front) SetMaxStored(maxStored int) { f.maxStored = maxStored }

// SetTraceSuffixes limits the trace of offers to request IDs that end in one of the suffixes. If there are no suffixes, all
// request IDs are traced. It must be called before Serve.
func (f *Front) SetTraceSuffixes(suffixes []string) { f.tracer.Suffixes = suffixes }

// Serve serves connections from the listener until Close is called, and then returns nil. It returns an error if
// the listener fails.
func (f *Front) Serve(listener net.Listener) error {
	err := f.server.Serve(&boundedListener{Listener: retryingListener{listener}, maxConns: MaxConns})
	if err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		return fmt.Errorf("grpcfront: %w", err)
	}
	return nil
}

// SetNotServing sets the status of the gRPC health service to NOT_SERVING, so that clients that watch the
// status move to another orchestrator. Calls and messages that still arrive are served as before.
func (f *Front) SetNotServing() { f.health.Shutdown() }

// BeginClose ends each stream after its queued messages are sent, ends the watches of the health service, and stops the server
// once its calls have ended. New calls are refused, and offers that a stream still reads are rejected. Calls that have not ended
// within timeout are aborted. Then it calls stopped on the event loop, which must still run, so that open calls get their
// responses. BeginClose must be called on the event loop. Only its first call has an effect.
func (f *Front) BeginClose(timeout time.Duration, stopped func()) {
	if f.closing {
		return
	}
	f.closing = true
	f.endWatches()
	for _, session := range f.sessions {
		if session.stream != nil {
			session.stream.endGracefully(errShutdown)
		}
	}
	go func() { // the goroutine ends after timeout at the latest, when Stop makes GracefulStop return
		abort := time.AfterFunc(timeout, f.server.Stop)
		defer abort.Stop()
		f.server.GracefulStop()
		f.loop.Post(stopped)
	}()
}

// Close stops the server and aborts all calls that have not ended. BeginClose lets them end.
func (f *Front) Close() { f.server.Stop() }

// post queues call to be run on the event loop. If maxQueuedCalls calls are queued already, it returns a gRPC
// status error instead.
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

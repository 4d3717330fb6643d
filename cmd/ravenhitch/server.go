package main

// This file assembles the parts of one orchestrator and runs its event loop. Decisions on tasks belong to
// package dispatch.

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"sync"

	"ravenhitch/internal/backpressure"
	"ravenhitch/internal/clientfront"
	"ravenhitch/internal/config"
	"ravenhitch/internal/descriptors"
	"ravenhitch/internal/discovery"
	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/grpcfront"
	"ravenhitch/internal/metrics"
	"ravenhitch/internal/peer"
	"ravenhitch/internal/workerpool"
)

// Units of the event loop's clock, which counts microseconds.
const (
	millisecond = 1_000
	second      = 1_000 * millisecond
)

const (
	// reservedDescriptors is the number of file descriptors that the event loop cannot use as sockets. They are
	// left for the standard streams, epoll, eventfd, files that the Go runtime opens, and everything else that is
	// opened outside the event loop, such as the handover files and the connections of the metrics exporters.
	reservedDescriptors = 32
	// defaultSockets is the maximum number of sockets if the configuration sets no limit. The limit includes the
	// reserved descriptors and the connections of the gRPC front.
	defaultSockets = 1024
	// minSocketBudget is the minimum number of sockets that the event loop must be able to open. With fewer, the
	// server does not start.
	minSocketBudget = 16
	// minBufferedBytes is the lowest limit, in bytes, on the output that the server buffers for one connection. A few
	// messages of the maximum size fit into it.
	minBufferedBytes = 64 << 10
	// maxRequestsPerMB is the maximum number of requests and running tasks per MB of the memory limit. Each takes a few KB.
	maxRequestsPerMB = 64
	// The output that the server buffers for all connections together is limited to the memory limit of the process
	// divided by bufferedMemoryDivisor. Each connection gets an equal part of this limit. If the part is smaller than
	// minBufferedBytes, each connection gets minBufferedBytes instead, and the total may exceed the limit.
	bufferedMemoryDivisor = 4
)

// server is one orchestrator with all its parts. Only the goroutine of the event loop may access the fields that
// change after start. The same holds for the parts, except for their methods that any goroutine may call.
type server struct {
	log        *slog.Logger
	loop       *eventloop.Loop
	dispatcher *dispatch.Dispatcher
	pool       *workerpool.Pool
	follower   *discovery.Follower
	peers      *peer.Peers // nil if the operators' file sets no address on which to listen for other orchestrators
	assignment *assignment // assigns workers to this orchestrator; nil if it uses all workers
	exporters  []*metrics.Exporter

	clientFront *clientfront.Front
	clientAddr  string // address that clientFront listens on
	adminAddr   string // address for admin calls, "" if they are off

	grpcFront     *grpcfront.Front // nil if gRPC is off
	grpcDone      bool             // true once grpcFront serves no call any more
	grpcAddr      string           // address that grpcFront listens on, "" if gRPC is off
	grpcServing   sync.WaitGroup   // tracks the goroutine that accepts gRPC connections
	tokenKeysPath string           // path of the file of the retry token keys, "" if there is none

	drainTimeout              int64 // maximum time, in microseconds, for which requests may stay open after Stop
	drainTimeoutWithSuccessor int64 // value that replaces drainTimeout if a successor serves
	shuttingDown              bool
	unlistenedAt              int64          // time at which the server stopped to listen for clients, 0 before that
	inheritedListener         bool           // true if the platform owns the listening socket for clients
	hasSuccessor              bool           // true if a process that started later serves on the inherited socket
	unfinishedParts           unfinishedWork // parts of the unfinished work so far in the shutdown
	// Each value sent to successorChecks makes fileWorker.run check for a successor. The channel is nil if admin
	// calls are off.
	successorChecks chan struct{}
	// stopped is closed when Run returns or start fails. Any goroutine may wait for it.
	stopped chan struct{}
}

// start assembles the server and starts to listen. The caller then calls Run, which serves.
func start(ctx context.Context, cfg config.Config, operators config.OperatorSettings, log *slog.Logger) (*server, error) {
	budget, err := socketBudget(cfg, operators)
	if err != nil {
		return nil, err
	}
	var loop *eventloop.Loop
	err = retryTransient(ctx, log, "start", func() (err error) {
		loop, err = eventloop.New(budget)
		return err
	})
	if err != nil {
		return nil, err
	}
	s := &server{log: log, loop: loop, stopped: make(chan struct{}),
		inheritedListener:         cfg.InheritedFD > 0,
		drainTimeout:              drainTimeout(cfg.Settings, maxDeadlineUs),
		drainTimeoutWithSuccessor: drainTimeout(cfg.Settings, maxDeadlineWithSuccessorUs)}
	if err := s.startParts(ctx, cfg, operators, budget); err != nil {
		close(s.stopped)
		loop.Close()
		return nil, err
	}
	log.Info("serving", "listen", s.clientAddr, "grpc", s.grpcAddr, "mgmt", s.adminAddr, "known", cfg.Initial.Cursor)
	return s, nil
}

// socketBudget returns the number of sockets that the event loop may open.
func socketBudget(cfg config.Config, operators config.OperatorSettings) (int, error) {
	sockets := int(cfg.Sockets)
	if sockets <= 0 {
		sockets = defaultSockets
	}
	budget := sockets - reservedDescriptors
	if operators.GRPCListen != "" {
		budget -= grpcfront.MaxConns + 1
	}
	if budget < minSocketBudget {
		return 0, fmt.Errorf("limits.sockets: a limit of %d sockets is too low", sockets)
	}
	return budget, nil
}

// startParts starts the parts in the order of their dependencies.
func (s *server) startParts(ctx context.Context, cfg config.Config, operators config.OperatorSettings, budget int) error {
	if cfg.MemoryMB > 0 {
		perConnection := int(cfg.MemoryMB<<bytesPerMBShift) / bufferedMemoryDivisor / budget
		s.loop.SetMaxBuffered(max(minBufferedBytes, perConnection))
	}
	if err := s.startDispatcher(cfg, operators); err != nil {
		return err
	}
	s.createClientFront(cfg, operators, budget)
	s.startDiscovery(cfg, operators)
	if err := s.listen(ctx, cfg, operators); err != nil {
		return err
	}
	s.startExporters(cfg, operators)
	return nil
}

// startDispatcher creates the pool of connections to workers, the dispatcher and its backpressure advisor.
func (s *server) startDispatcher(cfg config.Config, operators config.OperatorSettings) (err error) {
	s.pool = workerpool.New(s.loop, cfg.DialTimeoutUs, cfg.Settings.Pings, s.log)
	s.pool.SetSeed(cfg.Seed)
	s.pool.SetTraceSuffixes(operators.Trace)
	s.pool.SetKeepAlive(operators.Workers.Keepalive)
	if s.dispatcher, err = dispatch.New(cfg.Settings, cfg.Seed, s.pool, s.log); err != nil {
		return err
	}
	s.dispatcher.SetTraceSuffixes(operators.Trace)
	if cfg.MemoryMB > 0 {
		s.dispatcher.SetMaxRequests(int(cfg.MemoryMB) * maxRequestsPerMB)
	}
	s.pool.SetDispatcher(s.dispatcher)
	if operators.Backpressure.FixedRetryAfter > 0 {
		s.dispatcher.SetAdvisor(dispatch.FixedRetryAfter(operators.Backpressure.FixedRetryAfter))
		return nil
	}
	settings := dispatch.BackpressureSettings(cfg.Settings)
	settings.MinRetryAfterUs = operators.Backpressure.MinRetryAfter.Microseconds()
	settings.MaxClients = operators.Backpressure.MaxRememberedClients
	s.dispatcher.SetAdvisor(backpressure.New(settings, cfg.Seed))
	return nil
}

// createClientFront creates the front for clients on JSON lines. The front and the pool share one budget of
// descriptors.
func (s *server) createClientFront(cfg config.Config, operators config.OperatorSettings, budget int) {
	s.clientFront = clientfront.NewFront(s.loop, s.dispatcher, budget*3/4, cfg.ConnIdleUs, s.log)
	s.clientFront.SetTraceSuffixes(operators.Trace)
	s.dispatcher.SetEarlierClients(s.clientFront)
	shared := descriptors.New(budget, s.clientFront.MaxConnections(), s.loop.FreeDescriptors, s.clientFront.Connections)
	s.clientFront.ShareDescriptors(shared)
	s.pool.ShareDescriptors(shared)
}

// startDiscovery applies the initial list of workers and polls discovery for later events.
func (s *server) startDiscovery(cfg config.Config, operators config.OperatorSettings) {
	s.follower = discovery.NewFollower(s.loop, s.dispatcher, s.pool, cfg.DiscoveryAddr, cfg.DialTimeoutUs, s.log)
	if operators.Peers.Partition {
		s.assignment = startAssignment(s.loop, s.follower, cfg, operators.Peers)
	}
	s.follower.Apply(cfg.Initial, true)
	s.follower.Start()
}

// listen starts the listeners for operators, clients, other orchestrators and gRPC clients, as configured.
func (s *server) listen(ctx context.Context, cfg config.Config, operators config.OperatorSettings) (err error) {
	if cfg.AdminAddr != "" {
		err = retryTransient(ctx, s.log, "start", func() error { return s.listenAdmin(cfg.AdminAddr, os.TempDir()) })
		if err != nil {
			return fmt.Errorf("admin calls: %w", err)
		}
	}
	err = retryTransient(ctx, s.log, "start", func() (err error) {
		s.clientAddr, err = s.clientFront.Listen(cfg.Listen, cfg.InheritedFD)
		return err
	})
	if err != nil {
		return err
	}
	if operators.Peers.Listen != "" {
		if err = s.startPeers(cfg, operators.Peers); err != nil {
			return err
		}
	}
	if operators.GRPCListen != "" {
		return retryTransient(ctx, s.log, "start", func() error { return s.startGRPC(cfg, operators) })
	}
	return nil
}

// Run serves until the shutdown that Stop begins is complete, and then closes everything that start opened. The
// connections are closed first: on one that is open, a client could still submit a request, which nothing would read.
func (s *server) Run() error {
	err := s.loop.Run(s.turnHandler())
	unfinished := s.unfinishedWork()
	s.clientFront.CloseClients()
	s.pool.Close()
	s.loop.Close()
	close(s.stopped)
	s.closeGRPC()
	s.closeExporters()
	s.log.Info("stopped", "counts", fmt.Sprintf("%+v", s.dispatcher.Counts()),
		"completions", fmt.Sprintf("%+v", s.clientFront.CompletionCounts()), "worker_connections", fmt.Sprintf("%+v", s.pool.Counts()),
		"client_connections", fmt.Sprintf("%+v", s.clientFront.ConnectionCounts()), "unfinished", fmt.Sprintf("%+v", unfinished))
	return err
}

// turnHandler returns the function that the event loop calls once in each turn, after all input is read. The
// function makes the dispatcher decide on its requests and sets a timer to the dispatcher's next deadline.
func (s *server) turnHandler() func(now int64) {
	var timer *eventloop.Timer
	var deadline int64
	return func(now int64) {
		s.dispatcher.ObserveTurn(s.loop.TurnDuration())
		s.pool.DeliverPending()
		s.dispatcher.Turn(now)
		if next := s.dispatcher.NextDeadline(); next != deadline || !timer.Pending() {
			timer.Stop()
			if deadline = next; deadline > 0 {
				timer = s.loop.At(deadline, func() {})
			}
		}
	}
}

package main

// This file joins the parts of one orchestrator and runs its event loop. It must never decide on a
// task: package dispatch does.

import (
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

// The event loop counts time in microseconds.
const (
	millisecond = 1_000
	second      = 1_000 * millisecond
)

const (
	// reservedDescriptors are not sockets of the event loop: standard streams, epoll, eventfd, and what
	// the runtime opens for itself.
	reservedDescriptors = 32
	// defaultSockets is the limit of sockets where the configuration names none.
	defaultSockets = 1024
	// minSocketBudget is the least number of sockets that the event loop can serve with.
	minSocketBudget = 16
	// minBufferedBytes is what any connection may leave unread: some messages of full size.
	minBufferedBytes = 64 << 10
	// bufferedMemoryDivisor gives the share of the memory that all connections together may leave unread.
	bufferedMemoryDivisor = 4
)

// server is one orchestrator, its parts joined. Its fields belong to the event loop, unless said
// otherwise.
type server struct {
	log        *slog.Logger
	loop       *eventloop.Loop
	dispatcher *dispatch.Dispatcher
	pool       *workerpool.Pool
	follower   *discovery.Follower
	peers      *peer.Peers // nil where no other orchestrators are configured
	assignment *assignment // of the workers to orchestrators, nil where this one uses all
	exporters  []*metrics.Exporter

	clientFront *clientfront.Front
	clientAddr  string // where clientFront listens
	adminAddr   string // where admin calls are taken, "" where they are not

	grpcFront     *grpcfront.Front // nil where it is off
	grpcAddr      string           // where grpcFront listens, "" where it is off
	grpcServing   sync.WaitGroup   // the goroutine that accepts gRPC connections
	tokenKeysPath string           // the file of the retry token keys, "" where there is none

	drainTimeout              int64 // how long after Stop open requests are answered, in microseconds
	drainTimeoutWithSuccessor int64 // the same where a successor serves
	shuttingDown              bool
	inheritedListener         bool // the platform owns the listening socket of the clients
	hasSuccessor              bool // a process that started later serves on that socket
	// successorChecks requests a look at the files for a successor; nil where admin calls are off.
	successorChecks chan struct{}
	// stopped is closed when Run ends, or start fails. Any goroutine may wait for it.
	stopped chan struct{}
}

// start joins the parts and begins to listen; Run serves.
func start(cfg config.Config, operators config.OperatorSettings, log *slog.Logger) (*server, error) {
	budget, err := socketBudget(cfg, operators)
	if err != nil {
		return nil, err
	}
	loop, err := eventloop.New(budget)
	if err != nil {
		return nil, err
	}
	s := &server{log: log, loop: loop, stopped: make(chan struct{}),
		inheritedListener:         cfg.InheritedFD > 0,
		drainTimeout:              drainTimeout(cfg.Settings, maxDeadlineUs),
		drainTimeoutWithSuccessor: drainTimeout(cfg.Settings, maxDeadlineWithSuccessorUs)}
	if err := s.startParts(cfg, operators, budget); err != nil {
		close(s.stopped)
		loop.Close()
		return nil, err
	}
	log.Info("serving", "listen", s.clientAddr, "grpc", s.grpcAddr, "mgmt", s.adminAddr, "known", cfg.Initial.Cursor)
	return s, nil
}

// socketBudget is how many sockets the event loop may open.
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
		return 0, fmt.Errorf("a limit of %d sockets is too low", sockets)
	}
	return budget, nil
}

// startParts starts the parts in the order in which they need each other.
func (s *server) startParts(cfg config.Config, operators config.OperatorSettings, budget int) error {
	if cfg.MemoryMB > 0 {
		perConnection := int(cfg.MemoryMB<<bytesPerMBShift) / bufferedMemoryDivisor / budget
		s.loop.SetMaxBuffered(max(minBufferedBytes, perConnection))
	}
	if err := s.startDispatcher(cfg, operators); err != nil {
		return err
	}
	s.createClientFront(cfg, operators, budget)
	s.startDiscovery(cfg, operators)
	if err := s.listen(cfg, operators); err != nil {
		return err
	}
	s.startExporters(cfg, operators)
	return nil
}

// startDispatcher joins the dispatcher with the connections to workers and with backpressure.
func (s *server) startDispatcher(cfg config.Config, operators config.OperatorSettings) (err error) {
	s.pool = workerpool.New(s.loop, cfg.DialTimeoutUs, cfg.Settings.Pings, s.log)
	s.pool.SetTraceSuffixes(operators.Trace)
	s.pool.SetKeepAlive(operators.Workers.Keepalive)
	if s.dispatcher, err = dispatch.New(cfg.Settings, cfg.Seed, s.pool, s.log); err != nil {
		return err
	}
	s.dispatcher.SetTraceSuffixes(operators.Trace)
	s.pool.SetDispatcher(s.dispatcher)
	if operators.Backpressure.FixedRetryAfter > 0 {
		s.dispatcher.SetAdvisor(dispatch.FixedRetryAfter(operators.Backpressure.FixedRetryAfter))
		return nil
	}
	settings := dispatch.BackpressureSettings(cfg.Settings)
	settings.MinRetryAfterUs = operators.Backpressure.MinRetryAfter.Microseconds()
	settings.MaxClients = operators.Backpressure.MaxClients
	s.dispatcher.SetAdvisor(backpressure.New(settings, cfg.Seed))
	return nil
}

// createClientFront creates the front of the clients, which shares the descriptors with the pool.
func (s *server) createClientFront(cfg config.Config, operators config.OperatorSettings, budget int) {
	s.clientFront = clientfront.NewFront(s.loop, s.dispatcher, budget*3/4, cfg.ConnIdleUs, s.log)
	s.clientFront.SetTraceSuffixes(operators.Trace)
	shared := descriptors.New(budget, s.clientFront.MaxConnections(), s.loop.FreeDescriptors, s.clientFront.Connections)
	s.clientFront.ShareDescriptors(shared)
	s.pool.ShareDescriptors(shared)
}

// startDiscovery takes the initial list of workers and follows discovery from there.
func (s *server) startDiscovery(cfg config.Config, operators config.OperatorSettings) {
	s.follower = discovery.NewFollower(s.loop, s.dispatcher, s.pool, cfg.DiscoveryAddr, cfg.DialTimeoutUs, s.log)
	if operators.Peers.Partition {
		s.assignment = startAssignment(s.loop, s.follower, cfg, operators.Peers)
	}
	s.follower.Apply(cfg.Initial, true)
	s.follower.Start()
}

// listen begins to listen: to operators, to clients, to other orchestrators, and to gRPC clients.
func (s *server) listen(cfg config.Config, operators config.OperatorSettings) (err error) {
	if cfg.AdminAddr != "" {
		if err = s.listenAdmin(cfg.AdminAddr, os.TempDir()); err != nil {
			return fmt.Errorf("admin calls: %w", err)
		}
	}
	if s.clientAddr, err = s.clientFront.Listen(cfg.Listen, cfg.InheritedFD); err != nil {
		return err
	}
	if operators.Peers.Listen != "" {
		if err = s.startPeers(cfg, operators.Peers); err != nil {
			return err
		}
	}
	if operators.GRPCListen != "" {
		return s.startGRPC(operators)
	}
	return nil
}

// Run serves until Stop, and gives back what start opened.
func (s *server) Run() error {
	defer s.loop.Close()
	defer close(s.stopped)
	defer s.pool.Close()
	err := s.loop.Run(s.turnHandler())
	s.closeGRPC()
	s.closeExporters()
	s.log.Info("stopped", "counts", fmt.Sprintf("%+v", s.dispatcher.Counts()))
	return err
}

// turnHandler returns what the event loop calls once a turn, after what came in is read: the
// dispatcher decides, and the timer follows its next deadline.
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

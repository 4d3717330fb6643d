package main

// This file joins the parts of one orchestrator. It must never decide on a task.

import (
	"fmt"
	"log/slog"
	"net"
	"os"

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
	"ravenhitch/internal/retrytoken"
	"ravenhitch/internal/workerpool"
)

const (
	// spareSockets are descriptors that are no sockets of the loop: standard
	// streams, epoll, eventfd, and what the runtime opens for itself.
	spareSockets = 32
	// minUnread is what any connection may leave unread: some messages of full size.
	minUnread = 64 << 10
	// socketsDefault holds where the configuration names no limit.
	socketsDefault = 1024
)

// server is one orchestrator, its parts joined.
type server struct {
	log   *slog.Logger
	loop     *eventloop.Loop
	dispatcher     *dispatch.Dispatcher
	pool *workerpool.Pool
	clientAddr  string // of the platform's front
	grpcFront  *grpcfront.Front
	grpcAddr string // of the gRPC front, "" where that is off
	// tokenKeysPath is the file of the keys of return tickets, "" where none are given
	tokenKeysPath string

	clientFront        *clientfront.Front
	follower      *discovery.Follower
	peers        *peer.Peers // nil where no others are known
	assignment   *assignment // of the workers to orchestrators, nil where this one uses all
	exporters    []*metrics.Exporter
	drainTimeout int64 // how long after Stop what is still open is answered
	shuttingDown      bool  // told to end
	inheritedListener    bool  // the platform holds the owners' socket
	hasSuccessor    bool  // a process that goes on serves it already
	// statusOf asks for a look at the files for a successor, nil where nobody keeps files.
	successorChecks chan struct{}
	// drainTimeoutWithSuccessor is how long after Stop what is open is answered where there is a successor.
	drainTimeoutWithSuccessor int64
	adminAddr              string // where operators' staff call, "" where nobody does
	stopped               chan struct{}
}

// start joins the parts and begins to listen; Run serves.
func start(cfg config.Config, edge config.Operators, log *slog.Logger) (p *server, err error) {
	budget, err := socketBudget(cfg, edge)
	if err != nil {
		return nil, err
	}
	p = &server{log: log, stopped: make(chan struct{})}
	if p.loop, err = eventloop.New(budget); err != nil {
		return nil, err
	}
	defer func(l *eventloop.Loop) {
		if err != nil { // p is nil then
			l.Close()
		}
	}(p.loop)
	if cfg.MemoryMB > 0 {
		// What all connections together leave unread fits into a quarter of the memory.
		p.loop.SetMaxBuffered(max(minUnread, int(cfg.MemoryMB<<20)/4/budget))
	}
	p.drainTimeout = drainTimeout(cfg.Settings, maxDeadlineUs)
	p.inheritedListener = cfg.Inherited > 0
	p.drainTimeoutWithSuccessor = drainTimeout(cfg.Settings, maxDeadlineWithSuccessorUs)
	if err = p.startDispatcher(cfg, edge); err != nil {
		return nil, err
	}
	if err = p.startFronts(cfg, edge, budget); err != nil {
		return nil, err
	}
	p.startExporters(cfg, edge)
	log.Info("serving", "listen", p.clientAddr, "grpc", p.grpcAddr, "mgmt", p.adminAddr, "known", cfg.Initial.Cursor)
	return p, nil
}

// socketBudget is how many sockets the loop may hold.
func socketBudget(cfg config.Config, edge config.Operators) (int, error) {
	sockets := int(cfg.Sockets)
	if sockets <= 0 {
		sockets = socketsDefault
	}
	budget := sockets - spareSockets
	if edge.GRPCListen != "" {
		budget -= grpcfront.Conns + 1
	}
	if budget < 16 {
		return 0, fmt.Errorf("a limit of %d sockets is too low", sockets)
	}
	return budget, nil
}

// startDispatcher joins the core with the minions' side and the advisor of refused owners.
func (p *server) startDispatcher(cfg config.Config, edge config.Operators) (err error) {
	p.pool = workerpool.New(p.loop, cfg.DialTimeoutUs, cfg.Settings.Pings, p.log)
	p.pool.SetTraceSuffixes(edge.Trace)
	p.pool.SetKeepAlive(edge.Workers.KeepAlive)
	if p.dispatcher, err = dispatch.New(cfg.Settings, cfg.Seed, p.pool, p.log); err != nil {
		return err
	}
	p.dispatcher.SetTraceSuffixes(edge.Trace)
	p.pool.SetDispatcher(p.dispatcher)
	if edge.Backpressure.Constant > 0 {
		p.dispatcher.SetAdvisor(dispatch.FixedRetryAfter(edge.Backpressure.Constant))
		return nil
	}
	s := dispatch.BackpressureSettings(cfg.Settings)
	s.MinRetryAfterUs, s.Callers = edge.Backpressure.Least.Microseconds(), edge.Backpressure.Callers
	p.dispatcher.SetAdvisor(backpressure.New(s, cfg.Seed))
	return nil
}

// startFronts follows the command channel and begins to listen: to operators, to owners,
// to other orchestrators, and to owners that speak gRPC.
func (p *server) startFronts(cfg config.Config, edge config.Operators, budget int) (err error) {
	p.clientFront = clientfront.NewFront(p.loop, p.dispatcher, budget*3/4, cfg.ConnIdleUs, p.log)
	p.clientFront.SetTraceSuffixes(edge.Trace)
	shared := descriptors.New(budget, p.clientFront.MaxConnections(), p.loop.FreeDescriptors, p.clientFront.Connections)
	p.clientFront.ShareDescriptors(shared)
	p.pool.ShareDescriptors(shared)
	p.follower = discovery.NewFollower(p.loop, p.dispatcher, p.pool, cfg.DiscoveryAddr, cfg.DialTimeoutUs, p.log)
	if edge.Peers.Partition {
		p.assignment = assign(p.loop, p.follower, cfg, edge.Peers)
	}
	p.follower.Apply(cfg.Initial, true)
	p.follower.Start()
	if cfg.AdminAddr != "" {
		if err = p.listenAdmin(cfg.AdminAddr, os.TempDir(), p.log); err != nil {
			return fmt.Errorf("the place of operators' calls: %w", err)
		}
	}
	if p.clientAddr, err = p.clientFront.Listen(cfg.Listen, cfg.Inherited); err != nil {
		return err
	}
	if edge.Peers.Listen != "" {
		if err = p.startPeers(cfg, edge.Peers); err != nil {
			return err
		}
	}
	if edge.GRPCListen != "" {
		return p.startGRPC(edge)
	}
	return nil
}

// startGRPC serves the gRPC front, on goroutines of its own.
func (p *server) startGRPC(edge config.Operators) error {
	creds, err := grpcfront.Credentials(edge.GRPCCert, edge.GRPCKey)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", edge.GRPCListen)
	if err != nil {
		return fmt.Errorf("grpc: %w", err)
	}
	p.grpcAddr = ln.Addr().String()
	p.grpcFront = grpcfront.New(p.loop, p.dispatcher, creds)
	if p.tokenKeysPath = edge.RetryTokenKeys; p.tokenKeysPath != "" {
		keys, err := loadKeys(p.tokenKeysPath)
		if err != nil {
			return err
		}
		p.grpcFront.SetKeys(keys)
	}
	go func() {
		if err := p.grpcFront.Serve(ln); err != nil {
			p.log.Error("gRPC server failed", "err", err)
		}
	}()
	return nil
}

// loadKeys reads the file of the keys of return tickets.
func loadKeys(path string) (*retrytoken.Keys, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("tickets: %w", err)
	}
	return retrytoken.ParseKeys(path, b)
}

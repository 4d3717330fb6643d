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
	l     *eventloop.Loop
	c     *dispatch.Dispatcher
	nodes *workerpool.Pool
	addr  string // of the platform's front
	grpc  *grpcfront.Front
	gaddr string // of the gRPC front, "" where that is off
	// tickets is the file of the keys of return tickets, "" where none are given
	tickets string

	front        *clientfront.Front
	channel      *discovery.Follower
	peers        *peer.Peers // nil where no others are known
	assignment   *assignment // of the workers to orchestrators, nil where this one uses all
	exporters    []*metrics.Exporter
	drainTimeout int64 // how long after Stop what is still open is answered
	leaving      bool  // told to end
	inherited    bool  // the platform holds the owners' socket
	successor    bool  // a process that goes on serves it already
	// look asks for a look at the files for a successor, nil where nobody keeps files.
	look chan struct{}
	// drainTimeoutBeside is how long after Stop what is open is answered where there is a successor.
	drainTimeoutBeside int64
	maddr              string // where operators' staff call, "" where nobody does
	over               chan struct{}
}

// start joins the parts and begins to listen; Run serves.
func start(cfg config.Config, edge config.Operators, log *slog.Logger) (p *server, err error) {
	budget, err := socketBudget(cfg, edge)
	if err != nil {
		return nil, err
	}
	p = &server{log: log, over: make(chan struct{})}
	if p.l, err = eventloop.New(budget); err != nil {
		return nil, err
	}
	defer func(l *eventloop.Loop) {
		if err != nil { // p is nil then
			l.Close()
		}
	}(p.l)
	if cfg.MemoryMB > 0 {
		// What all connections together leave unread fits into a quarter of the memory.
		p.l.SetMaxBuffered(max(minUnread, int(cfg.MemoryMB<<20)/4/budget))
	}
	p.drainTimeout = drainTimeout(cfg.Settings, maxDeadline)
	p.inherited = cfg.Inherited > 0
	p.drainTimeoutBeside = drainTimeout(cfg.Settings, deadlineBeside)
	if err = p.startCore(cfg, edge); err != nil {
		return nil, err
	}
	if err = p.startFronts(cfg, edge, budget); err != nil {
		return nil, err
	}
	p.startExporters(cfg, edge)
	log.Info("serving", "listen", p.addr, "grpc", p.gaddr, "mgmt", p.maddr, "known", cfg.Initial.Cursor)
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

// startCore joins the core with the minions' side and the advisor of refused owners.
func (p *server) startCore(cfg config.Config, edge config.Operators) (err error) {
	p.nodes = workerpool.New(p.l, cfg.DialTimeoutUs, cfg.Settings.Pings, p.log)
	p.nodes.SetTraceSuffixes(edge.Trace)
	p.nodes.SetKeepAlive(edge.Workers.KeepAlive)
	if p.c, err = dispatch.New(cfg.Settings, cfg.Seed, p.nodes, p.log); err != nil {
		return err
	}
	p.c.SetTraceSuffixes(edge.Trace)
	p.nodes.SetDispatcher(p.c)
	if edge.Backpressure.Constant > 0 {
		p.c.SetAdvisor(dispatch.FixedRetryAfter(edge.Backpressure.Constant))
		return nil
	}
	s := dispatch.BackpressureSettings(cfg.Settings)
	s.MinRetryAfterUs, s.Callers = edge.Backpressure.Least.Microseconds(), edge.Backpressure.Callers
	p.c.SetAdvisor(backpressure.New(s, cfg.Seed))
	return nil
}

// startFronts follows the command channel and begins to listen: to operators, to owners,
// to other orchestrators, and to owners that speak gRPC.
func (p *server) startFronts(cfg config.Config, edge config.Operators, budget int) (err error) {
	p.front = clientfront.NewFront(p.l, p.c, budget*3/4, cfg.ConnIdleUs, p.log)
	p.front.SetTraceSuffixes(edge.Trace)
	shared := descriptors.New(budget, p.front.MaxConnections(), p.l.FreeDescriptors, p.front.Connections)
	p.front.ShareDescriptors(shared)
	p.nodes.ShareDescriptors(shared)
	p.channel = discovery.NewFollower(p.l, p.c, p.nodes, cfg.DiscoveryAddr, cfg.DialTimeoutUs, p.log)
	if edge.Peers.Partition {
		p.assignment = assign(p.l, p.channel, cfg, edge.Peers)
	}
	p.channel.Apply(cfg.Initial, true)
	p.channel.Start()
	if cfg.AdminAddr != "" {
		if err = p.listenAdmin(cfg.AdminAddr, os.TempDir(), p.log); err != nil {
			return fmt.Errorf("the place of operators' calls: %w", err)
		}
	}
	if p.addr, err = p.front.Listen(cfg.Listen, cfg.Inherited); err != nil {
		return err
	}
	if edge.Peers.Listen != "" {
		if err = p.join(cfg, edge.Peers); err != nil {
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
	p.gaddr = ln.Addr().String()
	p.grpc = grpcfront.New(p.l, p.c, creds)
	if p.tickets = edge.RetryTokenKeys; p.tickets != "" {
		keys, err := loadKeys(p.tickets)
		if err != nil {
			return err
		}
		p.grpc.SetKeys(keys)
	}
	go func() {
		if err := p.grpc.Serve(ln); err != nil {
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

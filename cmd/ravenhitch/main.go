// Command ravenhitch is one orchestrator on real sockets. This file owns its
// start and its end: limits, signals and the order in which the parts are joined.
// It must never decide on a task, and never end while a request that was taken
// can still be answered in time.
package main

import (
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"ravenhitch"
	"ravenhitch/internal/config"
	"ravenhitch/internal/core"
	"ravenhitch/internal/grpcfront"
	"ravenhitch/internal/loop"
	"ravenhitch/internal/metrics"
	"ravenhitch/internal/peer"
	"ravenhitch/internal/platform"
	"ravenhitch/internal/storm"
	"ravenhitch/internal/ticket"
)

const (
	// stillComing is how long after SIGTERM requests keep coming.
	stillComing = 800_000
	// The kill comes no sooner after SIGTERM than the longest deadline, counted as
	// maxDeadline where it is longer, and killSlack; what is still open is answered
	// quitEarly before it.
	// Where the platform holds the owners' socket, another process may serve beside this
	// one, and the kill comes no sooner than deadlineBeside and killSlack.
	maxDeadline    = 3_000_000
	deadlineBeside = 5_000_000
	killSlack      = 700_000
	quitEarly      = 300_000
	// quitFlush is how long of that the last answers may take to be read.
	quitFlush = 200_000
	// spareSockets are descriptors that are no sockets of the loop: standard
	// streams, epoll, eventfd, and what the runtime opens for itself.
	spareSockets = 32
	// minUnread is what any connection may leave unread: some messages of full size.
	minUnread = 64 << 10
	// maxLook is how long an end waits for a look at the files, which may be on a slow disk.
	maxLook = 100_000
	// exportersWait is how long the last figures may take at the end.
	exportersWait = 200 * time.Millisecond
	// socketsDefault holds where the configuration names no limit.
	socketsDefault = 1024
)

func main() {
	path := flag.String("conf", "deploy/ravenhitch.conf", "the operators' file")
	flag.Func("edge", "no longer read; see -conf", func(string) error {
		fmt.Fprintln(os.Stderr, "ravenhitch: -edge is no longer read: what it named moved to deploy/ravenhitch.conf, see -conf")
		os.Exit(1)
		return nil
	})
	if len(os.Args) > 1 && !strings.HasPrefix(os.Args[1], "-") {
		os.Exit(command(os.Args[1:], os.Stdout, os.Stderr))
	}
	flag.Parse()
	if err := run(*path); err != nil {
		fmt.Fprintln(os.Stderr, "ravenhitch:", err)
		os.Exit(1)
	}
}

func run(edgePath string) error {
	path := os.Getenv("ROUTER_CONFIG")
	if path == "" {
		return errors.New("ROUTER_CONFIG is not set")
	}
	cfg, err := config.Load(path)
	if err != nil {
		return err
	}
	if err := override(&cfg); err != nil {
		return err
	}
	edge, err := config.LoadEdge(edgePath)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: edge.LogLevel}))
	runtime.GOMAXPROCS(1)
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(cfg.MemoryMB << 20 * 6 / 10)
	}
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	p, err := start(cfg, edge, log.With("name", cfg.Name))
	if err != nil {
		return err
	}
	go func() {
		for s := range signals {
			if s == syscall.SIGHUP {
				p.Reload(path)
			} else {
				p.Stop()
			}
		}
	}()
	return p.Run()
}

// override sets what the environment says in place of the configuration.
func override(cfg *config.Config) (err error) {
	if v := os.Getenv("ROUTER_LISTEN"); v != "" {
		cfg.Listen = v
	}
	if v := os.Getenv("ROUTER_MGMT"); v != "" {
		cfg.Manage = v
	}
	if v := os.Getenv("ROUTER_INHERITED_FD"); v != "" {
		if cfg.Inherited, err = strconv.Atoi(v); err != nil || cfg.Inherited < 3 {
			return fmt.Errorf("ROUTER_INHERITED_FD: expected the number of a descriptor, 3 or more, got %.40q", v)
		}
	}
	if v := os.Getenv("ROUTER_NAME"); v != "" {
		cfg.Name = v
	}
	return nil
}

// program is one orchestrator, its parts joined.
type program struct {
	log   *slog.Logger
	l     *loop.Loop
	c     *core.Core
	nodes *platform.Nodes
	addr  string // of the platform's front
	grpc  *grpcfront.Front
	gaddr string // of the gRPC front, "" where that is off
	// tickets is the file of the keys of return tickets, "" where none are given
	tickets string

	front        *platform.Front
	channel      *platform.Channel
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
func start(cfg config.Config, edge config.Edge, log *slog.Logger) (p *program, err error) {
	budget, err := socketBudget(cfg, edge)
	if err != nil {
		return nil, err
	}
	p = &program{log: log, over: make(chan struct{})}
	if p.l, err = loop.New(budget); err != nil {
		return nil, err
	}
	defer func(l *loop.Loop) {
		if err != nil { // p is nil then
			l.Close()
		}
	}(p.l)
	if cfg.MemoryMB > 0 {
		// What all connections together leave unread fits into a quarter of the memory.
		p.l.Unread(max(minUnread, int(cfg.MemoryMB<<20)/4/budget))
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
	log.Info("serving", "listen", p.addr, "grpc", p.gaddr, "mgmt", p.maddr, "known", cfg.Known.Cursor)
	return p, nil
}

// socketBudget is how many sockets the loop may hold.
func socketBudget(cfg config.Config, edge config.Edge) (int, error) {
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
func (p *program) startCore(cfg config.Config, edge config.Edge) (err error) {
	p.nodes = platform.NewNodes(p.l, cfg.DialTimeoutUs, cfg.Settings.Tests, p.log)
	p.nodes.Trace(edge.Trace)
	p.nodes.KeepAlive(edge.Workers.KeepAlive)
	if p.c, err = core.New(cfg.Settings, cfg.Seed, p.nodes, p.log); err != nil {
		return err
	}
	p.c.Trace(edge.Trace)
	p.nodes.Use(p.c)
	if edge.Storm.Constant > 0 {
		p.c.Advise(core.Constant(edge.Storm.Constant))
		return nil
	}
	s := core.StormSettings(cfg.Settings)
	s.LeastUs, s.Callers = edge.Storm.Least.Microseconds(), edge.Storm.Callers
	p.c.Advise(storm.New(s, cfg.Seed))
	return nil
}

// startFronts follows the command channel and begins to listen: to operators, to owners,
// to other orchestrators, and to owners that speak gRPC.
func (p *program) startFronts(cfg config.Config, edge config.Edge, budget int) (err error) {
	p.front = platform.NewFront(p.l, p.c, budget*3/4, cfg.ConnIdleUs, p.log)
	p.front.Trace(edge.Trace)
	platform.Share(p.front, p.nodes, budget)
	p.channel = platform.NewChannel(p.l, p.c, p.nodes, cfg.Channel, cfg.DialTimeoutUs, p.log)
	if edge.Peers.Partition {
		p.assignment = newAssignment(p.l, p.channel, cfg, edge.Peers)
	}
	p.channel.Apply(cfg.Known, true)
	p.channel.Start()
	if cfg.Manage != "" {
		if err = p.listenAdmin(cfg.Manage, os.TempDir(), p.log); err != nil {
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
func (p *program) startGRPC(edge config.Edge) error {
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
	if p.tickets = edge.GRPCTickets; p.tickets != "" {
		keys, err := loadKeys(p.tickets)
		if err != nil {
			return err
		}
		p.grpc.Keys(keys)
	}
	go func() {
		if err := p.grpc.Serve(ln); err != nil {
			p.log.Error("the gRPC front ended", "err", err)
		}
	}()
	return nil
}

// startExporters sends figures to each receiver that the operators' file names.
func (p *program) startExporters(cfg config.Config, edge config.Edge) {
	if m := edge.Graphite; m.Address != "" {
		p.export("tcp", m, metrics.Graphite{Prefix: m.Prefix, Name: cfg.Name})
	}
	if m := edge.Collectd; m.Address != "" {
		p.export("unix", m, metrics.Collectd{Prefix: m.Prefix, Name: cfg.Name,
			Every: time.Duration(m.EveryMs) * time.Millisecond})
	}
}

// export sends figures to one receiver from now on.
func (p *program) export(network string, m config.Metrics, protocol metrics.Protocol) {
	e := metrics.NewExporter(network, m.Address, protocol, p.log)
	p.exporters = append(p.exporters, e)
	var again func()
	again = func() {
		e.Offer(metrics.Sample{At: time.UnixMicro(p.l.Now()), Figures: p.figures(e)})
		p.l.After(m.EveryMs*1000, again)
	}
	p.l.After(m.EveryMs*1000, again)
}

// figures is what is worth watching of the program.
func (p *program) figures(e *metrics.Exporter) []metrics.Figure {
	c := p.c.Counts()
	counter := func(name string, v int64) metrics.Figure {
		return metrics.Figure{Name: name, Value: float64(v), Counter: true}
	}
	gauge := func(name string, v int) metrics.Figure { return metrics.Figure{Name: name, Value: float64(v)} }
	s := p.c.Storm()
	var t grpcfront.Tickets
	if p.grpc != nil {
		t = p.grpc.Tickets()
	}
	return []metrics.Figure{
		counter("tickets_good", t.Good), counter("tickets_early", t.Early), counter("tickets_expired", t.Expired),
		counter("tickets_used", t.Used), counter("tickets_bad", t.Bad),
		counter("requests", c.Requests), counter("started", c.Started), counter("refused", c.Refused),
		counter("failed", c.Failed), counter("over", c.Over), counter("moved", c.Moved),
		counter("withdrawn", c.Withdrawn), counter("opened", c.Opened), counter("resumed", c.Resumed),
		counter("offers", c.Offers), counter("offers_full", c.Full), counter("offers_timed_out", c.TimedOut),
		counter("offers_not_connected", c.ConnectFailed), counter("offers_reset", c.Reset),
		counter("offers_held_back", c.Guarded), counter("samples_lost", e.Dropped()),
		gauge("open", p.c.Open()), gauge("standing", p.c.Standing()), gauge("owners", p.front.Connections()),
		gauge("sockets_free", p.l.Free()), gauge("storm_state", int(s.State)), gauge("storm_kind", int(s.Kind)),
		{Name: "storm_pace", Value: s.Pace}, {Name: "storm_held", Value: s.Held}, {Name: "storm_booked", Value: s.Booked},
	}
}

// loadKeys reads the file of the keys of return tickets.
func loadKeys(path string) (*ticket.Keys, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("tickets: %w", err)
	}
	return ticket.ParseKeys(path, b)
}

// drainTimeout is how long after SIGTERM requests may stay open.
func drainTimeout(s ravenhitch.Settings, most int64) (us int64) {
	for _, c := range s.Classes {
		us = max(us, c.DeadlineUs)
	}
	return max(stillComing, min(us, most)+killSlack-quitEarly)
}

// Reload takes up the configuration file as it is now: of a running program only
// the command channel's address can change, the rest waits for a restart. The file
// is read and checked as a whole first; one that can't be used changes nothing. It
// may be called from any goroutine.
func (p *program) Reload(path string) {
	if p.grpc != nil && p.tickets != "" {
		if keys, err := loadKeys(p.tickets); err != nil {
			p.log.Error("the new keys of return tickets were not taken; the old ones hold", "err", err)
		} else {
			p.grpc.Keys(keys)
			p.log.Info("keys of return tickets read again")
		}
	}
	p.l.Post(func() {
		cfg, err := config.Load(path)
		if err != nil {
			p.log.Error("the new configuration was not taken; the old one holds", "err", err)
			return
		}
		p.log.Info("configuration read again", "channel", cfg.Channel)
		p.channel.Follow(cfg.Channel)
	})
}

// Stop makes Run end once what was taken is answered. It may be called from any
// goroutine, and more than once.
func (p *program) Stop() {
	p.l.Post(func() {
		if p.inherited && !p.successor {
			// A successor may have begun since the files were last looked at: whoever came
			// meanwhile would be taken here and sent away again.
			select {
			case p.look <- struct{}{}:
				p.l.After(maxLook, p.leave)
				return
			default:
			}
		}
		p.leave()
	})
}

// leave begins the end, once.
func (p *program) leave() {
	if p.leaving {
		return
	}
	p.leaving = true
	if p.grpc != nil {
		p.grpc.Leave()
	}
	if p.peers != nil {
		p.peers.Leave()
	}
	p.log.Info("told to end", "open", p.c.Open(), "standing", p.c.Standing(), "successor", p.successor)
	if p.inherited {
		p.handOver(p.l.Now())
		return
	}
	p.end(p.l.Now())
}

// Run serves until Stop.
func (p *program) Run() error {
	defer p.l.Close()
	defer close(p.over)
	var timer *loop.Timer
	var due int64
	defer p.nodes.Close()
	err := p.l.Run(func(now int64) {
		p.c.Took(p.l.Took())
		p.nodes.Gather()
		p.c.Turn(now)
		if next := p.c.Next(); next != due || !timer.Pending() {
			timer.Stop()
			if due = next; due > 0 {
				timer = p.l.At(due, func() {})
			}
		}
	})
	if p.grpc != nil {
		p.grpc.Close()
	}
	for _, e := range p.exporters {
		e.Close(exportersWait)
	}
	p.log.Info("ended", "counts", fmt.Sprintf("%+v", p.c.Counts()))
	return err
}

// end keeps serving while requests still come, then ends once nothing is open and
// nobody waits to be let in, and answers what is left before the kill comes. Who
// waits in the system's queue may have sent a request, which an end would lose.
func (p *program) end(since int64) {
	switch age := p.l.Now() - since; {
	case age >= p.drainTimeout:
		p.quit(since, p.drainTimeout)
	case age >= stillComing && !p.owes() && !p.l.Queued():
		p.l.Stop()
	default:
		p.l.After(10_000, func() { p.end(since) })
	}
}

// owes reports whether an end now would lose something that is owed: an answer or a part of
// one, a release, a minion's word on one.
func (p *program) owes() bool {
	return p.c.Open() > 0 || p.front.Owes() || p.nodes.Owes()
}

// quit answers what is open at the drain timeout, and ends once the owners have taken that, or
// shortly before the kill.
func (p *program) quit(since, last int64) {
	p.c.Quit(p.l.Now())
	if !p.front.Owes() || p.l.Now()-since >= last+quitFlush {
		p.l.Stop()
		return
	}
	p.l.After(10_000, func() { p.quit(since, last) })
}

// handOver ends a process whose owners' socket the platform holds. Where a successor serves
// it, whoever comes goes there at once, and what is open here is answered. Where none
// does, callers come on as before and would wait in the system's queue for the next
// process, which starts only once this one was killed: so it serves until shortly
// before that, and leaves to the queue only whom it could not answer any more.
func (p *program) handOver(since int64) {
	age, last := p.l.Now()-since, p.drainTimeout
	if p.successor {
		last = p.drainTimeoutBeside
	}
	if p.successor || age >= last-stillComing/2 {
		p.l.Unlisten(p.addr)
	}
	switch {
	case age >= last:
		p.quit(since, last)
	case p.successor && age >= stillComing && !p.owes():
		p.l.Stop()
	default:
		p.l.After(10_000, func() { p.handOver(since) })
	}
}

package main

// This file owns the server that the tests run: an orchestrator in this process, with testbed workers
// and discovery around it. It must never decide what a test expects.

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"ravenhitch/internal/config"
	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/testbed"
)

const (
	defaultTestSockets = 1024
	// smallSocketLimit leaves maxClients connections to clients: 32 descriptors are reserved, and three
	// quarters of the rest are for clients.
	smallSocketLimit = 64
	maxClients       = 24
)

// testServer is a server that runs, and what it talks to.
type testServer struct {
	*server
	discovery *testbed.Discovery
	workers   []*testbed.Worker
	runResult chan error // what Run returned
}

// serverOptions say how a test server differs from the usual one. The zero value is the usual one
// without a gRPC front.
type serverOptions struct {
	settings  string // "": settingsJSON
	operators config.OperatorSettings
	sockets   int64 // 0: defaultTestSockets
	log       *slog.Logger
	// onWorker gets every worker before the server knows of it.
	onWorker func(*testbed.Worker)
	// discoveryAddr returns where the server reaches discovery, which listens at addr.
	discoveryAddr func(addr string) string
}

// newTestServer starts the usual server with a gRPC front and workers of these names.
func newTestServer(t *testing.T, workers ...string) *testServer {
	t.Helper()
	return startTestServer(t, serverOptions{operators: config.OperatorSettings{GRPCListen: "127.0.0.1:0"}}, workers...)
}

// newSmallServer starts a server that serves maxClients clients, and no gRPC.
func newSmallServer(t *testing.T, workers ...string) *testServer {
	t.Helper()
	return startTestServer(t, serverOptions{sockets: smallSocketLimit}, workers...)
}

// startTestServer starts a server with workers of these names. It is stopped at the end of the test.
func startTestServer(t *testing.T, options serverOptions, workers ...string) *testServer {
	t.Helper()
	s := &testServer{discovery: testbed.NewDiscovery(t), runResult: make(chan error, 1)}
	var entries []string
	for _, name := range workers {
		worker := testbed.NewWorker(t, name)
		if options.onWorker != nil {
			options.onWorker(worker)
		}
		s.workers = append(s.workers, worker)
		entries = append(entries, worker.ListEntry("up"))
	}
	s.discovery.Add(true, entries...)
	cfg := options.config(t, s.discovery)
	log := options.log
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	var err error
	if s.server, err = start(cfg, options.operators, log); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		s.runResult <- s.Run()
		close(ended)
	}()
	t.Cleanup(func() {
		s.loop.Post(s.loop.Stop)
		<-ended
	})
	return s
}

// config is the configuration of a server that knows all events of discovery so far.
func (o serverOptions) config(t *testing.T, discovery *testbed.Discovery) config.Config {
	t.Helper()
	settings := o.settings
	if settings == "" {
		settings = settingsJSON
	}
	text := configWith(discovery, settings)
	if o.discoveryAddr != nil {
		addr := discovery.Server.Listener.Addr().String()
		text = strings.Replace(text, addr, o.discoveryAddr(addr), 1)
	}
	cfg, err := config.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Sockets = defaultTestSockets; o.sockets > 0 {
		cfg.Sockets = o.sockets
	}
	return cfg
}

// connect connects a client.
func (s *testServer) connect(t *testing.T) *testbed.Client { return testbed.NewClient(t, s.clientAddr) }

// onLoop runs f on the event loop and waits for it.
func (s *testServer) onLoop(t *testing.T, f func()) {
	t.Helper()
	done := make(chan struct{}, 1)
	s.loop.Post(func() {
		f()
		done <- struct{}{}
	})
	testbed.Wait(t, "the loop", done)
}

// waitUntil runs f on the event loop until it returns true.
func (s *testServer) waitUntil(t *testing.T, what string, f func() bool) {
	t.Helper()
	for limit := time.Now().Add(testbed.Timeout); ; {
		ok := false
		s.onLoop(t, func() { ok = f() })
		if ok {
			return
		}
		if time.Now().After(limit) {
			t.Fatalf("%s: never came", what)
		}
	}
}

// pauseLoop stops the event loop in a turn in which what came in is read and nothing is decided yet.
// The turn ends when resume is called.
func (s *testServer) pauseLoop(t *testing.T) (resume func()) {
	t.Helper()
	paused, resumed := make(chan bool), make(chan bool)
	s.loop.Post(func() {
		paused <- true
		<-resumed
	})
	testbed.Wait(t, "the loop is paused", paused)
	return func() { resumed <- true }
}

// counts are the dispatcher's counts.
func (s *testServer) counts(t *testing.T) (counts dispatch.Counts) {
	t.Helper()
	s.onLoop(t, func() { counts = s.dispatcher.Counts() })
	return counts
}

// runningTasks is the dispatcher's count of running tasks.
func (s *testServer) runningTasks(t *testing.T) (count int) {
	t.Helper()
	s.onLoop(t, func() { count = s.dispatcher.RunningCount() })
	return count
}

// now is the time of the event loop, in microseconds.
func (s *testServer) now(t *testing.T) (us int64) {
	t.Helper()
	s.onLoop(t, func() { us = s.loop.Now() })
	return us
}

// waitIdle waits until all connected clients have been idle for longer than their connections are
// protected from eviction.
func (s *testServer) waitIdle(t *testing.T) {
	t.Helper()
	since := s.now(t)
	s.waitUntil(t, "an idle client", func() bool { return s.loop.Now() > since+1_100*millisecond })
}

// connectWhilePaused connects so many clients while the event loop is paused: all are new to it at once.
func (s *testServer) connectWhilePaused(t *testing.T, count int) (clients []*testbed.Client) {
	t.Helper()
	resume := s.pauseLoop(t)
	for range count {
		clients = append(clients, s.connect(t))
	}
	resume()
	return clients
}

// drainOnlyWorker lets the only worker drain: requests are pending from then on.
func (s *testServer) drainOnlyWorker(t *testing.T) {
	t.Helper()
	s.discovery.Add(false, s.workers[0].ListEntry("draining"))
	s.discovery.WaitPolled(t)
}

// undrainOnlyWorker ends that.
func (s *testServer) undrainOnlyWorker() { s.discovery.Add(false, s.workers[0].ListEntry("up")) }

// moveBehindCutProxy moves the only worker to an address where connections don't come up.
func (s *testServer) moveBehindCutProxy(t *testing.T) *testbed.Proxy {
	t.Helper()
	proxy := testbed.NewProxy(t, s.workers[0])
	proxy.Partition(t)
	s.discovery.Add(false, s.workers[0].ListEntry("up"))
	s.discovery.WaitPolled(t)
	return proxy
}

// waitConnections waits until so many clients are connected.
func (s *testServer) waitConnections(t *testing.T, count int) {
	t.Helper()
	s.waitUntil(t, fmt.Sprintf("%d connected clients", count), func() bool { return s.clientFront.Connections() == count })
}

// waitStopped waits until Run has returned, and returns its error.
func (s *testServer) waitStopped(t *testing.T) error {
	t.Helper()
	return testbed.Wait(t, "the end of the server", s.runResult)
}

package main

// This file fills the descriptors with idle clients while discovery is down, and lets it come
// back: the list is to be read, and clients, tests and workers are to be served.

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"

	"ravenhitch/internal/config"
	"ravenhitch/internal/testbed"
)

// outage is a way in which discovery is away: begin takes it away, and what that returns
// brings it back.
type outage struct {
	name  string
	begin func(t *testing.T, server *relayedServer) (end func())
}

// relayedServer is a program whose discovery is reached by a relay.
type relayedServer struct {
	*testServer
	relay *testbed.Proxy
}

func newRelayedServer(t *testing.T, sockets int64, workers int) *relayedServer {
	server := &relayedServer{testServer: &testServer{discovery: testbed.NewDiscovery(t), runResult: make(chan error, 1)}}
	var members []string
	for i := range workers {
		worker := testbed.NewWorker(t, fmt.Sprintf("w%02d", i))
		server.workers = append(server.workers, worker)
		members = append(members, worker.ListEntry("up"))
	}
	server.discovery.Add(true, members...)
	addr := server.discovery.Srv.Listener.Addr().String()
	server.relay = testbed.NewProxyTo(t, addr)
	cfg, err := config.Parse([]byte(strings.Replace(configJSON(server.discovery), addr, server.relay.Addr(), 1)))
	if err != nil {
		t.Fatal(err)
	}
	cfg.Sockets = sockets
	if server.server, err = start(cfg, config.Operators{}, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		server.runResult <- server.Run()
	}()
	t.Cleanup(func() {
		server.loop.Post(server.loop.Stop)
		<-done
	})
	return server
}

// Idle clients fill the table, and more wait, while discovery is away. The channel still gets
// its connection once that is back, a worker that it names gets one, and so do a test and a
// true request.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	for _, test := range []outage{
		{"it is silent", func(t *testing.T, server *relayedServer) func() {
			server.relay.Cut(t)
			return func() { server.relay.Heal(t) }
		}},
		{"its connections break", func(t *testing.T, server *relayedServer) func() {
			server.discovery.Srv.CloseClientConnections()
			server.relay.Cut(t)
			return func() { server.relay.Heal(t) }
		}},
		{"its connections stay open and silent", func(t *testing.T, server *relayedServer) func() {
			server.relay.Strand()
			return func() {}
		}},
	} {
		for _, workers := range []int{1, 40} {
			t.Run(fmt.Sprintf("%s, %d workers", test.name, workers), func(t *testing.T) {
				t.Parallel()
				server := newRelayedServer(t, 64, workers)
				server.discovery.WaitPolled(t)
				end := test.begin(t, server)
				for i := range 4 * maxClients {
					client := server.connect(t)
					if i%2 == 0 { // half of them say something
						testbed.Send(client, testbed.Line{Verb: "PENDING", Tag: testbed.RequestID(i), Opts: map[string]string{}})
					}
				}
				next := testbed.NewWorker(t, "next")
				server.discovery.Add(false, next.ListEntry("up"))
				began := int64(0)
				server.onLoop(t, func() { began = server.loop.Now() })
				end()
				server.discovery.WaitPolled(t)
				server.onLoop(t, func() { t.Logf("the list was read %d ms after discovery was back", (server.loop.Now()-began)/1000) })
				server.onLoop(t, func() { server.pool.Probe("next") })
				server.waitUntil(t, "a probe", func() bool { return next.PingCount() > 0 })
				client := server.connect(t)
				pingServer(t, client)
				testbed.Send(client, testbed.StartLine(testbed.RequestID(9999), "guide-web", "ok-true", 5000))
				if line := testbed.Wait(t, "the answer", client.Lines); line.Verb != "STARTED" {
					t.Errorf("got %v", line)
				}
				server.onLoop(t, func() { t.Logf("%d descriptors are free, %d clients", server.loop.FreeDescriptors(), server.clientFront.Connections()) })
			})
		}
	}
}

// Where there are more workers than descriptors, those that are wanted are connected in the
// place of idle ones; where a task stands the connection is kept, as its end comes there.
func TestIdleWorkerConnectionsAreEvicted(t *testing.T) {
	const workers, tasks = 60, 6
	server := newRelayedServer(t, 64, workers)
	client := server.connect(t)
	for i := range tasks {
		testbed.Send(client, testbed.StartLine(testbed.RequestID(i+1), "guide-web", fmt.Sprint("ok-", i), 5000))
		if line := testbed.Wait(t, "the answer", client.Lines); line.Verb != "STARTED" {
			t.Fatalf("got %v", line)
		}
	}
	for _, worker := range slices.Concat(server.workers, server.workers) { // one after the other: together they find no room
		if worker.TaskCount() > 0 {
			continue
		}
		before := worker.PingCount()
		server.onLoop(t, func() { server.pool.Probe(worker.Name) })
		server.waitUntil(t, "a probe of "+worker.Name, func() bool { return worker.PingCount() > before })
	}
	for _, worker := range server.workers {
		if _, open := worker.DialCounts(); open == 0 && worker.TaskCount() > 0 {
			t.Fatalf("no connection to %s, where a task stands", worker.Name)
		}
	}
	for i := range tasks {
		for _, worker := range server.workers {
			if worker.HasTask(testbed.RequestID(i + 1)) {
				worker.End(testbed.RequestID(i+1), 16)
			}
		}
		if line := testbed.Wait(t, "the end", client.Lines); line.Tag != testbed.RequestID(i+1) || line.Cause() != 16 {
			t.Errorf("got %v", line)
		}
	}
}

// Where more workers than descriptors are listed, those where tasks stand are connected in
// the place of idle ones, and beyond that with what clients do not use.
func TestWorkersWithRunningTasksAreConnected(t *testing.T) {
	const workers, tasks = 60, 20
	server := newRelayedServer(t, 64, workers)
	server.discovery.WaitPolled(t)
	client := server.connect(t)
	hold := server.workers[workers-tasks:]
	for i, worker := range hold {
		testbed.Send(client, adoptedLine(testbed.RequestID(i+1), worker.Name))
	}
	for _, worker := range hold {
		server.waitUntil(t, "a connection to "+worker.Name, func() bool {
			_, open := worker.DialCounts()
			return open > 0
		})
	}
	ended := map[string]bool{}
	for i, worker := range hold {
		worker.End(testbed.RequestID(i+1), 16)
	}
	for range hold {
		if line := testbed.Wait(t, "an end", client.Lines); line.Cause() == 16 {
			ended[line.Tag] = true
		}
	}
	if len(ended) != tasks {
		t.Errorf("%d ends of %d were told", len(ended), tasks)
	}
	other := server.connect(t)
	pingServer(t, other)
	server.onLoop(t, func() {
		if free := server.loop.FreeDescriptors(); free < 4 {
			t.Errorf("%d descriptors are left free, want those of the command channel and operators", free)
		}
	})
}

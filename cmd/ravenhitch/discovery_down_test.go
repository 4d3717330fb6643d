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
	begin func(t *testing.T, w *relayedServer) (end func())
}

// relayedServer is a program whose discovery is reached by a relay.
type relayedServer struct {
	*testServer
	relay *testbed.Proxy
}

func newRelayedServer(t *testing.T, sockets int64, workers int) *relayedServer {
	d := &relayedServer{testServer: &testServer{discovery: testbed.NewDiscovery(t), runResult: make(chan error, 1)}}
	var members []string
	for i := range workers {
		m := testbed.NewWorker(t, fmt.Sprintf("w%02d", i))
		d.workers = append(d.workers, m)
		members = append(members, m.ListEntry("up"))
	}
	d.discovery.Add(true, members...)
	addr := d.discovery.Srv.Listener.Addr().String()
	d.relay = testbed.NewProxyTo(t, addr)
	cfg, err := config.Parse([]byte(strings.Replace(configJSON(d.discovery), addr, d.relay.Addr(), 1)))
	if err != nil {
		t.Fatal(err)
	}
	cfg.Sockets = sockets
	if d.server, err = start(cfg, config.Operators{}, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.runResult <- d.Run()
	}()
	t.Cleanup(func() {
		d.loop.Post(d.loop.Stop)
		<-done
	})
	return d
}

// Idle clients fill the table, and more wait, while discovery is away. The channel still gets
// its connection once that is back, a worker that it names gets one, and so do a test and a
// true request.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	for _, c := range []outage{
		{"it is silent", func(t *testing.T, w *relayedServer) func() {
			w.relay.Cut(t)
			return func() { w.relay.Heal(t) }
		}},
		{"its connections break", func(t *testing.T, w *relayedServer) func() {
			w.discovery.Srv.CloseClientConnections()
			w.relay.Cut(t)
			return func() { w.relay.Heal(t) }
		}},
		{"its connections stay open and silent", func(t *testing.T, w *relayedServer) func() {
			w.relay.Strand()
			return func() {}
		}},
	} {
		for _, workers := range []int{1, 40} {
			t.Run(fmt.Sprintf("%s, %d workers", c.name, workers), func(t *testing.T) {
				t.Parallel()
				w := newRelayedServer(t, 64, workers)
				w.discovery.WaitPolled(t)
				end := c.begin(t, w)
				for i := range 4 * maxClients {
					o := w.connect(t)
					if i%2 == 0 { // half of them say something
						testbed.Send(o, testbed.Line{Verb: "PENDING", Tag: testbed.RequestID(i), Opts: map[string]string{}})
					}
				}
				next := testbed.NewWorker(t, "next")
				w.discovery.Add(false, next.ListEntry("up"))
				began := int64(0)
				w.onLoop(t, func() { began = w.loop.Now() })
				end()
				w.discovery.WaitPolled(t)
				w.onLoop(t, func() { t.Logf("the list was read %d ms after discovery was back", (w.loop.Now()-began)/1000) })
				w.onLoop(t, func() { w.pool.Probe("next") })
				w.waitUntil(t, "a probe", func() bool { return next.PingCount() > 0 })
				o := w.connect(t)
				pingServer(t, o)
				testbed.Send(o, testbed.StartLine(testbed.RequestID(9999), "guide-web", "ok-true", 5000))
				if l := testbed.Wait(t, "the answer", o.Lines); l.Verb != "STARTED" {
					t.Errorf("got %v", l)
				}
				w.onLoop(t, func() { t.Logf("%d descriptors are free, %d clients", w.loop.FreeDescriptors(), w.clientFront.Connections()) })
			})
		}
	}
}

// Where there are more workers than descriptors, those that are wanted are connected in the
// place of idle ones; where a task stands the connection is kept, as its end comes there.
func TestIdleWorkerConnectionsAreEvicted(t *testing.T) {
	const workers, tasks = 60, 6
	w := newRelayedServer(t, 64, workers)
	o := w.connect(t)
	for i := range tasks {
		testbed.Send(o, testbed.StartLine(testbed.RequestID(i+1), "guide-web", fmt.Sprint("ok-", i), 5000))
		if l := testbed.Wait(t, "the answer", o.Lines); l.Verb != "STARTED" {
			t.Fatalf("got %v", l)
		}
	}
	for _, m := range slices.Concat(w.workers, w.workers) { // one after the other: together they find no room
		if m.TaskCount() > 0 {
			continue
		}
		before := m.PingCount()
		w.onLoop(t, func() { w.pool.Probe(m.Name) })
		w.waitUntil(t, "a probe of "+m.Name, func() bool { return m.PingCount() > before })
	}
	for _, m := range w.workers {
		if _, open := m.DialCounts(); open == 0 && m.TaskCount() > 0 {
			t.Fatalf("no connection to %s, where a task stands", m.Name)
		}
	}
	for i := range tasks {
		for _, m := range w.workers {
			if m.HasTask(testbed.RequestID(i + 1)) {
				m.End(testbed.RequestID(i+1), 16)
			}
		}
		if l := testbed.Wait(t, "the end", o.Lines); l.Tag != testbed.RequestID(i+1) || l.Cause() != 16 {
			t.Errorf("got %v", l)
		}
	}
}

// Where more workers than descriptors are listed, those where tasks stand are connected in
// the place of idle ones, and beyond that with what clients do not use.
func TestWorkersWithRunningTasksAreConnected(t *testing.T) {
	const workers, tasks = 60, 20
	w := newRelayedServer(t, 64, workers)
	w.discovery.WaitPolled(t)
	o := w.connect(t)
	hold := w.workers[workers-tasks:]
	for i, m := range hold {
		testbed.Send(o, adoptedLine(testbed.RequestID(i+1), m.Name))
	}
	for _, m := range hold {
		w.waitUntil(t, "a connection to "+m.Name, func() bool {
			_, open := m.DialCounts()
			return open > 0
		})
	}
	ended := map[string]bool{}
	for i, m := range hold {
		m.End(testbed.RequestID(i+1), 16)
	}
	for range hold {
		if l := testbed.Wait(t, "an end", o.Lines); l.Cause() == 16 {
			ended[l.Tag] = true
		}
	}
	if len(ended) != tasks {
		t.Errorf("%d ends of %d were told", len(ended), tasks)
	}
	other := w.connect(t)
	pingServer(t, other)
	w.onLoop(t, func() {
		if free := w.loop.FreeDescriptors(); free < 4 {
			t.Errorf("%d descriptors are left free, want those of the command channel and operators", free)
		}
	})
}

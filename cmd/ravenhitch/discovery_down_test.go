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
	begin func(t *testing.T, w *downWorld) (end func())
}

// downWorld is a program whose discovery is reached by a relay.
type downWorld struct {
	*world
	relay *testbed.Proxy
}

func newDownWorld(t *testing.T, sockets int64, workers int) *downWorld {
	d := &downWorld{world: &world{feed: testbed.NewDiscovery(t), over: make(chan error, 1)}}
	var members []string
	for i := range workers {
		m := testbed.NewWorker(t, fmt.Sprintf("w%02d", i))
		d.minions = append(d.minions, m)
		members = append(members, m.ListEntry("up"))
	}
	d.feed.Add(true, members...)
	addr := d.feed.Srv.Listener.Addr().String()
	d.relay = testbed.NewProxyTo(t, addr)
	cfg, err := config.Parse([]byte(strings.Replace(configText(d.feed), addr, d.relay.Addr(), 1)))
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
		d.over <- d.Run()
	}()
	t.Cleanup(func() {
		d.l.Post(d.l.Stop)
		<-done
	})
	return d
}

// Idle clients fill the table, and more wait, while discovery is away. The channel still gets
// its connection once that is back, a worker that it names gets one, and so do a test and a
// true request.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	for _, c := range []outage{
		{"it is silent", func(t *testing.T, w *downWorld) func() {
			w.relay.Cut(t)
			return func() { w.relay.Heal(t) }
		}},
		{"its connections break", func(t *testing.T, w *downWorld) func() {
			w.feed.Srv.CloseClientConnections()
			w.relay.Cut(t)
			return func() { w.relay.Heal(t) }
		}},
		{"its connections stay open and silent", func(t *testing.T, w *downWorld) func() {
			w.relay.Strand()
			return func() {}
		}},
	} {
		for _, workers := range []int{1, 40} {
			t.Run(fmt.Sprintf("%s, %d workers", c.name, workers), func(t *testing.T) {
				t.Parallel()
				w := newDownWorld(t, 64, workers)
				w.feed.WaitPolled(t)
				end := c.begin(t, w)
				for i := range 4 * tableSize {
					o := w.owner(t)
					if i%2 == 0 { // half of them say something
						testbed.Send(o, testbed.Line{Verb: "PENDING", Tag: testbed.RequestID(i), Opts: map[string]string{}})
					}
				}
				next := testbed.NewWorker(t, "next")
				w.feed.Add(false, next.ListEntry("up"))
				began := int64(0)
				w.on(t, func() { began = w.l.Now() })
				end()
				w.feed.WaitPolled(t)
				w.on(t, func() { t.Logf("the list was read %d ms after discovery was back", (w.l.Now()-began)/1000) })
				w.on(t, func() { w.nodes.Probe("next") })
				w.until(t, "a probe", func() bool { return next.PingCount() > 0 })
				o := w.owner(t)
				asked(t, o)
				testbed.Send(o, testbed.StartLine(testbed.RequestID(9999), "guide-web", "ok-true", 5000))
				if l := testbed.Wait(t, "the answer", o.Lines); l.Verb != "STARTED" {
					t.Errorf("got %v", l)
				}
				w.on(t, func() { t.Logf("%d descriptors are free, %d clients", w.l.FreeDescriptors(), w.front.Connections()) })
			})
		}
	}
}

// Where there are more workers than descriptors, those that are wanted are connected in the
// place of idle ones; where a task stands the connection is kept, as its end comes there.
func TestIdleWorkersMakeRoom(t *testing.T) {
	const workers, tasks = 60, 6
	w := newDownWorld(t, 64, workers)
	o := w.owner(t)
	for i := range tasks {
		testbed.Send(o, testbed.StartLine(testbed.RequestID(i+1), "guide-web", fmt.Sprint("ok-", i), 5000))
		if l := testbed.Wait(t, "the answer", o.Lines); l.Verb != "STARTED" {
			t.Fatalf("got %v", l)
		}
	}
	for _, m := range slices.Concat(w.minions, w.minions) { // one after the other: together they find no room
		if m.TaskCount() > 0 {
			continue
		}
		before := m.PingCount()
		w.on(t, func() { w.nodes.Probe(m.Name) })
		w.until(t, "a probe of "+m.Name, func() bool { return m.PingCount() > before })
	}
	for _, m := range w.minions {
		if _, open := m.DialCounts(); open == 0 && m.TaskCount() > 0 {
			t.Fatalf("no connection to %s, where a task stands", m.Name)
		}
	}
	for i := range tasks {
		for _, m := range w.minions {
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
func TestTasksStandWhereConnectionsAre(t *testing.T) {
	const workers, tasks = 60, 20
	w := newDownWorld(t, 64, workers)
	w.feed.WaitPolled(t)
	o := w.owner(t)
	hold := w.minions[workers-tasks:]
	for i, m := range hold {
		testbed.Send(o, running(testbed.RequestID(i+1), m.Name))
	}
	for _, m := range hold {
		w.until(t, "a connection to "+m.Name, func() bool {
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
	other := w.owner(t)
	asked(t, other)
	w.on(t, func() {
		if free := w.l.FreeDescriptors(); free < 4 {
			t.Errorf("%d descriptors are left free, want those of the command channel and operators", free)
		}
	})
}

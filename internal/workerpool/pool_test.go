package workerpool

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
	"ravenhitch/placement"
)

// newNodes returns links on a loop of their own, and the core that they serve.
func newNodes(t *testing.T) (*eventloop.Loop, *Pool, *dispatch.Dispatcher) {
	t.Helper()
	l, err := eventloop.New(10)
	if err != nil {
		t.Fatal(err)
	}
	n := New(l, 1_000_000, true, slog.New(slog.DiscardHandler))
	c, err := dispatch.New(placement.Settings{FleetSize: 1, CoresOvercommit: 1, MemoryOvercommit: 1,
		Classes: []placement.Class{{Name: "cut", Effect: placement.Unsafe, Kind: -1}},
		Kinds:   []placement.Kind{{Name: "std", Cores: 1, Memory: 1}}}, 1, n, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	n.SetDispatcher(c)
	return l, n, c
}

// An offer on a connection that breaks before it left goes out on the next one,
// once: it never ran, and the minion is not to blame.
func TestOfferOnBrokenConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	l, n, c := newNodes(t)
	n.UpdateWorker("a", ln.Addr().String(), true)
	s := dispatch.Submission{RequestID: "9b1f03aa5c7e2d41", Class: "cut", Key: "k", TimeoutUs: 5_000_000, Cores: 1, Memory: 1}
	if err := c.Submit(l.Now(), nil, s); err != nil {
		t.Fatal(err)
	}
	n.Offer("a", dispatch.Offer{RequestID: s.RequestID, Class: s.Class, Key: s.Key, TimeoutUs: s.TimeoutUs})
	nc := n.links["a"].conns[0]
	nc.c.Close()
	nc.Closed(nc.c, unix.ECONNRESET)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := l.Run(func(int64) { n.DeliverPending() }); err != nil {
			t.Error(err)
		}
		l.Close()
	}()
	got := ""
	for range 2 {
		c, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		text, _ := bufio.NewReader(c).ReadString('\n')
		got += text
		defer c.Close()
	}
	if strings.Count(got, `"verb":"START"`) != 1 {
		t.Errorf("the minion got %q", got)
	}
	l.Post(l.Stop)
	<-done
}

// An offer whose connection comes up late does not leave where it must not any more: its
// node drains past the limit, or nodes no longer know a repeat of what may have started.
func TestOfferOnLateConnection(t *testing.T) {
	const tag = "9b1f03aa5c7e2d41"
	for _, c := range []struct {
		name string
		late func(now int64, c *dispatch.Dispatcher, n *Pool)
		sent bool
	}{
		{"nothing against it", func(int64, *dispatch.Dispatcher, *Pool) {}, true},
		{"its owner left", func(_ int64, _ *dispatch.Dispatcher, n *Pool) { n.CancelAttempt("a", tag, false) }, false},
		{"its node drains", func(now int64, c *dispatch.Dispatcher, _ *Pool) {
			c.UpdateWorkers(now, placement.WorkerList{Entries: []placement.Entry{{Worker: "a", State: placement.Draining}}})
		}, false},
		{"its node left the list", func(now int64, c *dispatch.Dispatcher, _ *Pool) {
			c.UpdateWorkers(now, placement.WorkerList{Kind: placement.ListFull})
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			l, n, owed := newNodes(t)
			owed.UpdateWorkers(l.Now(), placement.WorkerList{Kind: placement.ListFull, Entries: []placement.Entry{{Worker: "a", Kind: "std"}}})
			n.UpdateWorker("a", ln.Addr().String(), true)
			s := dispatch.Submission{RequestID: tag, Class: "cut", Key: "k", TimeoutUs: 5_000_000, Cores: 1, Memory: 1}
			if err := owed.Submit(l.Now(), nil, s); err != nil {
				t.Fatal(err)
			}
			n.Offer("a", dispatch.Offer{RequestID: s.RequestID, Class: s.Class, Key: s.Key, TimeoutUs: s.TimeoutUs})
			nc := n.links["a"].conns[0]
			c.late(l.Now(), owed, n)
			if err := l.Run(func(int64) { // until the connection is up and what came of that is told
				if n.DeliverPending(); nc.wasUp {
					l.Stop()
				}
			}); err != nil {
				t.Error(err)
			}
			if open := nc.open[tag] != nil; open != c.sent {
				t.Errorf("open on its connection: %v", open)
			}
			l.Close()
			got, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			got.SetReadDeadline(time.Now().Add(10 * time.Second))
			text, err := io.ReadAll(got)
			if err != nil || strings.Contains(string(text), `"verb":"START"`) != c.sent {
				t.Errorf("the minion got %q, %v", text, err)
			}
		})
	}
}

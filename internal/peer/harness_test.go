package peer

// This file owns the helpers that the tests of this package share: event loops, and orchestrators that run on them.

import (
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/membership"
	"ravenhitch/internal/rapidtest"
	"ravenhitch/internal/testbed"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "20261202") }

// logBuffer collects log output. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func (l *logBuffer) logger() *slog.Logger { return slog.New(slog.NewTextHandler(l, nil)) }

// newLoop returns an event loop that is closed at the end of the test.
func newLoop(t *testing.T, descriptors int) *eventloop.Loop {
	t.Helper()
	loop, err := eventloop.New(descriptors)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { loop.Close() })
	return loop
}

// run runs an event loop until the end of the test.
func run(t *testing.T, loop *eventloop.Loop) {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- loop.Run(func(int64) {}) }()
	t.Cleanup(func() {
		loop.Post(loop.Stop)
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// settingsOf returns the settings of a member that knows no other members.
func settingsOf(name string) Settings {
	return Settings{Listen: "127.0.0.1:0", Cluster: "dala", Name: name, Zone: "zone-a", Incarnation: 1}
}

// startPeer starts a member that knows no other members, on a running event loop of its own.
func startPeer(t *testing.T, name string) (*eventloop.Loop, *Peers, *logBuffer) {
	t.Helper()
	loop := newLoop(t, 32)
	log := &logBuffer{}
	p, err := New(loop, settingsOf(name), log.logger())
	if err != nil {
		t.Fatal(err)
	}
	run(t, loop)
	return loop, p, log
}

// dial opens a connection that is closed at the end of the test.
func dial(t *testing.T, network, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial(network, address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // an error does not matter: the peer may have closed the connection
	return conn
}

// write writes b to w and fails the test on an error.
func write(t *testing.T, w io.Writer, b []byte) {
	t.Helper()
	if _, err := w.Write(b); err != nil {
		t.Fatal(err)
	}
}

// onLoop runs f on an event loop and waits until f has returned.
func onLoop(loop *eventloop.Loop, f func()) {
	done := make(chan struct{})
	loop.Post(func() { f(); close(done) })
	<-done
}

// twoPeers holds two orchestrators on one event loop: a, whose name is n0, and b, whose name is n1. They reach each
// other through the relays of an emulated network.
type twoPeers struct {
	loop *eventloop.Loop
	net  *testbed.Network
	a, b *Peers
	log  logBuffer
}

// newTwoPeers starts the orchestrators n0 and n1 and waits until each sees the other as a member.
func newTwoPeers(t *testing.T) *twoPeers {
	t.Helper()
	pair := &twoPeers{net: testbed.NewNetwork(1)}
	t.Cleanup(pair.net.Close)
	pair.loop = newLoop(t, 64)
	pair.a = pair.newPeer(t, "n0", "n1")
	pair.b = pair.newPeer(t, "n1", "n0")
	run(t, pair.loop)
	pair.eventually(t, "n0 and n1 to see each other as members", func() bool {
		_, _, bIsMember := pair.a.table.Locate("n1")
		_, _, aIsMember := pair.b.table.Locate("n0")
		return aIsMember && bIsMember
	})
	return pair
}

// newPeer creates one of the two orchestrators, which reaches the other through a relay of the emulated network.
func (pair *twoPeers) newPeer(t *testing.T, name, other string) *Peers {
	t.Helper()
	relay, err := pair.net.Relay(name, other)
	if err != nil {
		t.Fatal(err)
	}
	settings := settingsOf(name)
	settings.Members = []membership.Peer{{Name: other, Addr: relay}}
	p, err := New(pair.loop, settings, pair.log.logger())
	if err != nil {
		t.Fatal(err)
	}
	if err := pair.net.SetAddress(name, p.Addr()); err != nil {
		t.Fatal(err)
	}
	return p
}

// onLoop runs f on the event loop and waits until f has returned.
func (pair *twoPeers) onLoop(f func()) { onLoop(pair.loop, f) }

// setConditions changes the network conditions in the direction from one orchestrator to the other.
func (pair *twoPeers) setConditions(t *testing.T, from, to string, set func(*testbed.Conditions)) {
	t.Helper()
	if err := pair.net.Set(from, to, set); err != nil {
		t.Fatal(err)
	}
}

// eventually waits until condition, evaluated on the event loop, returns true. After a timeout, it fails the test. The
// argument what describes the condition in the failure message.
func (pair *twoPeers) eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(2 * testbed.Timeout); ; time.Sleep(time.Millisecond) {
		ok := false
		if pair.onLoop(func() { ok = condition() }); ok {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s; log: %s", what, pair.log.String())
		}
	}
}

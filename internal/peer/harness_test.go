package peer

// This file owns what the tests of this package share: a loop that runs, and two orchestrators on it.

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

// logBuffer keeps what is logged.
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

// newLoop makes a loop that the test closes.
func newLoop(t *testing.T, descriptors int) *eventloop.Loop {
	t.Helper()
	loop, err := eventloop.New(descriptors)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { loop.Close() })
	return loop
}

// run runs a loop until the test ends.
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

// settingsOf are those of a member without others.
func settingsOf(name string) Settings {
	return Settings{Listen: "127.0.0.1:0", Cluster: "dala", Name: name, Zone: "zone-a", Incarnation: 1}
}

// startPeer runs a member without others.
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

// dial opens a connection that the test closes.
func dial(t *testing.T, network, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial(network, address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the other side may have closed it
	return conn
}

// write writes bytes to a connection.
func write(t *testing.T, w io.Writer, b []byte) {
	t.Helper()
	if _, err := w.Write(b); err != nil {
		t.Fatal(err)
	}
}

// onLoop runs f on a loop and waits for it.
func onLoop(loop *eventloop.Loop, f func()) {
	done := make(chan struct{})
	loop.Post(func() { f(); close(done) })
	<-done
}

// twoPeers is two orchestrators on one loop, with relays between them.
type twoPeers struct {
	loop *eventloop.Loop
	net  *testbed.Network
	a, b *Peers
	log  logBuffer
}

// newTwoPeers runs n0 and n1, and waits until each is a member to the other.
func newTwoPeers(t *testing.T) *twoPeers {
	t.Helper()
	pair := &twoPeers{net: testbed.NewNetwork(1)}
	t.Cleanup(pair.net.Close)
	pair.loop = newLoop(t, 64)
	pair.a = pair.newPeer(t, "n0", "n1")
	pair.b = pair.newPeer(t, "n1", "n0")
	run(t, pair.loop)
	pair.eventually(t, "both are members", func() bool {
		_, _, bIsMember := pair.a.table.Locate("n1")
		_, _, aIsMember := pair.b.table.Locate("n0")
		return aIsMember && bIsMember
	})
	return pair
}

// newPeer makes one of the two, which reaches the other by a relay.
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

// onLoop runs f on the loop and waits for it.
func (pair *twoPeers) onLoop(f func()) { onLoop(pair.loop, f) }

// setConditions changes what the path from one to the other does to datagrams and connections.
func (pair *twoPeers) setConditions(t *testing.T, from, to string, set func(*testbed.Conditions)) {
	t.Helper()
	if err := pair.net.Set(from, to, set); err != nil {
		t.Fatal(err)
	}
}

// eventually waits until a condition holds on the loop.
func (pair *twoPeers) eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for limit := time.Now().Add(2 * testbed.Timeout); ; time.Sleep(time.Millisecond) {
		ok := false
		if pair.onLoop(func() { ok = condition() }); ok {
			return
		}
		if time.Now().After(limit) {
			t.Fatalf("%s: never came; %s", what, pair.log.String())
		}
	}
}

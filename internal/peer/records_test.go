package peer

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/membership"
	"ravenhitch/internal/peer/peerpb"
	"ravenhitch/internal/testbed"
)

// twoPeers is two orchestrators on one loop, with relays between them.
type twoPeers struct {
	loop *eventloop.Loop
	net  *testbed.Network
	a, b *Peers
	log  logBuffer
}

func newTwoPeers(t *testing.T) *twoPeers {
	x := &twoPeers{net: testbed.NewNetwork(1)}
	t.Cleanup(x.net.Close)
	var err error
	if x.loop, err = eventloop.New(64); err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(&x.log, nil))
	for i, p := range []**Peers{&x.a, &x.b} {
		me, other := fmt.Sprint("n", i), fmt.Sprint("n", 1-i)
		way, err := x.net.Relay(me, other)
		if err != nil {
			t.Fatal(err)
		}
		if *p, err = New(x.loop, Settings{Listen: "127.0.0.1:0", Cluster: "dala", Name: me, Zone: "hall-a", Incarnation: 1,
			Members: []membership.Peer{{Name: other, Addr: way}}}, log); err != nil {
			t.Fatal(err)
		}
		if err := x.net.Point(me, (*p).Addr()); err != nil {
			t.Fatal(err)
		}
	}
	over := make(chan error, 1)
	go func() { over <- x.loop.Run(func(int64) {}) }()
	t.Cleanup(func() {
		x.loop.Post(x.loop.Stop)
		if err := <-over; err != nil {
			t.Error(err)
		}
		x.loop.Close()
	})
	x.eventually(t, "both are members", func() bool {
		_, _, a := x.a.table.Locate("n1")
		_, _, b := x.b.table.Locate("n0")
		return a && b
	})
	return x
}

// onLoop runs f on the loop and waits for it.
func (x *twoPeers) onLoop(f func()) {
	done := make(chan struct{})
	x.loop.Post(func() { f(); close(done) })
	<-done
}

func (x *twoPeers) eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(2 * testbed.Patience); ; time.Sleep(time.Millisecond) {
		ok := false
		if x.onLoop(func() { ok = holds() }); ok {
			return
		}
		if time.Now().After(limit) {
			t.Fatalf("%s: never came; %s", what, x.log.String())
		}
	}
}

// Much of one kind on a thin way never delays another; whoever sends too much is told, and
// told again when there is room; all of it comes, in order.
func TestRecords(t *testing.T) {
	x := newTwoPeers(t)
	if err := x.net.Set("n0", "n1", func(c *testbed.Conditions) { c.Bandwidth = 2 << 20 }); err != nil {
		t.Fatal(err)
	}
	var came []string
	sent, rooms, urgentAfter := 0, 0, -1
	bulk := func() error {
		err := x.a.Send("n1", Batch, fmt.Appendf(nil, "%08d%s", sent, bytes.Repeat([]byte("x"), 64<<10)))
		if err == nil {
			sent++
		}
		return err
	}
	x.onLoop(func() {
		x.b.OnRecord(Batch, func(from string, b []byte) { came = append(came, from+" "+string(b[:8])) })
		x.b.OnRecord(Urgent, func(_ string, b []byte) { urgentAfter = len(came) })
		x.a.OnWritable(func(to string, k Kind) {
			if to == "n1" && k == Batch {
				rooms++
			}
		})
		for bulk() == nil {
		}
		if err := bulk(); !errors.Is(err, ErrQueueFull) {
			t.Errorf("too much: %v", err)
		}
	})
	x.eventually(t, "some of it", func() bool { return len(came) > 0 })
	x.onLoop(func() {
		for bulk() == nil {
		}
		if err := x.a.Send("n1", Urgent, []byte("now")); err != nil {
			t.Error(err)
		}
	})
	x.eventually(t, "the urgent one", func() bool { return urgentAfter >= 0 })
	x.eventually(t, "all of it", func() bool { return len(came) == sent })
	x.onLoop(func() {
		if urgentAfter >= sent-8 { // half a megabyte still waited
			t.Errorf("the urgent one came after %d of %d", urgentAfter, sent)
		}
		if rooms == 0 {
			t.Error("nobody was told of the room")
		}
		for i, s := range came {
			if s != fmt.Sprintf("n0 %08d", i) {
				t.Fatalf("record %d is %q", i, s)
			}
		}
		if err := x.a.Send("n1", Batch, make([]byte, maxRecord+1)); !errors.Is(err, ErrRecordTooLarge) {
			t.Errorf("too large: %v", err)
		}
		if err := x.a.Send("n9", Batch, nil); !errors.Is(err, ErrNotMember) {
			t.Errorf("to nobody: %v", err)
		}
	})
}

// A connection that is reset is opened again, and what waits goes out on it.
func TestRecordsAfterReset(t *testing.T) {
	x := newTwoPeers(t)
	came := 0
	x.onLoop(func() { x.b.OnRecord(Urgent, func(string, []byte) { came++ }) })
	for round := range 3 {
		before := came
		x.eventually(t, "a record", func() bool {
			if err := x.a.Send("n1", Urgent, []byte("again")); err != nil {
				t.Fatal(err)
			}
			return came > before
		})
		x.net.Reset("n0", "n1")
		t.Logf("round %d: %d came", round, came)
	}
}

// Without a descriptor left no handshake probe can be made, and nobody dies of that.
func TestNoDescriptors(t *testing.T) {
	x := newTwoPeers(t)
	var before int64
	x.onLoop(func() {
		for x.loop.FreeDescriptors() > 0 {
			if _, err := x.loop.Listen("127.0.0.1:0", func() bool { return false }, nil); err != nil {
				t.Fatal(err)
			}
		}
		before = x.a.Counts().Received
	})
	if err := x.net.Set("n1", "n0", func(c *testbed.Conditions) { c.Loss = 0.3 }); err != nil {
		t.Fatal(err)
	}
	x.eventually(t, "some datagrams", func() bool { return x.a.Counts().Received > before+20 })
	x.onLoop(func() {
		if _, _, ok := x.a.table.Locate("n1"); !ok || strings.Contains(x.log.String(), "event=dead") {
			t.Errorf("n1 is there: %v; %s", ok, x.log.String())
		}
	})
}

// What waits for a member that is gone is dropped, counted and said.
func TestRecordsDropped(t *testing.T) {
	x := newTwoPeers(t)
	if err := x.net.Point("n1", ""); err != nil { // its machine refuses; the process is not heard
		t.Fatal(err)
	}
	if err := x.net.Set("n1", "n0", func(c *testbed.Conditions) { c.Cut = true }); err != nil {
		t.Fatal(err)
	}
	x.onLoop(func() {
		for range 3 {
			if err := x.a.Send("n1", Urgent, []byte("never")); err != nil {
				t.Error(err)
			}
		}
	})
	x.eventually(t, "the count", func() bool { return x.a.Counts().RecordsDropped == 3 })
	x.onLoop(func() {
		if err := x.a.Send("n1", Urgent, nil); !errors.Is(err, ErrNotMember) {
			t.Errorf("to the dead: %v", err)
		}
	})
	if !strings.Contains(x.log.String(), "peer records dropped") {
		t.Error("it was not said")
	}
}

// Records are taken from a member of that name and life only.
func TestRecordsOfUnknownMember(t *testing.T) {
	x := newTwoPeers(t)
	for _, h := range []*peerpb.Hello{
		{Cluster: "dala", Name: "n0", Life: 1, Lowest: 1, Highest: 1, Kind: uint32(Urgent)},
		{Cluster: "dala", Name: "n9", Life: x.a.nonce, Lowest: 1, Highest: 1, Kind: uint32(Urgent)},
		{Cluster: "dala", Name: "n0", Life: x.a.nonce, Lowest: 1, Highest: 1, Kind: 77},
	} {
		var before int64
		x.onLoop(func() { before = x.b.Counts().Refused })
		c, err := net.Dial("tcp", x.b.Addr())
		if err != nil {
			t.Fatal(err)
		}
		b, err := encodeFrame(h, maxHelloFrame)
		if err != nil {
			t.Fatal(err)
		}
		c.Write(b)
		x.eventually(t, "the refusal", func() bool { return x.b.Counts().Refused == before+1 })
		c.Close()
	}
	x.onLoop(func() {
		if n := x.b.Counts().RecordsTaken; n > 0 {
			t.Errorf("%d were taken", n)
		}
	})
}

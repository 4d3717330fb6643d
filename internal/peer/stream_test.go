package peer

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/peer/peerpb"
	"ravenhitch/internal/testbed"
)

// backgroundSender sends numbered background records from a to b and keeps track of their arrival. All its methods must
// be called on the event loop.
type backgroundSender struct {
	peers       *twoPeers
	sent        int
	received    []string // sender and number of each received background record
	writable    int      // number of calls of the OnWritable handler for the background stream
	urgentAfter int      // number of background records that arrived before the urgent record; -1 until it arrives
}

// newBackgroundSender returns a backgroundSender and registers its handlers on both sides.
func newBackgroundSender(pair *twoPeers) *backgroundSender {
	s := &backgroundSender{peers: pair, urgentAfter: -1}
	pair.b.OnRecord(Background, func(from string, b []byte) { s.received = append(s.received, from+" "+string(b[:8])) })
	pair.b.OnRecord(Urgent, func(string, []byte) { s.urgentAfter = len(s.received) })
	pair.a.OnWritable(func(to string, kind RecordKind) {
		if to == "n1" && kind == Background {
			s.writable++
		}
	})
	return s
}

// send sends the next background record.
func (s *backgroundSender) send() error {
	err := s.peers.a.Send("n1", Background, fmt.Appendf(nil, "%08d%s", s.sent, bytes.Repeat([]byte("x"), 64<<10)))
	if err == nil {
		s.sent++
	}
	return err
}

// fill sends records until Send returns an error, and returns that error.
func (s *backgroundSender) fill() (err error) {
	for err == nil {
		err = s.send()
	}
	return err
}

// checkOrder asserts that the received records arrived in the order in which they were sent, without gaps.
func (s *backgroundSender) checkOrder(t *testing.T) {
	t.Helper()
	for i, got := range s.received {
		if want := fmt.Sprintf("n0 %08d", i); got != want {
			t.Errorf("record %d: got %q, want %q", i, got, want)
			return
		}
	}
}

// TestRecords asserts that many background records on a path of low bandwidth do not delay an urgent record. It also
// asserts that Send returns ErrQueueFull when the queue is full, that the OnWritable handler is called when the queue
// has space again, and that all accepted records arrive in order.
func TestRecords(t *testing.T) {
	pair := newTwoPeers(t)
	pair.setConditions(t, "n0", "n1", func(c *testbed.Conditions) { c.Bandwidth = 2 << 20 })
	var background *backgroundSender
	pair.onLoop(func() {
		background = newBackgroundSender(pair)
		if err := background.fill(); !errors.Is(err, ErrQueueFull) {
			t.Errorf("first fill of the queue: got error %v, want %v", err, ErrQueueFull)
		}
	})
	pair.eventually(t, "the first background record", func() bool { return len(background.received) > 0 })
	pair.onLoop(func() {
		if err := background.fill(); !errors.Is(err, ErrQueueFull) {
			t.Errorf("second fill of the queue: got error %v, want %v", err, ErrQueueFull)
		}
		if err := pair.a.Send("n1", Urgent, []byte("now")); err != nil {
			t.Error(err)
		}
	})
	pair.eventually(t, "the urgent record", func() bool { return background.urgentAfter >= 0 })
	pair.eventually(t, "all background records", func() bool { return len(background.received) == background.sent })
	pair.onLoop(func() {
		// When the urgent record arrives, more than 8 background records (8 * 64 KiB = 512 KiB) must not have arrived
		// yet.
		if background.urgentAfter >= background.sent-8 {
			t.Errorf("the urgent record arrived after %d of %d background records, want fewer than %d",
				background.urgentAfter, background.sent, background.sent-8)
		}
		if background.writable == 0 {
			t.Error("the OnWritable handler was called 0 times for the background stream, want at least 1")
		}
		background.checkOrder(t)
	})
}

// TestRecordsNotTaken asserts that Send rejects a record that is too large and a record to an unknown member.
func TestRecordsNotTaken(t *testing.T) {
	pair := newTwoPeers(t)
	pair.onLoop(func() {
		if err := pair.a.Send("n1", Background, make([]byte, maxRecord+1)); !errors.Is(err, ErrRecordTooLarge) {
			t.Errorf("record of %d bytes: got error %v, want %v", maxRecord+1, err, ErrRecordTooLarge)
		}
		if err := pair.a.Send("n9", Background, nil); !errors.Is(err, ErrNotMember) {
			t.Errorf("record to the unknown member n9: got error %v, want %v", err, ErrNotMember)
		}
	})
}

// TestRecordsAfterReset asserts that a stream opens a new connection after a reset, and that records arrive on it.
func TestRecordsAfterReset(t *testing.T) {
	pair := newTwoPeers(t)
	received := 0
	pair.onLoop(func() { pair.b.OnRecord(Urgent, func(string, []byte) { received++ }) })
	for round := range 3 {
		var before, after int
		pair.onLoop(func() { before = received })
		pair.eventually(t, "a record to arrive", func() bool {
			if err := pair.a.Send("n1", Urgent, []byte("again")); err != nil {
				t.Error(err)
				return true
			}
			after = received
			return after > before
		})
		pair.net.Reset("n0", "n1")
		t.Logf("round %d: %d records received so far", round, after)
	}
}

// TestNoDescriptors asserts that a lack of free file descriptors for handshake probes does not cause the local process
// to declare a member dead.
func TestNoDescriptors(t *testing.T) {
	pair := newTwoPeers(t)
	var before int64
	pair.onLoop(func() {
		for pair.loop.FreeDescriptors() > 0 {
			if _, err := pair.loop.Listen("127.0.0.1:0", eventloop.AdmissionFunc(func() bool { return false }), nil); err != nil {
				t.Error(err)
				return
			}
		}
		before = pair.a.Counts().Received
	})
	pair.setConditions(t, "n1", "n0", func(c *testbed.Conditions) { c.Loss = 0.3 })
	pair.eventually(t, "more than 20 further datagrams", func() bool { return pair.a.Counts().Received > before+20 })
	pair.onLoop(func() {
		if _, _, ok := pair.a.table.Locate("n1"); !ok || strings.Contains(pair.log.String(), "event=dead") {
			t.Errorf("n1 is a member: got %v, want true and no dead event in the log: %s", ok, pair.log.String())
		}
	})
}

// TestRecordsDropped asserts that the records queued for a member are dropped, counted and logged when the member is
// declared dead.
func TestRecordsDropped(t *testing.T) {
	pair := newTwoPeers(t)
	if err := pair.net.SetAddress("n1", ""); err != nil { // the host of n1 then refuses connections
		t.Fatal(err)
	}
	pair.setConditions(t, "n1", "n0", func(c *testbed.Conditions) { c.Cut = true })
	pair.onLoop(func() {
		for range 3 {
			if err := pair.a.Send("n1", Urgent, []byte("never")); err != nil {
				t.Error(err)
			}
		}
	})
	pair.eventually(t, "3 dropped records", func() bool { return pair.a.Counts().RecordsDropped == 3 })
	pair.onLoop(func() {
		if err := pair.a.Send("n1", Urgent, nil); !errors.Is(err, ErrNotMember) {
			t.Errorf("record to the dead member n1: got error %v, want %v", err, ErrNotMember)
		}
	})
	if !strings.Contains(pair.log.String(), "peer records dropped") {
		t.Errorf("expected \"peer records dropped\" in the log, got: %s", pair.log.String())
	}
}

// TestRecordsOfUnknownMember asserts that a connection for records is refused if its hello does not name a member, or
// has the wrong incarnation nonce or an unknown record kind.
func TestRecordsOfUnknownMember(t *testing.T) {
	pair := newTwoPeers(t)
	for _, hello := range []*peerpb.Hello{
		{Cluster: "dala", Name: "n0", Life: 1, Lowest: 1, Highest: 1, Kind: uint32(Urgent)},
		{Cluster: "dala", Name: "n9", Life: pair.a.nonce, Lowest: 1, Highest: 1, Kind: uint32(Urgent)},
		{Cluster: "dala", Name: "n0", Life: pair.a.nonce, Lowest: 1, Highest: 1, Kind: 77},
	} {
		var before int64
		pair.onLoop(func() { before = pair.b.Counts().Refused })
		write(t, dial(t, "tcp", pair.b.Addr()), helloFrame(t, hello))
		pair.eventually(t, "the hello to be refused", func() bool { return pair.b.Counts().Refused == before+1 })
	}
	pair.onLoop(func() {
		if count := pair.b.Counts().RecordsReceived; count > 0 {
			t.Errorf("got %d accepted records, want 0", count)
		}
	})
}

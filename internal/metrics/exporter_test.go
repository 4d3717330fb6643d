package metrics

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

// sample holds one counter and one gauge.
var sample = Sample{
	At:      time.Unix(1_700_000_000, 0),
	Figures: []Figure{{"offers", 12, true}, {"open requests", 0.5, false}},
}

// startReceiver starts a receiver that replies to each line with answer. It returns the
// receiver's address and a channel of the received lines.
func startReceiver(t *testing.T, network, addr, answer string) (string, chan string) {
	t.Helper()
	ln, err := net.Listen(network, addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeOrFail(t, ln) })
	lines := make(chan string, 100)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go answerLines(conn, answer, lines)
		}
	}()
	return ln.Addr().String(), lines
}

// answerLines sends each line of a connection to lines and replies to it, until the connection
// ends.
func answerLines(conn net.Conn, answer string, lines chan<- string) {
	defer func() { _ = conn.Close() }() // an error does not matter: the exporter has closed its end by then
	for r := bufio.NewReader(conn); ; {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		lines <- line
		_, _ = io.WriteString(conn, answer) // an error does not matter: the exporter may have closed the connection
	}
}

// closeOrFail closes c. It fails the test on an error, unless c was already closed.
func closeOrFail(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}

// expectLines checks that the next lines of a receiver are want.
func expectLines(t *testing.T, lines <-chan string, want ...string) {
	t.Helper()
	for _, wantLine := range want {
		if line := testbed.Wait(t, "a line", lines); line != wantLine {
			t.Errorf("got line %q, want %q", line, wantLine)
		}
	}
}

// TestGraphite asserts that Graphite receives a line for each figure, and that no sample is
// dropped.
func TestGraphite(t *testing.T) {
	addr, lines := startReceiver(t, "tcp", "127.0.0.1:0", "")
	e := NewExporter("tcp", addr, Graphite{Prefix: "edge.almaty", Name: "n1.x"}, slog.New(slog.DiscardHandler))
	e.Offer(sample)
	expectLines(t, lines, "edge.almaty.n1_x.offers 12 1700000000\n", "edge.almaty.n1_x.open_requests 0.5 1700000000\n")
	e.Close(10 * time.Second)
	if e.Dropped() != 0 {
		t.Errorf("got %d dropped samples, want 0", e.Dropped())
	}
}

// TestCollectd asserts that collectd receives a PUTVAL command for each figure, and that a sample
// counts as dropped if collectd rejects the sample or does not reply with a status line.
func TestCollectd(t *testing.T) {
	for _, test := range []struct {
		answer string
		lost   int64
	}{
		{"0 Success: 1 value has been dispatched.\n", 0},
		{"1 Line follows\nmore\n", 0},
		{"-1 Type `derive' isn't defined.\n", 1},
		{"what?\n", 1},
	} {
		addr, lines := startReceiver(t, "unix", filepath.Join(t.TempDir(), "s"), test.answer)
		e := NewExporter("unix", addr, Collectd{Prefix: "ravenhitch", Name: "n1", Interval: 2500 * time.Millisecond},
			slog.New(slog.DiscardHandler))
		e.Offer(sample)
		expectLines(t, lines,
			"PUTVAL \"n1/ravenhitch/derive-offers\" interval=2.5 1700000000:12\n",
			"PUTVAL \"n1/ravenhitch/gauge-open_requests\" interval=2.5 1700000000:0.5\n")
		e.Close(10 * time.Second)
		if e.Dropped() != test.lost {
			t.Errorf("answer %q: got %d dropped samples, want %d", test.answer, e.Dropped(), test.lost)
		}
	}
}

// TestOfferNeverBlocks asserts that Offer does not block while the receiver is down, and that each
// sample counts as dropped.
func TestOfferNeverBlocks(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeOrFail(t, ln)
	e := NewExporter("tcp", ln.Addr().String(), Graphite{Prefix: "p", Name: "n"}, slog.New(slog.DiscardHandler))
	began := time.Now()
	accepted := int64(0)
	for range 1000 {
		if e.Offer(sample) {
			accepted++
		}
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("1000 calls of Offer took %s, want at most 1s", took)
	}
	e.Close(10 * time.Second)
	if e.Dropped() != 1000 {
		t.Errorf("got %d dropped samples, want 1000; Offer accepted %d", e.Dropped(), accepted)
	}
}

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

// sample holds a counter and a gauge.
var sample = Sample{
	At:      time.Unix(1_700_000_000, 0),
	Figures: []Figure{{"offers", 12, true}, {"open requests", 0.5, false}},
}

// startReceiver starts a receiver that answers each line, and returns its address and the
// lines that it gets.
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

// answerLines passes on each line of a connection and answers it, until the connection ends.
func answerLines(conn net.Conn, answer string, lines chan<- string) {
	defer func() { _ = conn.Close() }() // the exporter ends it first
	for r := bufio.NewReader(conn); ; {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		lines <- line
		_, _ = io.WriteString(conn, answer) // the exporter may have closed the connection
	}
}

// closeOrFail closes c.
func closeOrFail(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}

// expectLines checks the next lines that a receiver gets.
func expectLines(t *testing.T, lines <-chan string, want ...string) {
	t.Helper()
	for _, wantLine := range want {
		if line := testbed.Wait(t, "a line", lines); line != wantLine {
			t.Errorf("got %q, expected %q", line, wantLine)
		}
	}
}

// Graphite gets a line for each figure, and no sample is lost.
func TestGraphite(t *testing.T) {
	addr, lines := startReceiver(t, "tcp", "127.0.0.1:0", "")
	e := NewExporter("tcp", addr, Graphite{Prefix: "edge.almaty", Name: "n1.x"}, slog.New(slog.DiscardHandler))
	e.Offer(sample)
	expectLines(t, lines, "edge.almaty.n1_x.offers 12 1700000000\n", "edge.almaty.n1_x.open_requests 0.5 1700000000\n")
	e.Close(10 * time.Second)
	if e.Dropped() != 0 {
		t.Errorf("%d samples lost", e.Dropped())
	}
}

// Collectd gets a PUTVAL for each figure, and a sample that it rejects counts as lost.
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
			t.Errorf("%q: %d samples lost, expected %d", test.answer, e.Dropped(), test.lost)
		}
	}
}

// Given a receiver that is down, then Offer never blocks, and each sample counts as lost.
func TestOfferNeverBlocks(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeOrFail(t, ln)
	e := NewExporter("tcp", ln.Addr().String(), Graphite{Prefix: "p", Name: "n"}, slog.New(slog.DiscardHandler))
	began := time.Now()
	taken := int64(0)
	for range 1000 {
		if e.Offer(sample) {
			taken++
		}
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("1000 offers took %s", took)
	}
	e.Close(10 * time.Second)
	if e.Dropped() != 1000 {
		t.Errorf("%d of 1000 samples lost, %d were taken", e.Dropped(), taken)
	}
}

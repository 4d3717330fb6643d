package metrics

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

var sample = Sample{At: time.Unix(1_700_000_000, 0), Figures: []Figure{
	{"offers", 12, true}, {"open requests", 0.5, false}}}

// receiver is a stand-in: it passes on each line it gets and answers as told.
func receiver(t *testing.T, network, addr, answer string) (string, chan string) {
	ln, err := net.Listen(network, addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	got := make(chan string, 100)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					line, err := r.ReadString('\n')
					if err != nil {
						return
					}
					got <- line
					io.WriteString(c, answer)
				}
			}()
		}
	}()
	return ln.Addr().String(), got
}

func TestGraphite(t *testing.T) {
	addr, got := receiver(t, "tcp", "127.0.0.1:0", "")
	e := NewExporter("tcp", addr, Graphite{Prefix: "edge.almaty", Name: "n1.x"}, slog.New(slog.DiscardHandler))
	e.Offer(sample)
	for _, want := range []string{"edge.almaty.n1_x.offers 12 1700000000\n", "edge.almaty.n1_x.open_requests 0.5 1700000000\n"} {
		if line := testbed.Wait(t, "a line", got); line != want {
			t.Errorf("got %q, expected %q", line, want)
		}
	}
	e.Close(10 * time.Second)
	if e.Dropped() != 0 {
		t.Errorf("%d samples lost", e.Dropped())
	}
}

func TestCollectd(t *testing.T) {
	for _, x := range []struct {
		answer string
		lost   int64
	}{
		{"0 Success: 1 value has been dispatched.\n", 0}, {"1 Line follows\nmore\n", 0},
		{"-1 Type `derive' isn't defined.\n", 1}, {"what?\n", 1},
	} {
		addr, got := receiver(t, "unix", filepath.Join(t.TempDir(), "s"), x.answer)
		e := NewExporter("unix", addr, Collectd{Prefix: "ravenhitch", Name: "n1", Every: 2500 * time.Millisecond},
			slog.New(slog.DiscardHandler))
		e.Offer(sample)
		for _, want := range []string{"PUTVAL \"n1/ravenhitch/derive-offers\" interval=2.5 1700000000:12\n",
			"PUTVAL \"n1/ravenhitch/gauge-open_requests\" interval=2.5 1700000000:0.5\n"} {
			if line := testbed.Wait(t, "a line", got); line != want {
				t.Errorf("got %q, expected %q", line, want)
			}
		}
		e.Close(10 * time.Second)
		if e.Dropped() != x.lost {
			t.Errorf("%q: %d samples lost, expected %d", x.answer, e.Dropped(), x.lost)
		}
	}
}

// A receiver that takes nothing holds nobody up.
func TestNeverBlocks(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	e := NewExporter("tcp", ln.Addr().String(), Graphite{Prefix: "p", Name: "n"}, slog.New(slog.DiscardHandler))
	began := time.Now()
	taken := int64(0)
	for range 1000 {
		if e.Offer(sample) {
			taken++
		}
	}
	if d := time.Since(began); d > time.Second {
		t.Errorf("1000 offers took %s", d)
	}
	e.Close(10 * time.Second)
	if e.Dropped() != 1000 {
		t.Errorf("%d of 1000 samples lost, %d were taken", e.Dropped(), taken)
	}
}

package peer

import (
	"errors"
	"log/slog"
	"net"
	"testing"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/eventloop"
)

// portsInUse are addresses whose ports are in use for datagrams while the test runs.
func portsInUse(t *testing.T, count int) map[string]bool {
	t.Helper()
	used := map[string]bool{}
	for range count {
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if err := conn.Close(); err != nil {
				t.Error(err)
			}
		})
		used[conn.LocalAddr().String()] = true
	}
	return used
}

// listenTCP listens at an address, and stops at once.
func listenTCP(t *testing.T, address string) error {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	if err := listener.Close(); err != nil {
		t.Error(err)
	}
	return nil
}

// TestPortsInUse asserts that where any port will do, one that is in use for datagrams is passed over.
func TestPortsInUse(t *testing.T) {
	used := portsInUse(t, 500)
	for range 1000 { // one in fifty of these meets a port in use
		loop, err := eventloop.New(8)
		if err != nil {
			t.Fatal(err)
		}
		p, err := New(loop, settingsOf("n1"), slog.New(slog.DiscardHandler))
		if err != nil || used[p.Addr()] {
			t.Fatalf("%v", err)
		}
		loop.Close()
	}
}

// TestNamedPortInUse asserts that a named port that is in use for datagrams is an error, and that what was
// opened there is closed.
func TestNamedPortInUse(t *testing.T) {
	settings := settingsOf("n1")
	for settings.Listen = range portsInUse(t, 500) {
		if listenTCP(t, settings.Listen) == nil {
			break
		}
	}
	loop := newLoop(t, 8)
	if _, err := New(loop, settings, slog.New(slog.DiscardHandler)); !errors.Is(err, unix.EADDRINUSE) {
		t.Errorf("expected EADDRINUSE, got %v", err)
	}
	if err := listenTCP(t, settings.Listen); err != nil {
		t.Fatalf("not closed: %v", err)
	}
}

package peer

import (
	"errors"
	"log/slog"
	"net"
	"testing"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/eventloop"
)

// portsInUse opens count datagram sockets, which stay open until the end of the test, and returns their addresses.
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

// listenTCP opens a listening socket at an address and closes it. It returns the error of net.Listen.
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

// TestPortsInUse asserts that New tries another port if the one that the system chose is in use for datagrams.
func TestPortsInUse(t *testing.T) {
	used := portsInUse(t, 500)
	for range 1000 { // in about one call of New in fifty, the first port is in use
		loop, err := eventloop.New(8)
		if err != nil {
			t.Fatal(err)
		}
		p, err := New(loop, settingsOf("n1"), slog.New(slog.DiscardHandler))
		if err != nil || used[p.Addr()] {
			t.Fatalf("New with port 0: got error %v, want no error and a port that is not in use", err)
		}
		loop.Close()
	}
}

// TestNamedPortInUse asserts that New returns an error if the configured port is in use for datagrams, and that New
// then closes the listening socket that it opened on that port.
func TestNamedPortInUse(t *testing.T) {
	settings := settingsOf("n1")
	for settings.Listen = range portsInUse(t, 500) {
		if listenTCP(t, settings.Listen) == nil {
			break
		}
	}
	loop := newLoop(t, 8)
	if _, err := New(loop, settings, slog.New(slog.DiscardHandler)); !errors.Is(err, unix.EADDRINUSE) {
		t.Errorf("New on a port in use: got error %v, want %v", err, unix.EADDRINUSE)
	}
	if err := listenTCP(t, settings.Listen); err != nil {
		t.Fatalf("listening again on %s: got error %v, want no error, because New must close its listening socket", settings.Listen, err)
	}
}

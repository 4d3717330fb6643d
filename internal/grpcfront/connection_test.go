package grpcfront

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/grpc/credentials/insecure"

	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/nettest"
)

// serveWithTimes serves a front on a listener until the test ends, and returns its address.
func serveWithTimes(t *testing.T, times connectionTimes) (address string) {
	t.Helper()
	listener := nettest.Listen(t)
	front := newWithTimes(&manualLoop{}, silentDispatcher{}, insecure.NewCredentials(), times)
	served := make(chan error, 1)
	go func() { served <- front.Serve(listener) }()
	t.Cleanup(func() {
		front.Close()
		if err := testbed.Wait(t, "the end of the server", served); err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

// handshake opens an HTTP/2 connection that makes no call.
func handshake(t *testing.T, address string) net.Conn {
	t.Helper()
	const preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	const emptySettings = "\x00\x00\x00\x04\x00\x00\x00\x00\x00"
	conn := nettest.Dial(t, address)
	if err := conn.SetDeadline(time.Now().Add(testbed.Timeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, preface+emptySettings); err != nil {
		t.Fatal(err)
	}
	return conn
}

// The server ends a connection on which no call is made, and one whose client does not answer its pings. A client would else
// hold one of few connections for good.
func TestQuietConnectionsEnd(t *testing.T) {
	const never, soon = time.Hour, 50 * time.Millisecond
	for name, times := range map[string]connectionTimes{
		"without calls":               {maxIdle: soon, pingInterval: never, pingTimeout: soon},
		"without an answer to a ping": {maxIdle: never, pingInterval: time.Second, pingTimeout: soon}, // grpc-go pings at most once a second
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := handshake(t, serveWithTimes(t, times))
			if _, err := io.Copy(io.Discard, conn); err != nil && !errors.Is(err, unix.ECONNRESET) {
				t.Errorf("got %v, want the end of the connection", err)
			}
		})
	}
}

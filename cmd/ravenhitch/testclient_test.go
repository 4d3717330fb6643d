package main

// This file owns what tests do with connections of clients on JSON lines, and how they give back what
// they opened.

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

// Causes of FINISH, as the protocol numbers them.
const (
	causeDone      = 16 // the task ended as it should, or a client or an orchestrator ends it
	causeRejected  = 34 // a retry is harmless
	causeReleased  = 31 // a worker confirms a release
	causeLost      = 41 // the connection or the worker is lost
	causeFailed    = 47 // the task may have run
	causeNeverSent = 102
)

// cancelLine cancels an open request, or releases a running task.
func cancelLine(requestID string) testbed.Line {
	return testbed.FinishLine("FINISH", requestID, causeDone)
}

// expectCause takes the client's next line, which must be of this request and have this cause.
func expectCause(t *testing.T, what string, client *testbed.Client, requestID string, cause int) {
	t.Helper()
	if line := testbed.Wait(t, what, client.Lines); line.Tag != requestID || line.Cause() != cause {
		t.Errorf("%s: got %v", what, line)
	}
}

// pingLine is a ping with this tag.
func pingLine(tag string) testbed.Line {
	return testbed.Line{Verb: "ECHO", Tag: tag, Opts: map[string]string{}}
}

// pingServer waits for the answer to a ping: by then the server has read all that the client sent before.
func pingServer(t *testing.T, client *testbed.Client) {
	t.Helper()
	testbed.Send(client, pingLine("t"))
	line := testbed.Wait(t, "the answer to a ping", client.Lines)
	if line.Verb == "FINISHED" { // confirms a release that was sent before
		line = testbed.Wait(t, "the answer to a ping", client.Lines)
	}
	if line.Verb != "ECHOED" {
		t.Fatalf("got %v", line)
	}
}

// adoptedLine registers a task again that runs on a worker already.
func adoptedLine(requestID, worker string) testbed.Line {
	line := testbed.StartLine(requestID, "guide-web", "ok-"+requestID, 5000)
	line.Opts["extras"] += ";at:" + worker
	return line
}

// lineBytes is a line as it is written, without its line feed.
func lineBytes(t *testing.T, line testbed.Line) []byte {
	t.Helper()
	b, err := json.Marshal(line)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// hasValidRetryAfter reports whether a rejection says when to come again, within the settings' longest.
func hasValidRetryAfter(line testbed.Line) bool {
	ms, err := strconv.Atoi(line.Opts["wait"])
	return err == nil && ms >= 0 && ms <= 3000
}

// newSlowReader connects a client that has more responses to read than the system buffers.
func newSlowReader(t *testing.T, server *testServer) net.Conn {
	t.Helper()
	// A receive buffer of fixed size: the system would go on widening it.
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		})
		return errors.Join(err, optionErr)
	}}
	conn, err := dialer.Dial("tcp", server.clientAddr)
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, conn)
	turnsBehind := 0 // turns in which something was left to write since the last ping was sent
	server.waitUntil(t, "more responses than the system buffers", func() bool {
		if turnsBehind++; server.clientFront.HasUndelivered() {
			return turnsBehind == 5
		}
		turnsBehind = 0
		for range 100 {
			testbed.Send(conn, pingLine(strings.Repeat("t", 64)))
		}
		return false
	})
	return conn
}

// closeOnCleanup closes at the end of the test what the test may have closed before.
func closeOnCleanup(t *testing.T, closer io.Closer) {
	t.Helper()
	t.Cleanup(func() {
		if err := closer.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			t.Errorf("close: %v", err)
		}
	})
}

// closeNow closes what the test needs closed from here on.
func closeNow(t *testing.T, closer io.Closer) {
	t.Helper()
	if err := closer.Close(); err != nil {
		t.Fatal(err)
	}
}

// closeWrite closes the sending half of a client's connection.
func closeWrite(t *testing.T, client *testbed.Client) {
	t.Helper()
	if err := client.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
}

// reset closes a client's connection with a reset.
func reset(t *testing.T, client *testbed.Client) {
	t.Helper()
	if err := client.Conn.(*net.TCPConn).SetLinger(0); err != nil {
		t.Fatal(err)
	}
	closeNow(t, client)
}

// write writes bytes that need not be a whole line.
func write(t *testing.T, conn net.Conn, b []byte) {
	t.Helper()
	if _, err := conn.Write(b); err != nil {
		t.Fatal(err)
	}
}

// setReadTimeout bounds all that is read from a connection from now on.
func setReadTimeout(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(testbed.Timeout)); err != nil {
		t.Fatal(err)
	}
}

// listenLocal listens on a port of the loopback interface until the end of the test.
func listenLocal(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, listener)
	return listener
}

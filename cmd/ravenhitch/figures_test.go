package main

// This file tests the export of figures.

import (
	"bufio"
	"io"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"ravenhitch/internal/config"
	"ravenhitch/internal/testbed"
)

// The counts of the dispatcher are exported to a Graphite and to a collectd receiver.
func TestExportedFigures(t *testing.T) {
	carbon := listenLocal(t)
	path := filepath.Join(t.TempDir(), "collectd.sock")
	collectd, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, collectd)
	lines := make(chan string, 10_000)
	go receiveFigures(carbon, "", lines)
	go receiveFigures(collectd, "0 Success\n", lines)
	server := startTestServer(t, serverOptions{operators: config.OperatorSettings{
		Graphite: config.Metrics{Address: carbon.Addr().String(), Prefix: "edge", IntervalMs: 100},
		Collectd: config.Metrics{Address: path, Prefix: "edge", IntervalMs: 100},
	}}, "a")
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	testbed.Wait(t, "the response", client.Lines)
	for _, want := range []string{
		"edge.n1.started 1 ",
		"edge.n1.standing 1 ",
		`PUTVAL "n1/edge/derive-started" interval=0.1 `,
		`PUTVAL "n1/edge/gauge-standing" interval=0.1 `,
	} {
		waitFigure(t, lines, want)
	}
}

// waitFigure waits for a line that begins with want. The value in a line for collectd must be 1.
func waitFigure(t *testing.T, lines <-chan string, want string) {
	t.Helper()
	for limit := time.Now().Add(testbed.Timeout); ; {
		line := testbed.Wait(t, want, lines)
		if strings.HasPrefix(line, want) && (strings.HasPrefix(line, "edge") || strings.HasSuffix(line, ":1")) {
			return
		}
		if time.Now().After(limit) {
			t.Fatalf("no line with prefix %q within %s; the last line is %q", want, testbed.Timeout, line)
		}
	}
}

// receiveFigures accepts one connection, sends its lines to the channel lines and writes answer after each line.
func receiveFigures(listener net.Listener, answer string, lines chan<- string) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }() // the exporter or the test has ended by then
	for scanner := bufio.NewScanner(conn); scanner.Scan(); {
		lines <- scanner.Text()
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

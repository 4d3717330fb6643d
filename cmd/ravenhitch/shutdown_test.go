package main

// This file tests responses and the end of connections during a shutdown.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"ravenhitch/internal/testbed"
	"ravenhitch/placement"
)

// New clients are still served during a shutdown. The server stops without an error once no request is open.
func TestNewClientsServedDuringShutdown(t *testing.T) {
	server := newTestServer(t, "a")
	early := server.connect(t)
	testbed.Send(early, testbed.StartLine(testbed.RequestID(1), "guide-web", "silent-1", 1200))
	testbed.Wait(t, "the offer", server.workers[0].Offers)
	server.Stop()
	server.onLoop(t, func() {}) // onLoop returns after the shutdown has begun
	late := server.connect(t)
	testbed.Send(late, testbed.StartLine(testbed.RequestID(2), "guide-web", "ok-1", 5000))
	if line := testbed.Wait(t, "the response to the late client", late.Lines); line.Verb != "STARTED" {
		t.Errorf("late client: got %v, want STARTED", line)
	}
	if line := testbed.Wait(t, "the response to the early client", early.Lines); line.Verb != "FINISH" || line.Tag != testbed.RequestID(1) {
		t.Errorf("early client: got %v, want FINISH for request 1", line)
	}
	if err := server.waitStopped(t); err != nil {
		t.Error(err)
	}
}

// Stop is called twice, and Reload in between. Each open request still gets exactly one response: a failure if its
// task may have run and must not run again, and a rejection otherwise.
func TestRepeatedStop(t *testing.T) {
	server := startTestServer(t, serverOptions{settings: shortDeadlines(t)}, "a")
	client := server.connect(t)
	classes := []string{"guide-web", "archive-cut"}
	for i, class := range classes {
		testbed.Send(client, testbed.StartLine(testbed.RequestID(i+1), class, fmt.Sprint("silent-", i), 60_000))
		testbed.Wait(t, "the offer", server.workers[0].Offers)
	}
	server.drainOnlyWorker(t)
	for i, class := range classes { // these requests are never offered, because the only worker is draining
		testbed.Send(client, testbed.StartLine(testbed.RequestID(i+3), class, fmt.Sprint("ok-", i), 60_000))
	}
	server.waitUntil(t, "four open requests", func() bool { return server.dispatcher.OpenCount() == 4 })
	next := testbed.NewDiscovery(t)
	next.CopyFrom(server.discovery)
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(configJSON(next)), 0o600); err != nil {
		t.Fatal(err)
	}

	server.Stop()
	server.Reload(path)
	server.Stop()

	got := map[string]int{}
	for range 4 {
		line := testbed.Wait(t, "a response", client.Lines)
		if got[line.Tag] != 0 || line.Verb != "FINISH" {
			t.Errorf("response: got %v, want one FINISH for each request", line)
		}
		got[line.Tag] = line.Code()
	}
	want := map[string]int{testbed.RequestID(1): codeRejected, testbed.RequestID(2): codeFailed,
		testbed.RequestID(3): codeRejected, testbed.RequestID(4): codeRejected}
	if !maps.Equal(got, want) {
		t.Errorf("codes of the responses by request ID: got %v, want %v", got, want)
	}
	if err := server.waitStopped(t); err != nil {
		t.Error(err)
	}
	for line := range client.Lines { // until the server closes the connection
		t.Errorf("line after all responses: got %v, want none", line)
	}
}

// If the server has undelivered responses after it has ended the open requests at the drain timeout, it does not stop
// in the same turn of the event loop. Clients that read slowly still have time to read their responses.
func TestResponsesFlushedAtDrainTimeout(t *testing.T) {
	server := startTestServer(t, serverOptions{settings: shortDeadlines(t)}, "a")
	conn := newSlowReader(t, server)
	testbed.Send(conn, testbed.StartLine(testbed.RequestID(1), "archive-cut", "silent-1", 60_000))
	testbed.Wait(t, "the offer", server.workers[0].Offers)
	turnAfter := make(chan bool, 1)
	var check func()
	check = func() {
		if server.dispatcher.OpenCount() > 0 {
			server.loop.After(millisecond, check)
			return
		}
		server.loop.After(millisecond, func() { turnAfter <- true })
	}
	server.onLoop(t, check)
	server.Stop()
	select {
	case <-turnAfter:
	case err := <-server.runResult:
		t.Fatalf("the server stopped in the turn in which it ended the open request: %v", err)
	}
	if err := server.waitStopped(t); err != nil { // the server stops although the client has read nothing
		t.Error(err)
	}
}

// When the server stops, it resets each connection to a worker on which an attempt may be in flight. After a plain
// close, the kernel would still deliver buffered output such as an offer, although no client waits for the result.
// The other connections to workers are closed without a reset.
func TestWorkerConnectionsAtShutdown(t *testing.T) {
	for name, inFlight := range map[string]bool{"an attempt is in flight": true, "no attempt is": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener := listenLocal(t)
			server := startTestServer(t, serverOptions{settings: shortDeadlines(t)}, "a")
			server.workers[0].CloseGracefully()
			server.discovery.Add(false, server.workers[0].ListEntryAt("up", listener.Addr().String()))
			worker, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			setReadTimeout(t, worker)
			reader := bufio.NewReader(worker)
			if inFlight {
				testbed.Send(server.connect(t), testbed.StartLine(testbed.RequestID(1), "archive-cut", "k", 60_000))
				if line, err := reader.ReadString('\n'); err != nil || !strings.Contains(line, "START") {
					t.Fatalf("got line %q, error %v, want the offer", line, err)
				}
				// At the drain timeout, the server ends the request. Because the worker has sent a message since
				// the offer, the server then writes a cancel and keeps the connection open until it stops. Without
				// the message, it would abort the connection at the drain timeout.
				testbed.Send(worker, testbed.Line{Verb: "NOTICE", Tag: testbed.RequestID(0), Opts: map[string]string{"note": "up", "value": "0"}})
			}
			server.Stop()
			if err := server.waitStopped(t); err != nil {
				t.Error(err)
			}
			if _, err := io.Copy(io.Discard, reader); errors.Is(err, syscall.ECONNRESET) != inFlight {
				t.Errorf("end of the connection: got error %v, want a reset only if an attempt is in flight", err)
			}
		})
	}
}

// Requests that are open at SIGTERM get a response before the platform kills the process. They get it at the latest
// at the drain timeout, which depends on the longest deadline of a class.
func TestDrainTimeout(t *testing.T) {
	for longest, want := range map[int64]int64{
		1 * second:        1_400 * millisecond,
		10 * second:       3_400 * millisecond,
		100 * millisecond: lateRequestsUs,
	} {
		settings := placement.Settings{Classes: []placement.Class{{DeadlineUs: 50 * millisecond}, {DeadlineUs: longest}}}
		t.Run(fmt.Sprintf("longest deadline %d us", longest), func(t *testing.T) {
			if got := drainTimeout(settings, maxDeadlineUs); got != want {
				t.Errorf("drain timeout: got %d us, want %d us", got, want)
			}
		})
	}
}

package main

// This file tests what is answered, and how connections end, at a shutdown.

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

// During a shutdown new clients are still served, and the server stops without an error once nothing is
// open.
func TestNewClientsServedDuringShutdown(t *testing.T) {
	server := newTestServer(t, "a")
	early := server.connect(t)
	testbed.Send(early, testbed.StartLine(testbed.RequestID(1), "guide-web", "silent-1", 1200))
	testbed.Wait(t, "the offer", server.workers[0].Starts)
	server.Stop()
	server.onLoop(t, func() {}) // the shutdown has begun
	late := server.connect(t)
	testbed.Send(late, testbed.StartLine(testbed.RequestID(2), "guide-web", "ok-1", 5000))
	if line := testbed.Wait(t, "the late client's response", late.Lines); line.Verb != "STARTED" {
		t.Errorf("the late client got %v", line)
	}
	if line := testbed.Wait(t, "the early client's response", early.Lines); line.Verb != "FINISH" || line.Tag != testbed.RequestID(1) {
		t.Errorf("the early client got %v", line)
	}
	if err := server.waitStopped(t); err != nil {
		t.Error(err)
	}
}

// Stopped again and again, and made to reload in the same instant, the server answers what is open once,
// by what may have become of it.
func TestRepeatedStop(t *testing.T) {
	server := startTestServer(t, serverOptions{settings: shortDeadlines(t)}, "a")
	client := server.connect(t)
	classes := []string{"guide-web", "archive-cut"}
	for i, class := range classes {
		testbed.Send(client, testbed.StartLine(testbed.RequestID(i+1), class, fmt.Sprint("silent-", i), 60_000))
		testbed.Wait(t, "the offer", server.workers[0].Starts)
	}
	server.drainOnlyWorker(t)
	for i, class := range classes { // these are never offered
		testbed.Send(client, testbed.StartLine(testbed.RequestID(i+3), class, fmt.Sprint("ok-", i), 60_000))
	}
	server.waitUntil(t, "all are open", func() bool { return server.dispatcher.OpenCount() == 4 })
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
			t.Errorf("got %v", line)
		}
		got[line.Tag] = line.Cause()
	}
	want := map[string]int{testbed.RequestID(1): causeRejected, testbed.RequestID(2): causeFailed,
		testbed.RequestID(3): causeRejected, testbed.RequestID(4): causeRejected}
	if !maps.Equal(got, want) {
		t.Errorf("answered %v, expected %v", got, want)
	}
	if err := server.waitStopped(t); err != nil {
		t.Error(err)
	}
	for line := range client.Lines { // closed
		t.Errorf("a second response: %v", line)
	}
}

// At the drain timeout the server does not stop in the turn in which it rejects what is open: slow readers
// have a moment for that.
func TestResponsesFlushedAtDrainTimeout(t *testing.T) {
	server := startTestServer(t, serverOptions{settings: shortDeadlines(t)}, "a")
	conn := newSlowReader(t, server)
	testbed.Send(conn, testbed.StartLine(testbed.RequestID(1), "archive-cut", "silent-1", 60_000))
	testbed.Wait(t, "the offer", server.workers[0].Starts)
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
		t.Fatalf("it stopped as it answered: %v", err)
	}
	if err := server.waitStopped(t); err != nil { // with nothing read
		t.Error(err)
	}
}

// At the end of the server a connection on which an attempt may be in flight is reset: what lies in it
// would else be delivered when nobody waits for it. Others are closed.
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
					t.Fatalf("the offer is %q, %v", line, err)
				}
				// Its last message comes after the offer: the cancel is written.
				testbed.Send(worker, testbed.Line{Verb: "NOTICE", Tag: testbed.RequestID(0), Opts: map[string]string{"note": "up", "value": "0"}})
			}
			server.Stop()
			if err := server.waitStopped(t); err != nil {
				t.Error(err)
			}
			if _, err := io.Copy(io.Discard, reader); errors.Is(err, syscall.ECONNRESET) != inFlight {
				t.Errorf("the connection's end is %v", err)
			}
		})
	}
}

// What is open at SIGTERM is answered before the kill comes, which depends on the longest deadline.
func TestDrainTimeout(t *testing.T) {
	for longest, want := range map[int64]int64{
		1 * second:        1_400 * millisecond,
		10 * second:       3_400 * millisecond,
		100 * millisecond: lateRequestsUs,
	} {
		settings := placement.Settings{Classes: []placement.Class{{DeadlineUs: 50 * millisecond}, {DeadlineUs: longest}}}
		t.Run(fmt.Sprintf("longest deadline %d us", longest), func(t *testing.T) {
			if got := drainTimeout(settings, maxDeadlineUs); got != want {
				t.Errorf("drain timeout after %d us, expected %d", got, want)
			}
		})
	}
}

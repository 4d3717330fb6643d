package main

// This file tests which connections of clients are evicted at the limit, and that nobody loses a
// response by it.

import (
	"bufio"
	"fmt"
	"strings"
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

// At the limit of connections one that never sent anything is evicted first, before one that has begun
// to, then one with nothing open on it that was idle for a while; one that waits for a response never is.
func TestEvictionOrderAtConnectionLimit(t *testing.T) {
	server := newSmallServer(t, "a")
	busy := server.connect(t)
	testbed.Send(busy, testbed.StartLine(testbed.RequestID(1), "guide-web", "silent-1", 3000))
	testbed.Wait(t, "the offer", server.workers[0].Starts)
	pinged := server.connect(t)
	testbed.Send(pinged, pingLine("t"))
	testbed.Wait(t, "the answer to a ping", pinged.Lines)
	writing := server.connect(t)
	request := lineBytes(t, testbed.StartLine(testbed.RequestID(3), "guide-web", "ok-3", 6000))
	write(t, writing, request[:len(request)/2])
	server.waitUntil(t, "half a request", server.clientFront.HasUndelivered)
	const silent = maxClients - 3
	closed := connectSilent(t, server, silent)
	server.waitConnections(t, maxClients)

	late := server.connect(t)
	began := time.Now()
	testbed.Send(late, testbed.StartLine(testbed.RequestID(2), "guide-web", "ok-2", 6000))
	if line := testbed.Wait(t, "the late client's response", late.Lines); line.Verb != "STARTED" {
		t.Errorf("got %v", line)
	}
	if d := time.Since(began); d > time.Second {
		t.Errorf("the late client waited %s", d)
	}

	write(t, writing, append(request[len(request)/2:], '\n'))
	if line := testbed.Wait(t, "the response to the one that writes slowly", writing.Lines); line.Verb != "STARTED" {
		t.Errorf("got %v", line)
	}
	for range silent { // all of them, in time
		testbed.Wait(t, "the end of a silent connection", closed)
	}
	if d := time.Since(began); d > 3*time.Second {
		t.Errorf("the silent ones were closed after %s", d)
	}
	if line := testbed.Wait(t, "the busy client's response", busy.Lines); line.Tag != testbed.RequestID(1) {
		t.Errorf("got %v", line)
	}
	testbed.Send(pinged, pingLine("u"))
	testbed.Wait(t, "the answer to the second ping", pinged.Lines)
}

// connectSilent connects so many clients that send nothing. Each end of a connection is sent to closed.
func connectSilent(t *testing.T, server *testServer, count int) (closed <-chan bool) {
	t.Helper()
	ends := make(chan bool, count)
	for range count {
		client := server.connect(t)
		go func() {
			for range client.Lines {
			}
			ends <- true
		}()
	}
	return ends
}

// Connections that sent one ping and stay are evicted at once; those that had a task are after a while,
// and until then the server does not stop with a connection in the system's queue.
func TestQueuedConnectionsAreServed(t *testing.T) {
	server := newSmallServer(t, "a")
	for i := range maxClients {
		client := server.connect(t)
		testbed.Send(client, pingLine(testbed.RequestID(i)))
		testbed.Wait(t, "the answer to a ping", client.Lines)
	}
	var withTask []*testbed.Client
	for i := range maxClients {
		began := time.Now()
		client := server.connect(t)
		testbed.Send(client, testbed.StartLine(testbed.RequestID(i+1), "guide-web", fmt.Sprint("ok-", i), 5000))
		if line := testbed.Wait(t, "the response", client.Lines); line.Verb != "STARTED" || time.Since(began) > 700*time.Millisecond {
			t.Errorf("got %v after %s", line, time.Since(began))
		}
		withTask = append(withTask, client)
	}
	server.Stop()
	late := server.connect(t)
	testbed.Send(late, testbed.StartLine(testbed.RequestID(99), "guide-web", "ok-99", 5000))
	if line := testbed.Wait(t, "the response to the one in the queue", late.Lines); line.Verb != "STARTED" {
		t.Errorf("got %v", line)
	}
	for line := range withTask[0].Lines { // closed
		t.Errorf("the one idle longest got %v", line)
	}
}

// A client that has not read its response yet is not evicted for one that waits for a connection.
func TestSlowReaderIsNotEvicted(t *testing.T) {
	server := newSmallServer(t, "a")
	slow := newSlowReader(t, server)
	testbed.Send(slow, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	server.waitUntil(t, "a task", func() bool { return server.dispatcher.RunningCount() == 1 })
	since := server.now(t)
	for i := range maxClients - 1 {
		testbed.Send(server.connect(t), testbed.StartLine(testbed.RequestID(10+i), "archive-cut", fmt.Sprint("silent-", i), 60_000))
	}
	server.waitUntil(t, "all are busy", func() bool { return server.dispatcher.OpenCount() == maxClients-1 })
	late := server.connect(t)
	testbed.Send(late, testbed.StartLine(testbed.RequestID(2), "guide-web", "ok-2", 9000))
	server.waitUntil(t, "it waits, for longer than an idle connection is protected", func() bool {
		return server.loop.HasQueuedConnections() && server.loop.Now() > since+1_200*millisecond
	})
	setReadTimeout(t, slow)
	scanner, started := bufio.NewScanner(slow), false
	for !started && scanner.Scan() {
		started = strings.Contains(scanner.Text(), "STARTED")
	}
	if !started {
		t.Errorf("its response never came: %v", scanner.Err())
	}
	if line := testbed.Wait(t, "the late client's response", late.Lines); line.Tag != testbed.RequestID(2) {
		t.Errorf("got %v", line)
	}
}

// A request that is written while its connection is evicted is not read there. Sent again on a new
// connection it gets a response, and only one attempt comes of it, whether it crossed the close or came
// to a connection that was closed before.
func TestRequestCrossesEviction(t *testing.T) {
	for _, test := range []struct {
		name   string
		before bool // the request is written before the close, else after it
	}{
		{"written before the close", true},
		{"written after the close", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server := newSmallServer(t, "a")
			crossing := server.connect(t)
			pingServer(t, crossing)
			for range maxClients - 1 {
				pingServer(t, server.connect(t))
			}
			evictableFrom := server.now(t) + 150*millisecond // for any of them
			server.waitUntil(t, "idle clients", func() bool { return server.loop.Now() > evictableFrom })
			request := testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000)

			if test.before {
				resume := server.pauseLoop(t)
				next := server.connect(t) // it is found first, and evicts the other
				testbed.Send(crossing, request)
				resume()
				pingServer(t, next)
			} else {
				pingServer(t, server.connect(t))
				testbed.Send(crossing, request)
			}
			for line := range crossing.Lines { // until it is closed
				t.Errorf("on the closed connection: %v", line)
			}
			if n := server.workers[0].StartCount("ok-1"); n != 0 {
				t.Fatalf("it did not cross the close: offered %d times", n)
			}

			again := server.connect(t)
			testbed.Send(again, request)
			if line := testbed.Wait(t, "the response", again.Lines); line.Verb != "STARTED" || line.Tag != testbed.RequestID(1) {
				t.Errorf("got %v", line)
			}
			pingServer(t, again) // by then a second response would have come
			if n := server.workers[0].StartCount("ok-1"); n != 1 {
				t.Errorf("offered %d times", n)
			}
		})
	}
}

// At the limit one idle connection is closed for a client that comes, and none for nobody: a client that uses its
// connection then would find it closed.
func TestNoEvictionForNobody(t *testing.T) {
	server := newSmallServer(t, "a")
	for range maxClients {
		pingServer(t, server.connect(t))
	}
	server.waitIdle(t)
	pingServer(t, server.connect(t))
	server.waitConnections(t, maxClients)
}

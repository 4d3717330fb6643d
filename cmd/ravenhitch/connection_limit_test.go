package main

// This file tests which client connections are evicted at the connection limit, and that no client loses a
// response by an eviction.

import (
	"bufio"
	"fmt"
	"strings"
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

// At the connection limit, connections that never sent anything are evicted first, before connections that have
// sent part of a message and before idle connections that have sent whole messages. A connection with an open
// request is never evicted.
func TestEvictionOrderAtConnectionLimit(t *testing.T) {
	server := newSmallServer(t, "a")
	busy := server.connect(t)
	testbed.Send(busy, testbed.StartLine(testbed.RequestID(1), "guide-web", "silent-1", 3000))
	testbed.Wait(t, "the offer", server.workers[0].Offers)
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
		t.Errorf("the late client got %v, want STARTED", line)
	}
	if d := time.Since(began); d > time.Second {
		t.Errorf("the late client waited %s for its response, want at most 1s", d)
	}

	write(t, writing, append(request[len(request)/2:], '\n'))
	if line := testbed.Wait(t, "the response to the client that writes slowly", writing.Lines); line.Verb != "STARTED" {
		t.Errorf("the client that writes slowly got %v, want STARTED", line)
	}
	for range silent { // waits until every silent connection is closed
		testbed.Wait(t, "the end of a silent connection", closed)
	}
	if d := time.Since(began); d > 3*time.Second {
		t.Errorf("the silent connections were closed after %s, want at most 3s", d)
	}
	if line := testbed.Wait(t, "the busy client's response", busy.Lines); line.Tag != testbed.RequestID(1) {
		t.Errorf("the busy client got %v, want the response to request %s", line, testbed.RequestID(1))
	}
	testbed.Send(pinged, pingLine("u"))
	testbed.Wait(t, "the answer to the second ping", pinged.Lines)
}

// connectSilent connects count clients that send nothing. The channel closed receives a value for each of these
// connections that ends.
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

// A connection that has only sent a ping is evicted for a new client after it has been idle for 100 ms. A connection
// that had a task must have been idle for 1 s. Until then, the new client waits in the kernel's accept queue. A
// shutdown waits for the clients in this queue, at most until the drain timeout.
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
			t.Errorf("client %d got %v after %s, want STARTED within 700ms", i, line, time.Since(began))
		}
		withTask = append(withTask, client)
	}
	server.Stop()
	late := server.connect(t)
	testbed.Send(late, testbed.StartLine(testbed.RequestID(99), "guide-web", "ok-99", 5000))
	if line := testbed.Wait(t, "the response to the queued client", late.Lines); line.Verb != "STARTED" {
		t.Errorf("the queued client got %v, want STARTED", line)
	}
	for line := range withTask[0].Lines { // until the connection is closed
		t.Errorf("the client that was idle longest got %v, want the end of its connection", line)
	}
}

// A client has 2.4 s to read its response. While the response is unread, the connection must have been idle for this
// time before it is evicted for a client in the accept queue. Without unread output, 1 s of idle time would suffice.
func TestSlowReaderIsNotEvicted(t *testing.T) {
	server := newSmallServer(t, "a")
	slow := newSlowReader(t, server)
	testbed.Send(slow, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	server.waitUntil(t, "a running task", func() bool { return server.dispatcher.RunningCount() == 1 })
	since := server.now(t)
	for i := range maxClients - 1 {
		testbed.Send(server.connect(t), testbed.StartLine(testbed.RequestID(10+i), "archive-cut", fmt.Sprint("silent-", i), 60_000))
	}
	server.waitUntil(t, "all other clients busy", func() bool { return server.dispatcher.OpenCount() == maxClients-1 })
	late := server.connect(t)
	testbed.Send(late, testbed.StartLine(testbed.RequestID(2), "guide-web", "ok-2", 9000))
	server.waitUntil(t, "a queued client, 1.2 s after the slow reader's task started", func() bool {
		return server.loop.HasQueuedConnections() && server.loop.Now() > since+1_200*millisecond
	})
	setReadTimeout(t, slow)
	scanner, started := bufio.NewScanner(slow), false
	for !started && scanner.Scan() {
		started = strings.Contains(scanner.Text(), "STARTED")
	}
	if !started {
		t.Errorf("the slow reader got no STARTED response: %v", scanner.Err())
	}
	if line := testbed.Wait(t, "the late client's response", late.Lines); line.Tag != testbed.RequestID(2) {
		t.Errorf("the late client got %v, want the response to request %s", line, testbed.RequestID(2))
	}
}

// A request that is written while its connection is evicted is not read. When the client sends it again on
// a new connection, it gets one response and is offered once, whether it was first written just before
// the close or just after it.
func TestRequestCrossesEviction(t *testing.T) {
	for _, test := range []struct {
		name   string
		before bool // true if the request is written before the close, false if after it
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
			// From this time on, each connection has been idle long enough to be evicted.
			evictableFrom := server.now(t) + 150*millisecond
			server.waitUntil(t, "clients idle for 150 ms", func() bool { return server.loop.Now() > evictableFrom })
			request := testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000)

			if test.before {
				resume := server.pauseLoop(t)
				// When the loop resumes, the server accepts the new connection before it reads the request. To
				// make room, it evicts the connection on which the request was written.
				next := server.connect(t)
				testbed.Send(crossing, request)
				resume()
				pingServer(t, next)
			} else {
				pingServer(t, server.connect(t))
				testbed.Send(crossing, request)
			}
			for line := range crossing.Lines { // until the connection is closed
				t.Errorf("the evicted client got %v, want the end of its connection", line)
			}
			if n := server.workers[0].OfferCount("ok-1"); n != 0 {
				t.Fatalf("the request on the evicted connection was offered %d times, want none", n)
			}

			again := server.connect(t)
			testbed.Send(again, request)
			if line := testbed.Wait(t, "the response", again.Lines); line.Verb != "STARTED" || line.Tag != testbed.RequestID(1) {
				t.Errorf("the repeated request got %v, want STARTED for %s", line, testbed.RequestID(1))
			}
			pingServer(t, again) // a second response would arrive before the answer to the ping
			if n := server.workers[0].OfferCount("ok-1"); n != 1 {
				t.Errorf("the task was offered %d times, want once", n)
			}
		})
	}
}

// At the connection limit, one idle connection is evicted for each new client. Without a new client, no connection
// is evicted. Such an eviction would make room for nobody, and the evicted client might be about to send a request.
func TestNoEvictionForNobody(t *testing.T) {
	server := newSmallServer(t, "a")
	for range maxClients {
		pingServer(t, server.connect(t))
	}
	server.waitIdle(t)
	pingServer(t, server.connect(t))
	server.waitConnections(t, maxClients)
}

package main

// This file tests that a shutdown waits for unfinished work. Each test case begins the work and finishes it later by an
// action of its own, such as sending a message. No work is finished by the passing of time.

import (
	"bufio"
	"strings"
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

// A shutdown waits for the work that is unfinished when the server is stopped, even after lateRequestsUs, the time in
// which requests still arrive.
func TestShutdownWaitsForUnfinishedWork(t *testing.T) {
	for _, test := range []struct {
		name string
		// withoutSuccessor is true if the work can only be finished on a new connection of a client. With a
		// successor, new clients connect to the successor, so the test case runs only without one.
		withoutSuccessor bool
		// begin leaves some work unfinished and returns the function that finishes it.
		begin func(t *testing.T, server *testServer) (finish func())
	}{
		{"half a request was received", false, beginPartialRequest},
		{"a response waits behind unread output", false, beginUnreadResponse},
		{"a release was not confirmed", false, beginUnconfirmedRelease},
		{"a completion has found no client", true, beginUnreportedCompletion},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			expectShutdownWaits(t, test.begin, false)
		})
		if !test.withoutSuccessor {
			t.Run(test.name+", with a successor", func(t *testing.T) {
				t.Parallel()
				expectShutdownWaits(t, test.begin, true)
			})
		}
	}
}

func beginPartialRequest(t *testing.T, server *testServer) func() {
	client := server.connect(t)
	request := lineBytes(t, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	pingServer(t, client)
	write(t, client, request[:len(request)/2])
	server.waitUntil(t, "half a request", server.clientFront.HasUndelivered)
	return func() {
		write(t, client, append(request[len(request)/2:], '\n'))
		if line := testbed.Wait(t, "the response", client.Lines); line.Verb != "STARTED" {
			t.Errorf("response: got %v, want STARTED", line)
		}
	}
}

func beginUnreadResponse(t *testing.T, server *testServer) func() {
	conn := newSlowReader(t, server)
	testbed.Send(conn, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	server.waitUntil(t, "a running task", func() bool { return server.dispatcher.RunningCount() == 1 })
	return func() {
		setReadTimeout(t, conn)
		for scanner := bufio.NewScanner(conn); scanner.Scan(); {
			if strings.Contains(scanner.Text(), "STARTED") {
				return
			}
		}
		t.Error("the connection ended or timed out without the response")
	}
}

func beginUnconfirmedRelease(t *testing.T, server *testServer) func() {
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
	if line := testbed.Wait(t, "the response", client.Lines); line.Verb != "STARTED" {
		t.Fatalf("response: got %v, want STARTED", line)
	}
	server.workers[0].BecomeUnreachable()
	testbed.Send(client, cancelLine(testbed.RequestID(1)))
	pingServer(t, client)
	return func() { server.workers[0].ReportCompletion(testbed.RequestID(1), codeReleased) }
}

func beginUnreportedCompletion(t *testing.T, server *testServer) func() {
	client := server.connect(t)
	testbed.Send(client, adoptedLine(testbed.RequestID(1), "a"))
	pingServer(t, client)
	closeNow(t, client)
	server.waitConnections(t, 0)
	server.workers[0].ReportCompletion(testbed.RequestID(1), codeDone)
	server.waitUntil(t, "the completion at the server", server.clientFront.HasUndelivered)
	return func() {
		next := server.connect(t)
		testbed.Send(next, pingLine("t"))
		expectCode(t, "the completion", next, testbed.RequestID(1), codeDone)
	}
}

// expectShutdownWaits stops a server that has unfinished work, and checks that it runs until the work is finished.
// successor is true if the server has a successor on an inherited listening socket.
func expectShutdownWaits(t *testing.T, begin func(*testing.T, *testServer) func(), successor bool) {
	t.Helper()
	server := newTestServer(t, "a")
	finish := begin(t, server)
	stoppedAt := int64(0)
	server.onLoop(t, func() {
		server.inheritedListener, server.hasSuccessor = successor, successor
		stoppedAt = server.loop.Now()
	})
	server.Stop()

	ages := make(chan int64, 1)
	limit := time.Now().Add(testbed.Timeout)
	for age := int64(0); age < lateRequestsUs+100*millisecond; {
		select {
		case err := <-server.runResult:
			t.Fatalf("the server stopped with the work unfinished: %v", err)
		case <-time.After(time.Millisecond):
		}
		if time.Now().After(limit) {
			t.Fatal("the event loop's clock did not advance by lateRequestsUs and 100 ms within testbed.Timeout")
		}
		server.loop.Post(func() { ages <- server.loop.Now() - stoppedAt })
		select {
		case age = <-ages:
		case err := <-server.runResult:
			t.Fatalf("the server stopped with the work unfinished: %v", err)
		}
	}
	finish()
	if err := server.waitStopped(t); err != nil {
		t.Error(err)
	}
}

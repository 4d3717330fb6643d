package main

// This file tests that no attempt begins for a client that has left, by disconnecting or by cancelling its request.
// The client leaves at each point where its request can wait.

import (
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

// maxLateAttempt is the time, counted from the moment at which a client left, after which no attempt may begin for
// its request. The server stays within this time because of maxClientLastSeenAge in package workerpool.
const maxLateAttempt = 100 * time.Millisecond

// leaverID is the request ID of the client that leaves.
var leaverID = testbed.RequestID(0xbeef)

// leaverLine returns the submission of the client that leaves.
func leaverLine(task string) testbed.Line {
	return testbed.StartLine(leaverID, "guide-web", task, 8000)
}

// leaveMethod is one way in which a client leaves while its request is open.
type leaveMethod struct {
	name  string
	leave func(t *testing.T, client *testbed.Client)
}

// waitingRequest describes one point at which a request can wait. begin submits the client's request, makes it wait
// at this point, and returns the function end. end ends the wait, or does nothing if the wait ends by itself.
type waitingRequest struct {
	name    string
	workers []string
	// leaveUnread is true if the server reads the client's disconnect or cancel only after the wait has ended.
	leaveUnread bool
	begin       func(t *testing.T, server *proxiedServer, client *testbed.Client) (end func())
}

var waitingRequests = []waitingRequest{
	{"for a worker that takes offers", []string{"a"}, false, waitForFreeWorker},
	{"for the confirmation that its last attempt is cancelled", []string{"a", "b"}, false, waitForCancelConfirmation},
	{"for a connection that comes up late", []string{"a"}, false, waitForConnection},
	{"for a connection that comes up in the turn in which the leave is read", []string{"a"}, true, waitForConnectionInLeaveTurn},
	{"for the rest of a long turn", []string{"a"}, true, waitForLongTurn},
	{"to be read", []string{"a"}, true, func(t *testing.T, server *proxiedServer, client *testbed.Client) func() {
		resume := server.pauseLoop(t)
		testbed.Send(client, leaverLine("ok-leaver"))
		return resume
	}},
	{"behind responses that its client has not read", []string{"a"}, false, func(t *testing.T, server *proxiedServer, client *testbed.Client) func() {
		server.drainOnlyWorker(t)
		client.Conn = newSlowReader(t, server.testServer)
		server.submitLeaver(t, client)
		return server.undrainOnlyWorker
	}},
}

func waitForFreeWorker(t *testing.T, server *proxiedServer, client *testbed.Client) func() {
	server.drainOnlyWorker(t)
	server.submitLeaver(t, client)
	return server.undrainOnlyWorker
}

func waitForCancelConfirmation(t *testing.T, server *proxiedServer, client *testbed.Client) func() {
	testbed.Send(client, leaverLine("missed-leaver"))
	server.eventually(t, "the first attempt", func() bool { return server.attempts.OfferCount(leaverID) == 1 })
	// If a worker has sent a notice since the offer, the server sends it a cancel; otherwise the server would
	// close the connection. The delay of data to the worker postpones the confirmation of the cancel.
	for _, worker := range server.workers {
		worker.SendNotice()
		server.proxies[worker.Name].Delay(80 * time.Millisecond)
	}
	server.waitUntil(t, "an unconfirmed cancel", func() bool { return server.pool.UnconfirmedCancels() > 0 })
	return func() {}
}

func waitForConnection(t *testing.T, server *proxiedServer, client *testbed.Client) func() {
	proxy := server.moveBehindCutProxy(t)
	server.submitLeaver(t, client)
	return func() { proxy.Heal(t) }
}

func waitForConnectionInLeaveTurn(t *testing.T, server *proxiedServer, client *testbed.Client) func() {
	proxy := server.moveBehindCutProxy(t)
	server.submitLeaver(t, client)
	resume := server.pauseLoop(t)
	before, _ := server.workers[0].DialCounts()
	proxy.Heal(t)
	server.eventually(t, "the connection", func() bool {
		dials, _ := server.workers[0].DialCounts()
		return dials > before
	})
	return resume
}

func waitForLongTurn(t *testing.T, server *proxiedServer, client *testbed.Client) func() {
	resumeBefore := server.pauseLoop(t)
	testbed.Send(client, leaverLine("ok-leaver"))
	wasRead, resumed := make(chan bool), make(chan bool)
	server.loop.Post(func() { // runs in the turn in which the server reads the request
		wasRead <- server.dispatcher.OpenCount() == 1
		<-resumed
	})
	resumeBefore()
	if !testbed.Wait(t, "the turn that reads the request", wasRead) {
		t.Fatal("the request was not read in the turn after the pause")
	}
	return func() { resumed <- true }
}

// submitLeaver submits the request of the client that will leave, and waits until the request is open.
func (s *proxiedServer) submitLeaver(t *testing.T, client *testbed.Client) {
	t.Helper()
	testbed.Send(client, leaverLine("ok-leaver"))
	s.waitUntil(t, "the request", func() bool { return s.dispatcher.OpenCount() == 1 })
}

// waitMaxLateAttempt waits for maxLateAttempt while the event loop is paused within a turn. The turn
// therefore lasts longer than maxLateAttempt.
func (s *proxiedServer) waitMaxLateAttempt() {
	for began := time.Now(); time.Since(began) < maxLateAttempt; time.Sleep(time.Millisecond) {
	}
}

// No attempt begins for a client that has left, wherever its request waits and however the client leaves. The test
// logs the time from the moment at which the client left until the last offer of the request arrived at a worker. The
// time is negative if the offer arrived before the client left.
func TestNoAttemptAfterClientLeft(t *testing.T) {
	for _, test := range waitingRequests {
		for _, method := range []leaveMethod{
			{"closes", func(t *testing.T, client *testbed.Client) { closeNow(t, client) }},
			{"resets", reset},
			{"cancels", func(_ *testing.T, client *testbed.Client) {
				testbed.Send(client, cancelLine(leaverID))
			}},
		} {
			t.Run(test.name+", "+method.name, func(t *testing.T) {
				t.Parallel()
				server := newSlowDialServer(t, test.workers)
				client := server.connect(t)
				end := test.begin(t, server, client)
				attempts := server.attempts.OfferCount(leaverID)

				left := time.Now()
				if method.leave(t, client); test.leaveUnread {
					server.waitMaxLateAttempt()
				} else {
					server.waitUntil(t, "the end of the open request", func() bool { return server.dispatcher.OpenCount() == 0 })
				}
				end()

				server.waitUntil(t, "no unconfirmed cancel", func() bool { return server.pool.UnconfirmedCancels() == 0 })
				server.expectAllStarted(t, server.submit("ok", 1, 8000)) // a late attempt would arrive before this response
				if n := server.attempts.OfferCount(leaverID) - attempts; n > 0 {
					t.Errorf("%d attempts began after the client had left, want none; the last began %s after the leave",
						n, server.attempts.LastOfferAt(leaverID).Sub(left))
				}
				if last := server.attempts.LastOfferAt(leaverID); !last.IsZero() {
					t.Logf("from the leave to the arrival of the last offer: %s", last.Sub(left))
				}
			})
		}
	}
}

// newSlowDialServer starts a server with a long dial timeout for connections to workers, and starts tasks on
// the workers.
func newSlowDialServer(t *testing.T, workers []string) *proxiedServer {
	t.Helper()
	server := newProxiedServer(t, longDialTimeout(t), nil, workers...)
	server.expectAllStarted(t, server.submit("ok", 1, 8000))
	// From the answers to these tasks, the server learns how fast the workers answer. It therefore abandons an
	// unanswered attempt early, and it permits more unanswered attempts at each worker, so the next offers are
	// sent at once.
	server.expectAllStarted(t, server.submit("ok", 16*len(workers), 8000))
	return server
}

// No offer is sent for a request whose client left while the request waited, however the client left and whatever
// the request waited for.
func TestNoOfferForCancelledRequest(t *testing.T) {
	for _, test := range []struct {
		name string
		// begin makes further requests wait. They wait until the test calls end, the function that begin returns.
		begin func(t *testing.T, server *testServer) (end func())
		read  bool // true if the server reads requests during the wait
	}{
		{"for a worker that takes offers", func(t *testing.T, server *testServer) func() {
			server.drainOnlyWorker(t)
			return server.undrainOnlyWorker
		}, true},
		{"for a connection that comes up late", func(t *testing.T, server *testServer) func() {
			proxy := server.moveBehindCutProxy(t)
			return func() { proxy.Heal(t) }
		}, true},
		{"to be read", func(t *testing.T, server *testServer) func() { return server.pauseLoop(t) }, false},
	} {
		for _, method := range []leaveMethod{
			{"by a cancel", func(_ *testing.T, client *testbed.Client) {
				testbed.Send(client, cancelLine(testbed.RequestID(1)))
			}},
			{"by close", func(t *testing.T, client *testbed.Client) { closeNow(t, client) }},
			{"by reset", reset},
			{"by half-close", closeWrite},
		} {
			t.Run(test.name+", "+method.name, func(t *testing.T) {
				t.Parallel()
				server := startTestServer(t, serverOptions{settings: longDialTimeout(t)}, "a")
				server.waitUntil(t, "a connection to the worker", func() bool {
					dials, _ := server.workers[0].DialCounts()
					return dials > 0
				})
				end := test.begin(t, server)
				client := server.connect(t)
				testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
				if test.read {
					server.waitUntil(t, "the request", func() bool { return server.dispatcher.OpenCount() == 1 })
				}
				if method.leave(t, client); test.read {
					server.waitUntil(t, "the end of the open request", func() bool { return server.dispatcher.OpenCount() == 0 })
				}
				end()
				expectOnlyNextIsOffered(t, server)
			})
		}
	}
}

// expectOnlyNextIsOffered submits another request and fails the test unless it is the only request that is offered.
func expectOnlyNextIsOffered(t *testing.T, server *testServer) {
	t.Helper()
	next := server.connect(t)
	testbed.Send(next, testbed.StartLine(testbed.RequestID(2), "guide-web", "ok-2", 5000))
	if line := testbed.Wait(t, "the offer", server.workers[0].Offers); line.Tag != testbed.RequestID(2) {
		t.Errorf("request %s was offered, want %s", line.Tag, testbed.RequestID(2))
	}
	if line := testbed.Wait(t, "the response", next.Lines); line.Verb != "STARTED" {
		t.Errorf("the next request got %v, want STARTED", line)
	}
	if n := len(server.workers[0].Offers); n > 0 {
		t.Errorf("%d further offers, want none", n)
	}
}

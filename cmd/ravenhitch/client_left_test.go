package main

// This file lets clients leave at each place where a request can wait: no attempt may begin for a client
// that has left.

import (
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

// maxLateAttempt is for how long a client may have left when an attempt begins, by the rules.
const maxLateAttempt = 100 * time.Millisecond

// leaverID is the request of the client that leaves.
var leaverID = testbed.RequestID(0xbeef)

// leaverLine is the submission of the client that leaves.
func leaverLine(task string) testbed.Line {
	return testbed.StartLine(leaverID, "guide-web", task, 8000)
}

// leaveMethod is how a client leaves with its request open.
type leaveMethod struct {
	name  string
	leave func(t *testing.T, client *testbed.Client)
}

// waitingRequest is one place where a request can wait: begin submits the client's request so that it
// waits there, and returns how the wait ends.
type waitingRequest struct {
	name    string
	workers []string
	// leaveUnread says that the client's leave is read only once the wait has ended.
	leaveUnread bool
	begin       func(t *testing.T, server *proxiedServer, client *testbed.Client) (end func())
}

var waitingRequests = []waitingRequest{
	{"for a worker that takes offers", []string{"a"}, false, waitForFreeWorker},
	{"between attempts, as the last one is not confirmed to be cancelled", []string{"a", "b"}, false, waitForCancelConfirmation},
	{"for a connection that comes up late", []string{"a"}, false, waitForConnection},
	{"for a connection that comes up in the turn in which the leave is read", []string{"a"}, true, waitForConnectionInThatTurn},
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
	server.eventually(t, "the first attempt", func() bool { return server.attempts.Count(leaverID) == 1 })
	for _, worker := range server.workers { // the first attempt's cancel is written, and has to be confirmed
		worker.SendNotice()
		server.proxies[worker.Name].Delay(80 * time.Millisecond)
	}
	server.waitUntil(t, "its cancel in flight", func() bool { return server.pool.UnconfirmedCancels() > 0 })
	return func() {}
}

func waitForConnection(t *testing.T, server *proxiedServer, client *testbed.Client) func() {
	proxy := server.moveBehindCutProxy(t)
	server.submitLeaver(t, client)
	return func() { proxy.Heal(t) }
}

func waitForConnectionInThatTurn(t *testing.T, server *proxiedServer, client *testbed.Client) func() {
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
	server.loop.Post(func() { // in the turn that reads it
		wasRead <- server.dispatcher.OpenCount() == 1
		<-resumed
	})
	resumeBefore()
	if !testbed.Wait(t, "the turn", wasRead) {
		t.Fatal("the request was not read in that turn")
	}
	return func() { resumed <- true }
}

// submitLeaver submits the request of the client that leaves, and waits until it is open.
func (s *proxiedServer) submitLeaver(t *testing.T, client *testbed.Client) {
	t.Helper()
	testbed.Send(client, leaverLine("ok-leaver"))
	s.waitUntil(t, "the request", func() bool { return s.dispatcher.OpenCount() == 1 })
}

// outlastMaxDelay lets the turn that is paused last longer than a client may have left.
func (s *proxiedServer) outlastMaxDelay() {
	for began := time.Now(); time.Since(began) < maxLateAttempt; time.Sleep(time.Millisecond) {
	}
}

// No attempt begins for a client that has left, wherever its request waited and however it left. The
// time to the last attempt's first byte is logged; below zero it came before.
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
				attempts := server.attempts.Count(leaverID)

				left := time.Now()
				if method.leave(t, client); test.leaveUnread {
					server.outlastMaxDelay()
				} else {
					server.waitUntil(t, "the leave is read", func() bool { return server.dispatcher.OpenCount() == 0 })
				}
				end()

				server.waitUntil(t, "all cancels are confirmed", func() bool { return server.pool.UnconfirmedCancels() == 0 })
				server.expectAllStarted(t, server.submit("ok", 1, 8000)) // by then what was to leave has left
				if n := server.attempts.Count(leaverID) - attempts; n > 0 {
					t.Errorf("%d attempts began after the client had left, the last %s after", n, server.attempts.Last(leaverID).Sub(left))
				}
				if last := server.attempts.Last(leaverID); !last.IsZero() {
					t.Logf("from the leave to the last attempt's first byte: %s", last.Sub(left))
				}
			})
		}
	}
}

// newSlowDialServer starts a server where connections to workers may take long to come up.
func newSlowDialServer(t *testing.T, workers []string) *proxiedServer {
	t.Helper()
	server := newProxiedServer(t, longDialTimeout(t), nil, workers...)
	server.expectAllStarted(t, server.submit("ok", 1, 8000))
	server.expectAllStarted(t, server.submit("ok", 16*len(workers), 8000)) // what is new to a worker waits no longer
	return server
}

// Nothing goes out for a request whose client left while it waited, however it left and whatever it
// waited for.
func TestNoOfferForCancelledRequest(t *testing.T) {
	for _, test := range []struct {
		name string
		// begin makes requests wait from now on, until end is called.
		begin func(t *testing.T, server *testServer) (end func())
		read  bool // the requests are read meanwhile
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
			{"by half a close", closeWrite},
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
					server.waitUntil(t, "it left", func() bool { return server.dispatcher.OpenCount() == 0 })
				}
				end()
				expectOnlyNextIsOffered(t, server)
			})
		}
	}
}

// expectOnlyNextIsOffered submits a further request, the only one that may be offered.
func expectOnlyNextIsOffered(t *testing.T, server *testServer) {
	t.Helper()
	next := server.connect(t)
	testbed.Send(next, testbed.StartLine(testbed.RequestID(2), "guide-web", "ok-2", 5000))
	if line := testbed.Wait(t, "the offer", server.workers[0].Starts); line.Tag != testbed.RequestID(2) {
		t.Errorf("%s was offered", line.Tag)
	}
	if line := testbed.Wait(t, "the response", next.Lines); line.Verb != "STARTED" {
		t.Errorf("got %v", line)
	}
	if n := len(server.workers[0].Starts); n > 0 {
		t.Errorf("%d offers more", n)
	}
}

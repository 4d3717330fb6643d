package main

// This file lets clients leave at each place where a request can wait, and measures the
// time from there to the last attempt's first byte: no attempt may begin for who has gone.

import (
	"net"
	"testing"
	"time"

	"log/slog"

	"ravenhitch/internal/config"
	"ravenhitch/internal/testbed"
)

// maxLateAttempt is for how long a client may have been gone when an attempt begins, by the rules.
const maxLateAttempt = 100 * time.Millisecond

// waitingRequest is one place where a request can wait: hold brings it about that the client's
// request waits there, and returns how the wait ends.
type waitingRequest struct {
	name    string
	workers []string
	// leaveUnread says that the client's leave is read only once the wait has ended.
	leaveUnread bool
	begin   func(t *testing.T, server *proxiedServer, client *testbed.Client) (end func())
}

// pauseLoop stops the loop at the point of a turn where what came in is read and nothing is
// decided yet. The turn ends when the returned function is called.
func (f *proxiedServer) pauseLoop(t *testing.T) (end func()) {
	t.Helper()
	here, on := make(chan bool), make(chan bool)
	f.loop.Post(func() {
		here <- true
		<-on
	})
	testbed.Wait(t, "the loop stands", here)
	return func() { on <- true }
}

// outlastMaxDelay lets the turn that stands last longer than a client may have been gone.
func (f *proxiedServer) outlastMaxDelay() {
	for began := time.Now(); time.Since(began) < maxLateAttempt; time.Sleep(time.Millisecond) {
	}
}

var waitingRequests = []waitingRequest{
	{"for a worker that takes offers", []string{"a"}, false, func(t *testing.T, server *proxiedServer, client *testbed.Client) func() {
		server.discovery.Add(false, server.workers[0].ListEntry("draining"))
		server.discovery.WaitPolled(t)
		testbed.Send(client, leaverLine("ok-leaver"))
		server.waitUntil(t, "the request", func() bool { return server.dispatcher.OpenCount() == 1 })
		return func() { server.discovery.Add(false, server.workers[0].ListEntry("up")) }
	}},
	{"between attempts, as the last one is not known to be over", []string{"a", "b"}, false, func(t *testing.T, server *proxiedServer, client *testbed.Client) func() {
		testbed.Send(client, leaverLine("missed-leaver"))
		server.eventually(t, "the first attempt", func() bool { return server.attempts.Count(leaverID) == 1 })
		for _, worker := range server.workers { // the first attempt's end is written, and has to be proved
			worker.Note()
			server.proxies[worker.Name].Delay(80 * time.Millisecond)
		}
		server.waitUntil(t, "its end is under way", func() bool { return server.pool.UnconfirmedCancels() > 0 })
		return func() {}
	}},
	{"for a connection that comes up late", []string{"a"}, false, func(t *testing.T, server *proxiedServer, client *testbed.Client) func() {
		link := server.moveBehindCutProxy(t)
		testbed.Send(client, leaverLine("ok-leaver"))
		server.waitUntil(t, "the request", func() bool { return server.dispatcher.OpenCount() == 1 })
		return func() { link.Heal(t) }
	}},
	{"for a connection that comes up in the turn in which the leave is read", []string{"a"}, true, func(t *testing.T, server *proxiedServer, client *testbed.Client) func() {
		link := server.moveBehindCutProxy(t)
		testbed.Send(client, leaverLine("ok-leaver"))
		server.waitUntil(t, "the request", func() bool { return server.dispatcher.OpenCount() == 1 })
		end := server.pauseLoop(t)
		before, _ := server.workers[0].DialCounts()
		link.Heal(t)
		server.eventually(t, "the connection", func() bool { n, _ := server.workers[0].DialCounts(); return n > before })
		return end
	}},
	{"for the rest of a long turn", []string{"a"}, true, func(t *testing.T, server *proxiedServer, client *testbed.Client) func() {
		first := server.pauseLoop(t)
		testbed.Send(client, leaverLine("ok-leaver"))
		here, on := make(chan bool), make(chan bool)
		server.loop.Post(func() { // in the turn that reads it
			here <- server.dispatcher.OpenCount() == 1
			<-on
		})
		first()
		if !testbed.Wait(t, "the turn", here) {
			t.Fatal("the request was not read in that turn")
		}
		return func() { on <- true }
	}},
	{"to be read", []string{"a"}, true, func(t *testing.T, server *proxiedServer, client *testbed.Client) func() {
		end := server.pauseLoop(t)
		testbed.Send(client, leaverLine("ok-leaver"))
		return end
	}},
	{"behind answers that its client has not read", []string{"a"}, false, func(t *testing.T, server *proxiedServer, client *testbed.Client) func() {
		server.discovery.Add(false, server.workers[0].ListEntry("draining"))
		server.discovery.WaitPolled(t)
		client.Conn = newSlowReader(t, server.testServer)
		testbed.Send(client, leaverLine("ok-leaver"))
		server.waitUntil(t, "the request", func() bool { return server.dispatcher.OpenCount() == 1 })
		return func() { server.discovery.Add(false, server.workers[0].ListEntry("up")) }
	}},
}

var leaverID = testbed.RequestID(0xbeef)

func leaverLine(task string) testbed.Line { return testbed.StartLine(leaverID, "guide-web", task, 8000) }

// moveBehindCutProxy moves the only worker to an address whose connections do not come up.
func (f *proxiedServer) moveBehindCutProxy(t *testing.T) *testbed.Proxy {
	t.Helper()
	link := testbed.NewProxy(t, f.workers[0])
	link.Cut(t)
	f.discovery.Add(false, f.workers[0].ListEntry("up"))
	f.discovery.WaitPolled(t)
	return link
}

// No attempt begins for a client that has gone, wherever its request waited and however it
// left. The time to the last attempt's first byte is logged; below zero it came before.
func TestNoAttemptAfterClientLeft(t *testing.T) {
	for _, test := range waitingRequests {
		for _, way := range []struct {
			name  string
			leave func(client *testbed.Client)
		}{
			{"closes", func(client *testbed.Client) { client.Close() }},
			{"resets", func(client *testbed.Client) { client.Conn.(*net.TCPConn).SetLinger(0); client.Close() }},
			{"cancels", func(client *testbed.Client) { testbed.Send(client, testbed.FinishLine("FINISH", leaverID, 16)) }},
		} {
			t.Run(test.name+", "+way.name, func(t *testing.T) {
				t.Parallel()
				server := newSlowDialServer(t, test.workers)
				client := server.testServer.connect(t)
				end := test.begin(t, server, client)
				tried := server.attempts.Count(leaverID)
				left := time.Now()
				if way.leave(client); test.leaveUnread {
					server.outlastMaxDelay()
				} else {
					server.waitUntil(t, "the leave is read", func() bool { return server.dispatcher.OpenCount() == 0 })
				}
				end()
				server.waitUntil(t, "all ends are proved", func() bool { return server.pool.UnconfirmedCancels() == 0 })
				server.expectAllStarted(t, server.submit("ok", 1, 8000)) // by then what was to leave has left
				if n := server.attempts.Count(leaverID) - tried; n > 0 {
					t.Errorf("%d attempts began after the client had gone, the last %s after", n, server.attempts.Last(leaverID).Sub(left))
				}
				if last := server.attempts.Last(leaverID); !last.IsZero() {
					t.Logf("from the leave to the last attempt's first byte: %s", last.Sub(left))
				}
			})
		}
	}
}

// newSlowDialServer is a field where connections to workers may take long to come up.
func newSlowDialServer(t *testing.T, minions []string) *proxiedServer {
	server := &proxiedServer{proxies: map[string]*testbed.Proxy{}, attempts: testbed.NewAttemptLog(), firstResponses: map[string]string{}}
	server.testServer = newServerSet(t, changedSettings(t, settingChange{"Limits.DialTimeoutUs", 10_000_000}), config.Operators{}, 1024,
		slog.New(slog.DiscardHandler), func(worker *testbed.Worker) {
			worker.Attempts = server.attempts
			server.proxies[worker.Name] = testbed.NewProxy(t, worker)
		}, minions...)
	server.Client = server.testServer.connect(t)
	server.expectAllStarted(t, server.submit("ok", 1, 8000))
	server.expectAllStarted(t, server.submit("ok", 16*len(minions), 8000)) // what is new to a worker waits no longer
	return server
}

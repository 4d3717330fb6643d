package main

// This file tests attempts and tasks that end while the connection to their worker fails.

import (
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

// At most one attempt of a request is in flight at a time. Completions and releases that occur while a
// connection fails are delivered once the worker is reachable again.
func TestFailingLinks(t *testing.T) {
	for _, test := range []struct {
		name    string
		workers []string
		play    func(t *testing.T, server *proxiedServer)
	}{
		{"many abandoned at once, with a delay to half of the workers", strings.Fields("a b c d e f g h i j k l"), manyAbandonedAtOnce},
		{"abandoned one by one, with a delay to all workers", []string{"a", "b"}, abandonedOneByOne},
		{"cut between the worker's last message and the cancel", []string{"a", "b", "c"}, cutBeforeCancel},
		{"offered during a partition that heals", []string{"a", "b"}, offeredDuringPartition},
		{"cancelled during a partition", []string{"a", "b"}, cancelledDuringPartition},
		{"moved to another address", []string{"a", "b"}, movedToAnotherAddress},
		{"shut down, with a link cut", []string{"a", "b"}, shutDownWithLinkCut},
		{"released during a partition that heals", []string{"a", "b"}, releasedDuringPartition},
		{"completed on a connection that is gone", []string{"a", "b"}, completedOnClosedConnection},
		{"completed as an older connection is closed", []string{"a"}, completedDuringClose},
	} {
		t.Run(test.name, func(t *testing.T) {
			trace := newTraceRecorder()
			server := newWarmProxiedServer(t, settingsJSON, slog.New(trace), test.workers...)
			test.play(t, server)
			server.eventually(t, "the end of all attempts whose clients got a FINISH", func() bool {
				return !slices.ContainsFunc(server.attempts.InFlight(), func(id string) bool { return server.firstResponses[id] == "FINISH" })
			})
			trace.expectNoEarlyOffers(t)
			server.expectNoDuplicates(t)
		})
	}
}

// Messages to half of the workers are delayed. A cancel to one of these workers may therefore arrive later than the
// next offer of the same request to another worker. That offer must wait until the cancel has been read.
func manyAbandonedAtOnce(t *testing.T, server *proxiedServer) {
	for _, worker := range server.workers[:6] {
		server.proxies[worker.Name].Delay(30 * time.Millisecond)
	}
	missed := server.submit("missed", 60, 2000) // five requests per worker on average
	server.sendNoticesOnceOffered(t, missed)
	server.expectAllStarted(t, missed)
}

// The server sends a ping after the first cancel. The answer to the ping confirms this cancel. The server sends
// further cancels while the ping is in flight, and these must be confirmed too.
func abandonedOneByOne(t *testing.T, server *proxiedServer) {
	for _, proxy := range server.proxies {
		proxy.Delay(80 * time.Millisecond)
	}
	var missed []string
	for range 6 {
		missed = append(missed, server.submit("missed", 1, 2000)...)
		time.Sleep(20 * time.Millisecond)
	}
	server.expectAllStarted(t, missed)
}

// A connection is cut after the worker's last message, so the cancel never arrives. The cut must hit a worker
// that has an attempt. The scheduler chooses at random among equal workers, so worker a may have no attempt.
// A test that always cut the connection to worker a would then cut one on which no cancel is sent. A request whose second
// attempt is offered into the cut needs a third worker, as no worker gets it twice.
func cutBeforeCancel(t *testing.T, server *proxiedServer) {
	missed := server.submit("missed", 4, 2000)
	server.sendNoticesOnceOffered(t, missed)
	hasAttempt := func(worker *testbed.Worker) bool { return len(server.attempts.InFlightAt(worker.Name)) > 0 }
	cut := server.workers[slices.IndexFunc(server.workers, hasAttempt)]
	server.proxies[cut.Name].Partition(t)
	server.expectAllStarted(t, missed)
}

// An offer that was written during a partition must not arrive after the partition, because the task already
// runs on another worker.
func offeredDuringPartition(t *testing.T, server *proxiedServer) {
	server.proxies["a"].Partition(t)
	server.expectAllStarted(t, server.submit("ok", 40, 5000))
	server.proxies["a"].Heal(t)
	server.waitRunningAt(t, "a")
}

// A worker is partitioned after it has sent a message. A client then cancels the requests that are open at this
// worker. The client may submit them to another orchestrator, so the attempts must not stay in flight for long.
func cancelledDuringPartition(t *testing.T, server *proxiedServer) {
	silent := server.submit("silent", 4, 60_000)
	server.sendNoticesOnceOffered(t, silent)
	server.proxies["a"].Partition(t)
	for _, id := range silent {
		testbed.Send(server, cancelLine(id))
	}
	server.waitNoOpenAttempt(t)
}

// When a worker moves to another address, its open attempts at the old address end first. Only then does the
// server offer their requests again, to any worker.
func movedToAnotherAddress(t *testing.T, server *proxiedServer) {
	missed := server.submit("missed", 4, 3000)
	server.sendNoticesOnceOffered(t, missed)
	next := testbed.NewWorker(t, "a")
	next.RecordAttempts(server.attempts)
	server.discovery.Add(false, next.ListEntry("up"))
	server.expectAllStarted(t, missed)
}

// At a shutdown, open attempts are cancelled before their clients get a response.
func shutDownWithLinkCut(t *testing.T, server *proxiedServer) {
	silent := server.submit("silent", 4, 60_000)
	server.sendNoticesOnceOffered(t, silent)
	server.proxies["a"].Partition(t)
	server.Stop()
	server.waitResponses(t, silent)
}

// A release is sent again if the connection on which it was written has closed.
func releasedDuringPartition(t *testing.T, server *proxiedServer) {
	id := server.attempts.Running("a")[0]
	server.proxies["a"].Partition(t)
	testbed.Send(server, cancelLine(id))
	// When the server abandons attempts at the partitioned worker, it resets the connection, which discards the
	// release.
	server.waitResponses(t, server.submit("ok", 40, 5000))
	server.proxies["a"].Heal(t)
	for testbed.Wait(t, "the release", server.workers[0].Cancels).Tag != id {
	}
}

// During a partition, the server closes a connection that the worker still considers open. A completion that the
// worker reports on that connection is lost. The worker reports it again only on the next connection that is opened.
// The server must therefore open another connection, although it already uses one to the worker.
func completedOnClosedConnection(t *testing.T, server *proxiedServer) {
	id := server.attempts.Running("a")[0]
	server.proxies["a"].Partition(t)
	server.waitResponses(t, server.submit("ok", 40, 5000))
	server.proxies["a"].Heal(t)
	server.waitRunningAt(t, "a")
	server.workers[0].SendFinish(id, codeDone)
	server.waitCompletion(t, id)
}

// A worker sends a response on an older connection. The server reads the response and closes the connection. Before
// the close reaches the worker, the worker sends a completion on this connection. The worker reports the completion
// again on the next connection, which the server must open.
func completedDuringClose(t *testing.T, server *proxiedServer) {
	id := server.attempts.Running("a")[0]
	server.lastID++
	late := testbed.RequestID(server.lastID)
	// The server does not abandon attempts of class archive-cut early, so this offer stays open.
	testbed.Send(server, testbed.StartLine(late, "archive-cut", "silent-late", 10_000))
	server.eventually(t, "the offer", func() bool { return slices.Contains(server.attempts.InFlight(), late) })
	dials, _ := server.workers[0].DialCounts()
	// If an offer is open and the worker has been silent for more than 400 ms, the server sends the next offer on
	// another connection.
	server.eventually(t, "another connection", func() bool {
		// The client submits a request after each interval. The worker sends nothing in between.
		time.Sleep(450 * time.Millisecond)
		server.submit("ok", 1, 5000)
		now, _ := server.workers[0].DialCounts()
		return now > dials
	})
	server.proxies["a"].Delay(300 * time.Millisecond)
	server.workers[0].Accept(late)
	for server.firstResponses[late] == "" {
		server.nextLine(t)
	}
	server.workers[0].SendFinish(id, codeDone)
	server.waitCompletion(t, id)
}

// partitionAndReset partitions a worker, resets its connections and waits until the server has noticed that. The next offers
// to the worker wait for a connection that does not come up, so they never reach it.
func (s *proxiedServer) partitionAndReset(t *testing.T, worker string) {
	t.Helper()
	var before int64
	s.onLoop(t, func() { before = s.pool.Counts().Broken })
	s.proxies[worker].Partition(t)
	s.proxies[worker].ResetConnections()
	s.waitUntil(t, "the reset of the connection", func() bool { return s.pool.Counts().Broken > before })
}

// One of two workers gets the first attempts of all requests and rejects them, as its queue is full. The other worker has
// no attempt and is partitioned. Second attempts are offered to the partitioned worker, which they do not reach; the last
// attempts must be offered to the worker that is reachable.
//
// Both workers are suspect when the last attempts are offered. In the fault that this test guards against, the worker
// pool knew that no connection reached the partitioned worker but did not report this to the scheduler. It notified the
// scheduler only when a worker was reachable again. If all workers are suspect, the scheduler offers each of them at
// most two attempts at a time. Once the reachable worker had two, the scheduler therefore chose the partitioned worker.
// The trace of each rejected request showed that nothing was received on the connection to the partitioned worker and
// that this connection was closed. After another 3 ms, 'offer attempt=2' named the same worker. The line 'offer never
// sent' followed, because the next connection was not established in time.
func TestLastAttemptsIntoCut(t *testing.T) {
	// Placement is random: about every second server has all first attempts at one worker, so 30 servers
	// suffice.
	for range 30 {
		server := newWarmProxiedServer(t, settingsJSON, nil, "a", "b")
		missed := server.submit("missed", 4, 2000)
		server.sendNoticesOnceOffered(t, missed)
		for _, worker := range server.workers {
			if len(server.attempts.InFlightAt(worker.Name)) < len(missed) {
				continue
			}
			for name := range server.proxies {
				if name != worker.Name {
					server.partitionAndReset(t, name)
				}
			}
			for _, id := range missed {
				worker.Reject(id)
			}
			server.expectAllStarted(t, missed)
			server.expectNoDuplicates(t)
			return
		}
	}
	t.Fatal("the first attempts were never all at one worker, in 30 servers")
}

package workerpool

// This file owns the helpers that the tests of this package share: a pool with an event loop of its own, and a
// listener that takes the place of the worker.

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/nettest"
	"ravenhitch/placement"
)

const (
	// workerName is the name of the only worker in these tests.
	workerName = "a"
	// requestID is the ID of the request in tests with a single request.
	requestID = "9b1f03aa5c7e2d41"
)

// newPool returns a new loop, a pool that runs on it, and the pool's dispatcher. The caller must close the loop.
func newPool(t *testing.T) (*eventloop.Loop, *Pool, *dispatch.Dispatcher) {
	t.Helper()
	loop, err := eventloop.New(2 * lingerMinDescriptors)
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.DiscardHandler)
	pool := New(loop, 1_000_000, true, log)
	settings := placement.Settings{
		FleetSize:        1,
		CoresOvercommit:  1,
		MemoryOvercommit: 1,
		Classes: []placement.Class{
			{Name: "cut", Effect: placement.Unsafe, Kind: -1},
			{Name: "web", Effect: placement.Safe, Kind: -1},
		},
		Kinds: []placement.Kind{{Name: "std", Cores: 1, Memory: 1}},
	}
	dispatcher, err := dispatch.New(settings, 1, pool, log)
	if err != nil {
		t.Fatal(err)
	}
	pool.SetDispatcher(dispatcher)
	return loop, pool, dispatcher
}

// fullList returns a full list that contains only the worker of these tests.
func fullList() placement.WorkerList {
	entries := []placement.Entry{{Worker: workerName, Kind: "std"}}
	return placement.WorkerList{Kind: placement.ListFull, Entries: entries}
}

// newSubmission returns the submission of a task that requests all resources of the worker and must not run twice.
func newSubmission() dispatch.Submission {
	return dispatch.Submission{RequestID: requestID, Class: "cut", Key: "k", TimeoutUs: 5_000_000, Cores: 1, Memory: 1}
}

// offerOf returns the offer for a submission.
func offerOf(s dispatch.Submission) dispatch.Offer {
	return dispatch.Offer{RequestID: s.RequestID, Class: s.Class, Key: s.Key, TimeoutUs: s.TimeoutUs}
}

// offerToWorker lists the worker and makes an offer to it before its connection is established. It returns the
// connection.
func offerToWorker(t *testing.T, listener net.Listener, loop *eventloop.Loop, pool *Pool,
	dispatcher *dispatch.Dispatcher) *workerConn {
	t.Helper()
	dispatcher.UpdateWorkers(loop.Now(), fullList())
	pool.UpdateWorker(workerName, listener.Addr().String(), true)
	submission := newSubmission()
	if err := dispatcher.Submit(loop.Now(), nil, submission); err != nil {
		t.Fatal(err)
	}
	pool.Offer(workerName, offerOf(submission))
	return pool.links[workerName].conns[0]
}

// startLoop runs a loop in the background. The returned function stops and closes the loop.
func startLoop(t *testing.T, loop *eventloop.Loop, turn func(now int64)) (stop func()) {
	t.Helper()
	result := make(chan error, 1)
	go func() { result <- loop.Run(turn) }()
	return func() {
		loop.Post(loop.Stop)
		if err := <-result; err != nil {
			t.Error(err)
		}
		loop.Close()
	}
}

// onLoop calls f on a loop that runs in the background, and waits until f has returned.
func onLoop(loop *eventloop.Loop, f func()) {
	done := make(chan struct{})
	loop.Post(func() { f(); close(done) })
	<-done
}

// linkTest holds the listener of a worker and the parts of an orchestrator with a link to that worker.
type linkTest struct {
	t          *testing.T
	listener   net.Listener
	loop       *eventloop.Loop
	pool       *Pool
	dispatcher *dispatch.Dispatcher
}

func newLinkTest(t *testing.T) *linkTest {
	t.Helper()
	lt := &linkTest{t: t, listener: nettest.Listen(t)}
	lt.loop, lt.pool, lt.dispatcher = newPool(t)
	t.Cleanup(lt.loop.Close)
	lt.dispatcher.UpdateWorkers(lt.loop.Now(), fullList())
	return lt
}

// listWorker adds the worker to the pool, as discovery does, and returns the link to the worker.
func (lt *linkTest) listWorker() *link {
	lt.pool.UpdateWorker(workerName, lt.listener.Addr().String(), true)
	return lt.pool.links[workerName]
}

// sweep maintains the link as the periodic sweep does.
func (lt *linkTest) sweep(l *link) { l.sweep(lt.dispatcher.TasksOn(workerName), lt.loop.Now()) }

// runUntil runs the loop until a condition holds. It may be called only once per linkTest, because a stopped loop
// cannot run again.
func (lt *linkTest) runUntil(condition func() bool) {
	lt.t.Helper()
	timeout := lt.loop.After(testbed.Timeout.Microseconds(), lt.loop.Stop)
	met := false
	err := lt.loop.Run(func(now int64) {
		lt.pool.DeliverPending()
		lt.dispatcher.Turn(now)
		if met = condition(); met {
			lt.loop.Stop()
		}
	})
	timeout.Stop()
	if err != nil || !met {
		lt.t.Fatalf("the condition was not met within %s; the loop ended with error %v", testbed.Timeout, err)
	}
}

// adopt submits a task that is already running at the worker.
func (lt *linkTest) adopt(requestID string) {
	lt.t.Helper()
	s := dispatch.Submission{
		RequestID: requestID,
		Class:     "cut",
		Key:       "k" + requestID,
		TimeoutUs: 1_000_000,
		Cores:     1,
		Memory:    1,
		RunningOn: workerName,
	}
	if err := lt.dispatcher.Submit(lt.loop.Now(), discardingClient{}, s); err != nil {
		lt.t.Fatal(err)
	}
}

// futureStart returns a start time of the worker's process that is later than all previous events of the test.
func (lt *linkTest) futureStart() int64 { return lt.loop.Now() + time.Minute.Microseconds() }

// discardingClient is a client that discards all responses.
type discardingClient struct{}

func (discardingClient) Respond(dispatch.Response) {}

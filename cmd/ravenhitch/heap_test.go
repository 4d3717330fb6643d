package main

import (
	"flag"
	"runtime"
	"testing"

	"ravenhitch/internal/testbed"
)

var completionsPlayed = flag.Int("endings", 2000, "endings of each kind over loopback")

// heapSlack is what the heap of the program and its stand-ins may differ by where nothing is
// kept: buffers of connections, and what the runtime has not let go of yet.
const heapSlack = 96 << 10

// completionKinds are the ways in which a request or a task ends on sockets. Each plays one.
var completionKinds = map[string]func(t *testing.T, server *testServer, client *testbed.Client, tag string){
	"stood and ended": func(t *testing.T, server *testServer, client *testbed.Client, tag string) {
		submitAndExpect(t, client, tag, "ok-1", "STARTED")
		server.workers[0].End(tag, 16)
		expectCompletion(t, client, tag)
	},
	"released by its client": func(t *testing.T, server *testServer, client *testbed.Client, tag string) {
		submitAndExpect(t, client, tag, "ok-1", "STARTED")
		testbed.Send(client, testbed.FinishLine("FINISH", tag, 16))
		if line := testbed.Wait(t, "the word on the release", client.Lines); line.Verb != "FINISHED" {
			t.Fatalf("got %v", line)
		}
		server.waitUntil(t, "its end", func() bool { return server.dispatcher.RunningCount() == 0 && !server.pool.HasUnconfirmedReleases() })
	},
	"over before its yes": func(t *testing.T, _ *testServer, client *testbed.Client, tag string) {
		submitAndExpect(t, client, tag, "brief-1", "STARTED")
		expectCompletion(t, client, tag)
	},
	"withdrawn": func(t *testing.T, server *testServer, client *testbed.Client, tag string) {
		testbed.Send(client, testbed.StartLine(tag, "archive-cut", "silent-1", 5000))
		testbed.Wait(t, "the offer", server.workers[0].Starts)
		testbed.Send(client, testbed.FinishLine("FINISH", tag, 16))
		if line := testbed.Wait(t, "the word on the withdrawal", client.Lines); line.Verb != "FINISHED" {
			t.Fatalf("got %v", line)
		}
	},
	"its client's connection closed": func(t *testing.T, server *testServer, _ *testbed.Client, tag string) {
		leaver, err := testbed.Dial(server.clientAddr)
		if err != nil {
			t.Fatal(err)
		}
		testbed.Send(leaver, testbed.StartLine(tag, "archive-cut", "silent-1", 5000))
		testbed.Wait(t, "the offer", server.workers[0].Starts)
		leaver.Close()
		server.waitUntil(t, "it left", func() bool { return server.dispatcher.OpenCount() == 0 })
	},
}

func submitAndExpect(t *testing.T, client *testbed.Client, tag, task, verb string) {
	t.Helper()
	testbed.Send(client, testbed.StartLine(tag, "guide-web", task, 5000))
	if line := testbed.Wait(t, "the answer", client.Lines); line.Verb != verb || line.Tag != tag {
		t.Fatalf("got %v", line)
	}
}

func expectCompletion(t *testing.T, client *testbed.Client, tag string) {
	t.Helper()
	if line := testbed.Wait(t, "the end", client.Lines); line.Verb != "FINISH" || line.Tag != tag {
		t.Fatalf("got %v", line)
	}
}

// drainWorker takes what a worker notes, so that it never waits for the test.
func drainWorker(worker *testbed.Worker) {
	for {
		select {
		case <-worker.Starts:
		case <-worker.Ends:
		case <-worker.Cut:
		default:
			return
		}
	}
}

func liveHeap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// settledHeap is the live heap once the worker has let go of its notes, which it keeps for as long
// as a connection.
func (w *testServer) settledHeap(t *testing.T) int64 {
	t.Helper()
	worker := w.workers[0]
	before, _ := worker.DialCounts()
	worker.CloseConnections()
	w.waitUntil(t, "new connections to the worker", func() bool {
		dials, open := worker.DialCounts()
		return dials > before && open == dials-before
	})
	w.waitUntil(t, "nothing is owed", func() bool {
		return w.dispatcher.OpenCount() == 0 && w.pool.UnconfirmedCancels() == 0 && !w.pool.HasUnconfirmedReleases()
	})
	drainWorker(worker)
	return liveHeap()
}

// What the fronts, the loop and the connections to workers hold does not grow with the number
// of endings either.
func TestHeapAfterManyCompletions(t *testing.T) {
	for name, end := range completionKinds {
		t.Run(name, func(t *testing.T) {
			server := newServerWithSockets(t, 1024, "a")
			client := server.connect(t)
			before := int64(0)
			for i := range *completionsPlayed {
				if i == *completionsPlayed/2 {
					before = server.settledHeap(t)
				}
				end(t, server, client, testbed.RequestID(i+1))
				drainWorker(server.workers[0])
			}
			grown := server.settledHeap(t) - before
			t.Logf("the heap has grown by %d bytes over %d endings", grown, *completionsPlayed-*completionsPlayed/2)
			if grown > heapSlack {
				t.Errorf("the heap has grown by %d bytes, expected %d at most", grown, heapSlack)
			}
		})
	}
}

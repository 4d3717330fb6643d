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
var completionKinds = map[string]func(t *testing.T, w *testServer, o *testbed.Client, tag string){
	"stood and ended": func(t *testing.T, w *testServer, o *testbed.Client, tag string) {
		submitAndExpect(t, o, tag, "ok-1", "STARTED")
		w.workers[0].End(tag, 16)
		expectCompletion(t, o, tag)
	},
	"released by its client": func(t *testing.T, w *testServer, o *testbed.Client, tag string) {
		submitAndExpect(t, o, tag, "ok-1", "STARTED")
		testbed.Send(o, testbed.FinishLine("FINISH", tag, 16))
		if l := testbed.Wait(t, "the word on the release", o.Lines); l.Verb != "FINISHED" {
			t.Fatalf("got %v", l)
		}
		w.waitUntil(t, "its end", func() bool { return w.dispatcher.RunningCount() == 0 && !w.pool.HasUnconfirmedReleases() })
	},
	"over before its yes": func(t *testing.T, _ *testServer, o *testbed.Client, tag string) {
		submitAndExpect(t, o, tag, "brief-1", "STARTED")
		expectCompletion(t, o, tag)
	},
	"withdrawn": func(t *testing.T, w *testServer, o *testbed.Client, tag string) {
		testbed.Send(o, testbed.StartLine(tag, "archive-cut", "silent-1", 5000))
		testbed.Wait(t, "the offer", w.workers[0].Starts)
		testbed.Send(o, testbed.FinishLine("FINISH", tag, 16))
		if l := testbed.Wait(t, "the word on the withdrawal", o.Lines); l.Verb != "FINISHED" {
			t.Fatalf("got %v", l)
		}
	},
	"its client's connection closed": func(t *testing.T, w *testServer, _ *testbed.Client, tag string) {
		leaver, err := testbed.Dial(w.clientAddr)
		if err != nil {
			t.Fatal(err)
		}
		testbed.Send(leaver, testbed.StartLine(tag, "archive-cut", "silent-1", 5000))
		testbed.Wait(t, "the offer", w.workers[0].Starts)
		leaver.Close()
		w.waitUntil(t, "it left", func() bool { return w.dispatcher.OpenCount() == 0 })
	},
}

func submitAndExpect(t *testing.T, o *testbed.Client, tag, task, verb string) {
	t.Helper()
	testbed.Send(o, testbed.StartLine(tag, "guide-web", task, 5000))
	if l := testbed.Wait(t, "the answer", o.Lines); l.Verb != verb || l.Tag != tag {
		t.Fatalf("got %v", l)
	}
}

func expectCompletion(t *testing.T, o *testbed.Client, tag string) {
	t.Helper()
	if l := testbed.Wait(t, "the end", o.Lines); l.Verb != "FINISH" || l.Tag != tag {
		t.Fatalf("got %v", l)
	}
}

// drainWorker takes what a worker notes, so that it never waits for the test.
func drainWorker(m *testbed.Worker) {
	for {
		select {
		case <-m.Starts:
		case <-m.Ends:
		case <-m.Cut:
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
	m := w.workers[0]
	before, _ := m.DialCounts()
	m.CloseConnections()
	w.waitUntil(t, "new connections to the worker", func() bool {
		dials, open := m.DialCounts()
		return dials > before && open == dials-before
	})
	w.waitUntil(t, "nothing is owed", func() bool {
		return w.dispatcher.OpenCount() == 0 && w.pool.UnconfirmedCancels() == 0 && !w.pool.HasUnconfirmedReleases()
	})
	drainWorker(m)
	return liveHeap()
}

// What the fronts, the loop and the connections to workers hold does not grow with the number
// of endings either.
func TestHeapAfterManyCompletions(t *testing.T) {
	for name, end := range completionKinds {
		t.Run(name, func(t *testing.T) {
			w := newServerWithSockets(t, 1024, "a")
			o := w.connect(t)
			before := int64(0)
			for i := range *completionsPlayed {
				if i == *completionsPlayed/2 {
					before = w.settledHeap(t)
				}
				end(t, w, o, testbed.RequestID(i+1))
				drainWorker(w.workers[0])
			}
			grown := w.settledHeap(t) - before
			t.Logf("the heap has grown by %d bytes over %d endings", grown, *completionsPlayed-*completionsPlayed/2)
			if grown > heapSlack {
				t.Errorf("the heap has grown by %d bytes, expected %d at most", grown, heapSlack)
			}
		})
	}
}

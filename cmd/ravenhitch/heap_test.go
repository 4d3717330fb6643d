package main

import (
	"flag"
	"runtime"
	"testing"

	"ravenhitch/internal/testbed"
)

var endingsPlayed = flag.Int("endings", 2000, "endings of each kind over loopback")

// heapSlack is what the heap of the program and its stand-ins may differ by where nothing is
// kept: buffers of connections, and what the runtime has not let go of yet.
const heapSlack = 96 << 10

// endings are the ways in which a request or a task ends on sockets. Each plays one.
var endings = map[string]func(t *testing.T, w *world, o *testbed.Client, tag string){
	"stood and ended": func(t *testing.T, w *world, o *testbed.Client, tag string) {
		setUpFor(t, o, tag, "ok-1", "STARTED")
		w.minions[0].End(tag, 16)
		endOf(t, o, tag)
	},
	"released by its client": func(t *testing.T, w *world, o *testbed.Client, tag string) {
		setUpFor(t, o, tag, "ok-1", "STARTED")
		testbed.Send(o, testbed.FinishLine("FINISH", tag, 16))
		if l := testbed.Wait(t, "the word on the release", o.Lines); l.Verb != "FINISHED" {
			t.Fatalf("got %v", l)
		}
		w.until(t, "its end", func() bool { return w.c.RunningCount() == 0 && !w.nodes.HasUnconfirmedReleases() })
	},
	"over before its yes": func(t *testing.T, _ *world, o *testbed.Client, tag string) {
		setUpFor(t, o, tag, "brief-1", "STARTED")
		endOf(t, o, tag)
	},
	"withdrawn": func(t *testing.T, w *world, o *testbed.Client, tag string) {
		testbed.Send(o, testbed.StartLine(tag, "archive-cut", "silent-1", 5000))
		testbed.Wait(t, "the offer", w.minions[0].Starts)
		testbed.Send(o, testbed.FinishLine("FINISH", tag, 16))
		if l := testbed.Wait(t, "the word on the withdrawal", o.Lines); l.Verb != "FINISHED" {
			t.Fatalf("got %v", l)
		}
	},
	"its client's connection closed": func(t *testing.T, w *world, _ *testbed.Client, tag string) {
		leaver, err := testbed.Dial(w.addr)
		if err != nil {
			t.Fatal(err)
		}
		testbed.Send(leaver, testbed.StartLine(tag, "archive-cut", "silent-1", 5000))
		testbed.Wait(t, "the offer", w.minions[0].Starts)
		leaver.Close()
		w.until(t, "it left", func() bool { return w.c.OpenCount() == 0 })
	},
}

func setUpFor(t *testing.T, o *testbed.Client, tag, task, verb string) {
	t.Helper()
	testbed.Send(o, testbed.StartLine(tag, "guide-web", task, 5000))
	if l := testbed.Wait(t, "the answer", o.Lines); l.Verb != verb || l.Tag != tag {
		t.Fatalf("got %v", l)
	}
}

func endOf(t *testing.T, o *testbed.Client, tag string) {
	t.Helper()
	if l := testbed.Wait(t, "the end", o.Lines); l.Verb != "FINISH" || l.Tag != tag {
		t.Fatalf("got %v", l)
	}
}

// drained takes what a worker notes, so that it never waits for the test.
func drained(m *testbed.Worker) {
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

// settled is the live heap once the worker has let go of its notes, which it keeps for as long
// as a connection.
func (w *world) settled(t *testing.T) int64 {
	t.Helper()
	m := w.minions[0]
	before, _ := m.DialCounts()
	m.CloseConnections()
	w.until(t, "new connections to the worker", func() bool {
		dials, open := m.DialCounts()
		return dials > before && open == dials-before
	})
	w.until(t, "nothing is owed", func() bool {
		return w.c.OpenCount() == 0 && w.nodes.UnconfirmedCancels() == 0 && !w.nodes.HasUnconfirmedReleases()
	})
	drained(m)
	return liveHeap()
}

// What the fronts, the loop and the connections to workers hold does not grow with the number
// of endings either.
func TestHeapAfterManyEndingsOnSockets(t *testing.T) {
	for name, end := range endings {
		t.Run(name, func(t *testing.T) {
			w := newWorldLimited(t, 1024, "a")
			o := w.owner(t)
			before := int64(0)
			for i := range *endingsPlayed {
				if i == *endingsPlayed/2 {
					before = w.settled(t)
				}
				end(t, w, o, testbed.RequestID(i+1))
				drained(w.minions[0])
			}
			grown := w.settled(t) - before
			t.Logf("the heap has grown by %d bytes over %d endings", grown, *endingsPlayed-*endingsPlayed/2)
			if grown > heapSlack {
				t.Errorf("the heap has grown by %d bytes, expected %d at most", grown, heapSlack)
			}
		})
	}
}

package dispatch

import (
	"fmt"
	"runtime"
	"testing"

	"ravenhitch/placement"
)

const (
	endingCount = 10_000
	// warmUpEndings is the number of endings before the first measurement of the heap. They fill structures
	// of a fixed size, such as the advisor's slot calendar.
	warmUpEndings = 5000
	// heapSlack is the growth of the heap, in bytes, that does not count as a leak: table entries that are freed
	// later and maps that have grown once. It is less than 7 bytes per measured ending.
	heapSlack = 32 << 10
)

// endingCases are the ways in which a request or a task ends.
var endingCases = map[string]func(h *harness, requestID string){
	"cancelled": func(h *harness, id string) { h.Cancel(h.now, h, id) },
	"rejected by its worker": func(h *harness, id string) {
		h.endAttempt(id, placement.Rejected)
		h.Cancel(h.now, h, id)
	},
	"an error": func(h *harness, id string) {
		h.endAttempt(id, placement.Failed)
		h.Cancel(h.now, h, id)
	},
	"timed out": func(h *harness, _ string) { h.advance(3000 * millisecond) },
	"timed out and not confirmed": func(h *harness, id string) {
		h.withholdConfirm = true
		h.advance(3000 * millisecond)
		h.confirmCancel(id)
		h.withholdConfirm = false
	},
	"ran and completed": func(h *harness, id string) {
		h.accept(id)
		h.endAttempt(id, placement.Completed)
		delete(h.running, id)
	},
	"released": func(h *harness, id string) {
		h.accept(id)
		h.Cancel(h.now, h, id)
		h.advance(1000 * millisecond)
		h.TaskEnded(h.now, h.running[id], id, placement.Cancelled, 0)
		delete(h.running, id)
	},
	"its worker died": func(h *harness, id string) {
		h.accept(id)
		h.WorkerDied(h.now, h.running[id])
	},
	"its connection is closed": func(h *harness, id string) { h.Reject(h.now, h, id) },
}

// submitAndEnd submits a request whose ID, class and key are derived from number, fails the test if it is not
// offered, and calls end to end it.
func (h *harness) submitAndEnd(number int, end func(h *harness, requestID string)) {
	h.t.Helper()
	id := fmt.Sprintf("%016x", number+1)
	h.mustSubmit(id, []string{"web", "cut"}[number%2], "k"+id, 2000)
	h.advance(10 * millisecond)
	if h.offered[id] == "" {
		h.t.Fatalf("request %s was not offered; offers %v", id, h.offers)
	}
	end(h, id)
	h.advance(10 * millisecond)
}

// However a request ends, its deadline is removed immediately, and no other data of it is left 20 s after the last
// ending.
func TestEndedRequestsLeaveNothing(t *testing.T) {
	for name, end := range endingCases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.updateWorkers(placement.ListFull, placement.Ready, "a", "b")
			for number := range 200 {
				h.submitAndEnd(number, end)
				clear(h.offered)
			}
			if len(h.deadlines) > 0 {
				t.Errorf("deadlines right after the last ending: %d, want 0", len(h.deadlines))
			}
			h.advance(20 * second)
			for what, count := range map[string]int{
				"requests": len(h.requests), "keys": len(h.latestByKey), "aliases": len(h.aliases),
				"cached responses": len(h.responses.byRequestID), "deadlines": len(h.deadlines), "unresponsive tasks": len(h.unresponsive),
				"workers with tasks": len(h.tasksByWorker), "pending requests": h.pendingCount,
			} {
				if count > 0 {
					t.Errorf("%d %s are left, want 0", count, what)
				}
			}
			if len(h.timers) > 1 {
				t.Errorf("%d scheduler timers are left, want at most 1", len(h.timers))
			}
		})
	}
}

// The live heap of the dispatcher and the scheduler does not grow with the number of endings.
func TestHeapAfterManyEndings(t *testing.T) {
	for name, end := range endingCases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.updateWorkers(placement.ListFull, placement.Ready, "a", "b")
			before := int64(0)
			for number := range endingCount {
				if number == warmUpEndings {
					h.advance(20 * second)
					before = liveHeap()
				}
				h.submitAndEnd(number, end)
				h.clearRecords()
			}
			h.advance(20 * second)
			grown := liveHeap() - before
			t.Logf("the heap has grown by %d bytes over %d endings", grown, endingCount-warmUpEndings)
			if grown > heapSlack {
				t.Errorf("the heap has grown by more than the limit of %d bytes", heapSlack)
			}
			runtime.KeepAlive(h)
		})
	}
}

// liveHeap returns the size of the live heap after garbage collection, in bytes.
func liveHeap() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// clearRecords clears what the harness has recorded about requests, because it would count as growth of the heap.
func (h *harness) clearRecords() {
	for _, records := range []map[string]string{h.offered, h.running, h.class, h.unconfirmed} {
		clear(records)
	}
	clear(h.finalResponses)
	clear(h.mayHaveRun)
	clear(h.mayHaveRunAt)
	clear(h.rejectedOn)
	clear(h.deadline)
	h.offers, h.received = nil, nil
}

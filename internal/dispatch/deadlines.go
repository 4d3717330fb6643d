package dispatch

// This file owns two heaps ordered by time: the deadlines of requests and the timers of the scheduler.
// Acting on an entry when it is due is left to other files.

import "container/heap"

// deadlineHeap orders requests by wakeAt, the time at which the dispatcher acts on them. It implements
// heap.Interface.
type deadlineHeap []*request

// Len returns the number of requests.
func (h deadlineHeap) Len() int { return len(h) }

// Less reports whether request i comes before request j.
func (h deadlineHeap) Less(i, j int) bool { return h[i].wakeAt < h[j].wakeAt }

// Swap swaps requests i and j.
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push appends a *request.
func (h *deadlineHeap) Push(x any) {
	r := x.(*request)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

// Pop removes and returns the last request.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := len(old) - 1
	r := old[last]
	old[last] = nil
	*h = old[:last]
	r.heapIndex = -1
	return r
}

// arm sets or changes the time at which the dispatcher acts on a request.
func (d *Dispatcher) arm(r *request, at int64) {
	r.wakeAt = at
	if r.heapIndex >= 0 {
		heap.Fix(&d.deadlines, r.heapIndex)
		return
	}
	heap.Push(&d.deadlines, r)
}

// disarm removes a request from the deadline heap.
func (d *Dispatcher) disarm(r *request) {
	if r.heapIndex >= 0 {
		heap.Remove(&d.deadlines, r.heapIndex)
	}
	r.wakeAt = 0
}

// schedulerTimer is a timer that the scheduler has set.
type schedulerTimer struct {
	at  int64  // in microseconds
	ref string // returned to the scheduler in TimerFired
}

// timerHeap orders the timers of the scheduler by time. It implements heap.Interface.
type timerHeap []schedulerTimer

// Len returns the number of timers.
func (h timerHeap) Len() int { return len(h) }

// Less reports whether timer i fires before timer j.
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap swaps timers i and j.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends a schedulerTimer.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(schedulerTimer)) }

// Pop removes and returns the last timer.
func (h *timerHeap) Pop() any {
	old := *h
	last := len(old) - 1
	timer := old[last]
	*h = old[:last]
	return timer
}

package dispatch

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
)

// This file holds the two queues of times to come: those of requests and those
// that the module asked for. It must never act on what it holds.

// deadlineHeap orders requests by the time at which the core acts on them.
type deadlineHeap []*request

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].wakeAt < h[j].wakeAt }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *deadlineHeap) Push(x any) {
	r := x.(*request)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}
func (h *deadlineHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	r.heapIndex = -1
	return r
}

func (c *Dispatcher) arm(r *request, at int64) {
	r.wakeAt = at
	if r.heapIndex >= 0 {
		heap.Fix(&c.deadlines, r.heapIndex)
		return
	}
	heap.Push(&c.deadlines, r)
}

func (c *Dispatcher) disarm(r *request) {
	if r.heapIndex >= 0 {
		heap.Remove(&c.deadlines, r.heapIndex)
	}
	r.wakeAt = 0
}

// schedulerTimer is an alarm of the module.
type schedulerTimer struct {
	at  int64
	ref string
}

type timerHeap []schedulerTimer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(schedulerTimer)) }
func (h *timerHeap) Pop() any {
	old := *h
	b := old[len(old)-1]
	*h = old[:len(old)-1]
	return b
}

// sorted lists the requests by tag, so that the same happenings give the same
// actions.
func (c *Dispatcher) sorted() []*request {
	return sortByRequestID(slices.Collect(maps.Values(c.requests)))
}

// byRequestID sorts requests.
func sortByRequestID(requests []*request) []*request {
	slices.SortFunc(requests, func(a, b *request) int { return cmp.Compare(a.RequestID, b.RequestID) })
	return requests
}

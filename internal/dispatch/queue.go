package dispatch

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
)

// This file holds the two queues of times to come: those of requests and those
// that the module asked for. It must never act on what it holds.

// dues orders requests by the time at which the core acts on them.
type dues []*request

func (h dues) Len() int           { return len(h) }
func (h dues) Less(i, j int) bool { return h[i].due < h[j].due }
func (h dues) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *dues) Push(x any) {
	r := x.(*request)
	r.index = len(*h)
	*h = append(*h, r)
}
func (h *dues) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	r.index = -1
	return r
}

func (c *Dispatcher) arm(r *request, at int64) {
	r.due = at
	if r.index >= 0 {
		heap.Fix(&c.due, r.index)
		return
	}
	heap.Push(&c.due, r)
}

func (c *Dispatcher) disarm(r *request) {
	if r.index >= 0 {
		heap.Remove(&c.due, r.index)
	}
	r.due = 0
}

// bell is an alarm of the module.
type bell struct {
	at  int64
	ref string
}

type bells []bell

func (h bells) Len() int           { return len(h) }
func (h bells) Less(i, j int) bool { return h[i].at < h[j].at }
func (h bells) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *bells) Push(x any)        { *h = append(*h, x.(bell)) }
func (h *bells) Pop() any {
	old := *h
	b := old[len(old)-1]
	*h = old[:len(old)-1]
	return b
}

// sorted lists the requests by tag, so that the same happenings give the same
// actions.
func (c *Dispatcher) sorted() []*request { return byTag(slices.Collect(maps.Values(c.reqs))) }

// byTag sorts requests.
func byTag(requests []*request) []*request {
	slices.SortFunc(requests, func(a, b *request) int { return cmp.Compare(a.RequestID, b.RequestID) })
	return requests
}

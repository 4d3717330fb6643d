package hollow

import "container/heap"

// This file owns virtual time: the queue of events, by their moments.

// event is something that happens at a moment of virtual time.
type event struct {
	at, number int64 // number orders the events of one moment by when they were added
	run        func()
}

// eventHeap orders events by their moment.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].number < h[j].number
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// scheduler runs events in the order of their moments: time jumps from one to the next.
type scheduler struct {
	now    int64 // microseconds
	number int64
	events eventHeap
}

// at calls run at a moment of virtual time.
func (s *scheduler) at(moment int64, run func()) {
	s.number++
	heap.Push(&s.events, event{moment, s.number, run})
}

// after calls run once that many microseconds have passed.
func (s *scheduler) after(delay int64, run func()) { s.at(s.now+delay, run) }

// runUntil lets time pass.
func (s *scheduler) runUntil(moment int64) {
	for len(s.events) > 0 && s.events[0].at <= moment {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	s.now = moment
}

package hollow

import "container/heap"

// This file contains virtual time and the queue of events, which is ordered by time.

// event is a function call that is due at a moment of virtual time.
type event struct {
	// at is the time in microseconds. Events with the same time run in the order of their numbers, which is the
	// order in which they were added.
	at, number int64
	run        func()
}

// eventHeap is a heap of events ordered by time and number.
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

// scheduler runs events in order of time. Virtual time jumps from the time of one event to the time of the next.
type scheduler struct {
	now    int64 // current virtual time in microseconds
	number int64 // number of the last event added
	events eventHeap
}

// at schedules a call of run at a moment of virtual time, which is given in microseconds.
func (s *scheduler) at(moment int64, run func()) {
	s.number++
	heap.Push(&s.events, event{moment, s.number, run})
}

// after schedules a call of run in delay microseconds of virtual time.
func (s *scheduler) after(delay int64, run func()) { s.at(s.now+delay, run) }

// runUntil runs all events that are due at or before the given moment of virtual time, and then sets the time to
// this moment.
func (s *scheduler) runUntil(moment int64) {
	for len(s.events) > 0 && s.events[0].at <= moment {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	s.now = moment
}

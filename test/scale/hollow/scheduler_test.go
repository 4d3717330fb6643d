package hollow

import "container/heap"

// This file contains virtual time and the queue of events, ordered by time.

// event is a function to run at a moment of virtual time.
type event struct {
	at, number int64 // time in microseconds; events with the same time run in order of number, which is the order of their addition
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

// scheduler runs events in order of time. Virtual time jumps from one event to the next.
type scheduler struct {
	now    int64 // microseconds
	number int64 // number of the last event added
	events eventHeap
}

// at schedules run for a moment of virtual time, in microseconds.
func (s *scheduler) at(moment int64, run func()) {
	s.number++
	heap.Push(&s.events, event{moment, s.number, run})
}

// after schedules run for a time that is delay microseconds from now.
func (s *scheduler) after(delay int64, run func()) { s.at(s.now+delay, run) }

// runUntil runs all events up to and including a moment and sets the time to that moment.
func (s *scheduler) runUntil(moment int64) {
	for len(s.events) > 0 && s.events[0].at <= moment {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	s.now = moment
}

package eventloop

// This file contains the timers, ordered by their times. A timer never fires before its time, nor after it was
// stopped.

import "container/heap"

// maxPollWaitMs is the maximum time, in milliseconds, that a poll waits for events.
const maxPollWaitMs = 1000

// Timer is a function call scheduled for a later time. A nil Timer is not pending, and Stop has no effect on it.
type Timer struct {
	loop  *Loop
	at    int64 // Unix time in microseconds
	call  func()
	index int  // index in the heap
	done  bool // fired or stopped
}

// Pending reports whether the timer has neither fired nor been stopped.
func (t *Timer) Pending() bool { return t != nil && !t.done }

// Stop cancels the timer and removes it from the heap at once. Timers are stopped far more often than they
// fire. If stopped timers stayed in the heap until their time, they would accumulate.
func (t *Timer) Stop() {
	if t.Pending() {
		t.done, t.call = true, nil
		heap.Remove(&t.loop.timers, t.index)
	}
}

// At schedules a call of f for the Unix time at, in microseconds.
func (l *Loop) At(at int64, f func()) *Timer {
	t := &Timer{loop: l, at: at, call: f}
	heap.Push(&l.timers, t)
	return t
}

// After schedules a call of f for delayUs microseconds after the beginning of this turn.
func (l *Loop) After(delayUs int64, f func()) *Timer { return l.At(l.now+delayUs, f) }

// fireTimers calls the functions of all expired timers.
func (l *Loop) fireTimers() {
	for len(l.timers) > 0 && l.timers[0].at <= l.now {
		t := heap.Pop(&l.timers).(*Timer)
		call := t.call
		t.done, t.call = true, nil
		call()
	}
}

// pollTimeout returns the maximum time to wait for events, in milliseconds. It rounds this time up. If it rounded down,
// the loop would spin during the last millisecond before the earliest timer expires.
func (l *Loop) pollTimeout() int {
	if l.runAgain {
		return 0
	}
	if len(l.timers) == 0 {
		return maxPollWaitMs
	}
	l.updateNow()
	waitMs := (l.timers[0].at - l.now + millisecond - 1) / millisecond
	return int(min(maxPollWaitMs, max(0, waitMs)))
}

// timerHeap implements heap.Interface. The earliest timer comes first.
type timerHeap []*Timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	t := x.(*Timer)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return t
}

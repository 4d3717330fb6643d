package eventloop

// This file owns the timers, in the order of their times. It must never fire one before its time, nor one that was
// stopped.

import "container/heap"

// maxPollWaitMs is how long a poll waits for events where no timer is pending before that, in milliseconds.
const maxPollWaitMs = 1000

// Timer is a call at a time to come. A nil Timer is not pending, and may be stopped.
type Timer struct {
	loop  *Loop
	at    int64
	call  func()
	index int // in the heap
	done  bool
}

// Pending reports whether the timer's call is still to come.
func (t *Timer) Pending() bool { return t != nil && !t.done }

// Stop cancels the timer. It leaves the heap at once: timers are stopped far more often than they fire, and would
// lie there until their time.
func (t *Timer) Stop() {
	if t.Pending() {
		t.done, t.call = true, nil
		heap.Remove(&t.loop.timers, t.index)
	}
}

// At calls f once the clock has reached at, a Unix time in microseconds.
func (l *Loop) At(at int64, f func()) *Timer {
	t := &Timer{loop: l, at: at, call: f}
	heap.Push(&l.timers, t)
	return t
}

// After calls f once delayUs microseconds have passed since this turn began.
func (l *Loop) After(delayUs int64, f func()) *Timer { return l.At(l.now+delayUs, f) }

// fireTimers calls the timers whose time has come.
func (l *Loop) fireTimers() {
	for len(l.timers) > 0 && l.timers[0].at <= l.now {
		t := heap.Pop(&l.timers).(*Timer)
		call := t.call
		t.done, t.call = true, nil
		call()
	}
}

// pollTimeout is how long to wait for events, in milliseconds. It rounds up, so that a turn does not begin before the
// time of its timer.
func (l *Loop) pollTimeout() int {
	if l.runAgain {
		return 0
	}
	if len(l.timers) == 0 {
		return maxPollWaitMs
	}
	l.tick()
	waitMs := (l.timers[0].at - l.now + millisecond - 1) / millisecond
	return int(min(maxPollWaitMs, max(0, waitMs)))
}

// timerHeap implements heap.Interface, the earliest timer first.
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

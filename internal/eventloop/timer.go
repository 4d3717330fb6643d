package eventloop

// This file owns the timers: calls to come, in the order of their times.

import "container/heap"

// Timer is a call to come.
type Timer struct {
	l    *Loop
	at   int64
	f    func()
	i    int // in the heap
	dead bool
}

// Stop lets go of the timer. It leaves the heap at once: timers are stopped far
// more often than they fire, and would lie there until their time.
func (t *Timer) Stop() {
	if t.Pending() {
		t.dead, t.f = true, nil
		heap.Remove(&t.l.timers, t.i)
	}
}

type timers []*Timer

func (h timers) Len() int { return len(h) }

func (h timers) Less(i, j int) bool { return h[i].at < h[j].at }

func (h timers) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].i, h[j].i = i, j
}

func (h *timers) Push(x any) {
	t := x.(*Timer)
	t.i = len(*h)
	*h = append(*h, t)
}

func (h *timers) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return t
}

// At calls f once the clock has reached at.
func (l *Loop) At(at int64, f func()) *Timer {
	t := &Timer{l: l, at: at, f: f}
	heap.Push(&l.timers, t)
	return t
}

// After calls f in so many microseconds.
func (l *Loop) After(us int64, f func()) *Timer { return l.At(l.now+us, f) }

func (l *Loop) due() {
	for len(l.timers) > 0 && l.timers[0].at <= l.now {
		t := heap.Pop(&l.timers).(*Timer)
		f := t.f
		t.dead, t.f = true, nil
		f()
	}
}

// timeout is how long to wait for events, in milliseconds. It rounds up, so that
// a turn does not come before its timer is due.
func (l *Loop) timeout() int {
	if l.again {
		return 0
	}
	if len(l.timers) == 0 {
		return 1000
	}
	l.tick()
	d := l.timers[0].at - l.now
	return int(min(1000, max(0, (d+999)/1000)))
}

// Pending reports whether the timer's call is still to come.
func (t *Timer) Pending() bool { return t != nil && !t.dead }

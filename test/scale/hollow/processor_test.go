package hollow

import (
	"runtime"

	"golang.org/x/sys/unix"
)

// This file owns the clocks: processor time and the size of the heap.

// processorMicroseconds is the processor time of this thread, which another busy process does
// not lengthen. The caller has locked the thread by runtime.LockOSThread.
func processorMicroseconds() float64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		panic(err) // every Linux has this clock
	}
	return float64(ts.Sec)*second + float64(ts.Nsec)/1000
}

// clockCost is the processor time in microseconds that a measurement adds to its result.
func clockCost() float64 {
	const rounds = 10_000
	from := processorMicroseconds()
	for range rounds {
		processorMicroseconds()
	}
	return (processorMicroseconds() - from) / rounds
}

// heapBytes is the size of all reachable objects.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC() // the first may leave what finalizers and pools reach
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

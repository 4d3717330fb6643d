package hollow

import (
	"runtime"

	"golang.org/x/sys/unix"
)

// This file measures processor time and the size of the heap.

// processorMicroseconds returns the processor time of the current thread in microseconds. Load from other
// processes does not increase it. The caller must have called runtime.LockOSThread.
func processorMicroseconds() float64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		panic(err) // every Linux has this clock
	}
	return float64(ts.Sec)*second + float64(ts.Nsec)/1000
}

// clockCost returns the processor time in microseconds that reading the clock adds to a measurement.
func clockCost() float64 {
	const rounds = 10_000
	from := processorMicroseconds()
	for range rounds {
		processorMicroseconds()
	}
	return (processorMicroseconds() - from) / rounds
}

// heapBytes returns the size of all reachable heap objects in bytes.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC() // a single collection may keep objects that finalizers and pools still reach
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

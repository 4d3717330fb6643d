package dispatch

import (
	"fmt"
	"runtime"
	"testing"

	"ravenhitch/placement"
)

const (
	endingCount = 10_000
	// warmUpEndings come before the heap is looked at for the first time: what is of a fixed
	// size, as the advisor's calendar, is filled then.
	warmUpEndings = 5000
	// heapSlack is what the heap may differ by without anything kept: rows of tables that are
	// let go of later, and maps that have grown once. It is less than 7 bytes an ending.
	heapSlack = 32 << 10
)

// liveHeap is what is in use once all that can be let go of is.
func liveHeap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// forget lets go of the notes of the test's own.
func (b *harness) clearRecords() {
	for _, notes := range []map[string]string{b.offered, b.running, b.class, b.unconfirmed} {
		clear(notes)
	}
	clear(b.responses)
	clear(b.mayHaveRun)
	clear(b.deadline)
	b.offers, b.received = nil, nil
}

// The live heap of the core and the module does not grow with the number of endings.
func TestHeapAfterManyEndings(t *testing.T) {
	for name, end := range endingCases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			b.updateWorkers(placement.ListFull, placement.Ready, "a", "b")
			before := int64(0)
			for i := range endingCount {
				if i == warmUpEndings {
					b.advance(20_000 * ms)
					before = liveHeap()
				}
				tag := fmt.Sprintf("%016x", i+1)
				b.submit(tag, []string{"web", "cut"}[i%2], "k"+tag, 2000)
				b.advance(10 * ms)
				if b.offered[tag] == "" {
					t.Fatalf("%s was not offered", tag)
				}
				end(b, tag)
				b.advance(10 * ms)
				b.clearRecords()
			}
			b.advance(20_000 * ms)
			if grown := liveHeap() - before; grown > heapSlack {
				t.Errorf("the heap has grown by %d bytes over %d endings", grown, endingCount-warmUpEndings)
			} else {
				t.Logf("the heap has grown by %d bytes over %d endings", grown, endingCount-warmUpEndings)
			}
			runtime.KeepAlive(b)
		})
	}
}

package placement

import (
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/stats"
)

// countEvery determines which units of work have their allocations counted: one of every countEvery units.
// For the other units, the time is measured.
const countEvery = 4

// meter sums up the processor time and the allocations of the measured units of work, such as exchanges. It
// measures the time of the calling thread alone, so that other programs have little influence. The time does
// not include the threads of the garbage collector; the allocated bytes indicate the work of the garbage
// collector instead.
type meter struct {
	units     int
	spent     time.Duration
	durations stats.Durations
	allocs    uint64
	bytes     uint64
	counted   int // units whose allocations were counted
}

// threadTime returns the processor time that the calling thread has used.
func threadTime(t testing.TB) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		t.Fatal(err)
	}
	return time.Duration(ts.Nano())
}

// time measures the processor time of f, which runs the given number of units. The caller must be locked
// to its thread.
func (m *meter) time(t testing.TB, units int, f func()) {
	if units == 0 {
		f()
		return
	}
	from := threadTime(t)
	f()
	d := threadTime(t) - from
	m.units += units
	m.spent += d
	m.durations.Record(d / time.Duration(units))
}

// count counts the allocations of f, which runs the given number of units.
func (m *meter) count(units int, f func()) {
	var from, to runtime.MemStats
	runtime.ReadMemStats(&from)
	f()
	runtime.ReadMemStats(&to)
	m.counted += units
	m.allocs += to.Mallocs - from.Mallocs
	m.bytes += to.TotalAlloc - from.TotalAlloc
}

// measure measures one unit: the time and the allocations of the first unit, and only one of the two for
// each later unit, because counting allocations disturbs the measured time.
func (m *meter) measure(t testing.TB, f func()) {
	switch {
	case m.units == 0:
		m.count(1, func() { m.time(t, 1, f) })
	case (m.units+m.counted)%countEvery == 0:
		m.count(1, f)
	default:
		m.time(t, 1, f)
	}
}

func (m *meter) us() float64 {
	if m.units == 0 {
		return 0
	}
	return float64(m.spent) / float64(time.Microsecond) / float64(m.units)
}

func (m *meter) allocsEach() float64 { return float64(m.allocs) / float64(max(1, m.counted)) }
func (m *meter) bytesEach() float64  { return float64(m.bytes) / float64(max(1, m.counted)) }

func (m *meter) percentileUs(q float64) float64 {
	return float64(m.durations.Percentile(q)) / float64(time.Microsecond)
}

// lockToThread locks a test to its thread, since meter measures the time of one thread.
func lockToThread(t *testing.T) {
	runtime.LockOSThread()
	t.Cleanup(runtime.UnlockOSThread)
}

// sizes parses a comma-separated list of fleet sizes.
func sizes(t *testing.T, list string) []int {
	t.Helper()
	var out []int
	for _, s := range strings.Split(list, ",") {
		count, err := strconv.Atoi(s)
		if err != nil || count < 1 {
			t.Fatalf("got list of sizes %q, want positive integers separated by commas", list)
		}
		out = append(out, count)
	}
	return out
}

package membership

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

var (
	scheduleCount = flag.Int("schedules", 300, "number of schedules of faults, most of them for small clusters")
	firstSeed     = flag.Uint64("seed", 1, "seed of the first schedule of each cluster size")
	onlySize      = flag.Int("size", 0, "run only clusters of this size; 0 runs all sizes")
)

// runSchedule runs one schedule of faults until 3 s after end. It checks that no invariant is violated, and that every
// table lists exactly the running members after the cluster has formed and at the end of the run. violation describes
// the first failed check, with at most three violated invariants, or is "" if all checks pass.
func runSchedule(size int, seed uint64, faults []fault, end int64) (c *cluster, violation string) {
	c = newCluster(size, seed, faults)
	c.run(formationTime(size))
	if difference := c.disagreement(); difference != "" {
		return c, "after the formation: " + difference
	}
	c.run(end + 3*second)
	if len(c.violations) > 0 {
		return c, strings.Join(c.violations[:min(3, len(c.violations))], "; ")
	}
	if difference := c.disagreement(); difference != "" {
		return c, "3 s after the end of the schedule: " + difference
	}
	return c, ""
}

// shrinkFaults drops each fault in turn if the remaining faults still cause a violation, and returns the faults that
// remain at the end.
func shrinkFaults(size int, seed uint64, faults []fault, end int64) []fault {
	for i := 0; i < len(faults); {
		fewer := slices.Delete(slices.Clone(faults), i, i+1)
		if _, violation := runSchedule(size, seed, fewer, end); violation != "" {
			faults = fewer
		} else {
			i++
		}
	}
	return faults
}

const (
	// maxShown is the maximum number of reported schedules with violations for each cluster size.
	maxShown = 3
	// maxShrunkSize is the maximum cluster size for which schedules with violations are shrunk. Larger clusters
	// take too long.
	maxShrunkSize = 16
)

// scheduleTally accumulates the results of the schedules of one cluster size.
type scheduleTally struct {
	size                       int
	schedules, violated        int
	oneWayFaults, oneWayFound  int
	detectionTimes             map[string][]int64 // in microseconds, by kind of death
	maxBytesPerSecondAndMember float64
}

// run runs a schedule and adds its results to the tally.
func (s *scheduleTally) run(t *testing.T, seed uint64) {
	t.Helper()
	faults, end := drawFaults(s.size, seed)
	c, violation := runSchedule(s.size, seed, faults, end)
	if violation != "" {
		s.violated++
		s.reportViolation(t, seed, violation, faults, end)
	}
	s.schedules++
	for kind, times := range c.detectionTimes {
		s.detectionTimes[kind] = append(s.detectionTimes[kind], times...)
	}
	s.oneWayFound += len(c.oneWayFound)
	for _, f := range faults {
		s.oneWayFaults += boolToInt(f.kind == faultOneWay)
	}
	rate := float64(c.bytes) / float64(c.now) * second / float64(s.size)
	s.maxBytesPerSecondAndMember = max(s.maxBytesPerSecondAndMember, rate)
}

// reportViolation fails the test with a violation and the faults that cause it, for the first maxShown violations.
func (s *scheduleTally) reportViolation(t *testing.T, seed uint64, violation string, faults []fault, end int64) {
	t.Helper()
	if s.violated > maxShown {
		return
	}
	if s.size <= maxShrunkSize {
		faults = shrinkFaults(s.size, seed, faults, end)
	}
	t.Errorf("%d members, seed %d: %s\n%v", s.size, seed, violation, faults)
}

// checkDetection asserts that the 99th percentile of the times from the kill of a process until the first member
// declares it dead is at most 3 s. It checks nothing with fewer than 7 members or with at most 20 detected kills.
func (s *scheduleTally) checkDetection(t *testing.T) {
	t.Helper()
	times := s.detectionTimes["killed"]
	if s.size < 7 || len(times) <= 20 {
		return
	}
	slices.Sort(times)
	if times[len(times)*99/100] > 3*second {
		t.Errorf("%d members: killed processes were declared dead after %s ms (median/p99), want a p99 of at most %s",
			s.size, medianAndP99(times), formatMilliseconds(3*second))
	}
}

// print prints one summary line of the results in key=value form.
func (s *scheduleTally) print(took time.Duration) {
	fmt.Printf("%d instances: schedules=%d broken=%d killed_ms=%s vanished_ms=%s "+
		"one_way_found=%d of=%d most_bytes_s_member=%.0f took=%s\n",
		s.size, s.schedules, s.violated,
		medianAndP99(s.detectionTimes["killed"]), medianAndP99(s.detectionTimes["vanished"]),
		s.oneWayFound, s.oneWayFaults, s.maxBytesPerSecondAndMember, took.Round(time.Second))
}

// schedulesOf returns the number of schedules to run for a cluster size. If the -size flag is set, the number is
// the value of the -schedules flag for the selected size, and 0 for all others. Otherwise it is the given percentage of
// the -schedules flag, or 1/5000 of the flag for 1000 members.
func schedulesOf(size, percent int) int {
	switch {
	case *onlySize > 0 && size != *onlySize:
		return 0
	case *onlySize > 0:
		return *scheduleCount
	case size == 1000:
		return *scheduleCount / 5000
	}
	return *scheduleCount * percent / 100
}

// TestSchedules runs randomly drawn schedules of faults in clusters of several sizes. It asserts that no invariant is
// violated, that every table lists exactly the running members afterwards, and that kills are detected in time.
func TestSchedules(t *testing.T) {
	for _, c := range []struct{ size, percent int }{{3, 70}, {7, 20}, {16, 9}, {100, 1}, {1000, 0}} {
		schedules := schedulesOf(c.size, c.percent)
		if schedules == 0 {
			continue
		}
		tally := &scheduleTally{size: c.size, detectionTimes: map[string][]int64{}}
		start := time.Now()
		for i := range schedules {
			tally.run(t, *firstSeed+uint64(i))
		}
		tally.checkDetection(t)
		tally.print(time.Since(start))
	}
}

// medianAndP99 returns the median and the 99th percentile in milliseconds, separated by a slash, or "none" without
// values. It sorts its argument.
func medianAndP99(us []int64) string {
	if len(us) == 0 {
		return "none"
	}
	slices.Sort(us)
	return fmt.Sprintf("%d/%d", us[len(us)/2]/millisecond, us[len(us)*99/100]/millisecond)
}

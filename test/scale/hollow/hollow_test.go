// Package hollow measures the cost of membership as the number of orchestrators grows, and tests whether all
// membership tables agree after a network partition that cuts off one region. In TestHollowOrchestrators, the flags
// -cut and -member-seconds set the duration of the cut. The orchestrators are hollow: only their membership runs.
// All of them run in one process under virtual time and are connected by a simulated network. Datagrams are encoded
// as on the wire. One seed determines all random values.
//
// This file contains the flags, the assertions for each size, and the report. A size is a number of orchestrators.
package hollow

import (
	"flag"
	"fmt"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"

	"ravenhitch/internal/plot"
	"ravenhitch/internal/stats"
)

var (
	instancesFlag = flag.String("instances", "9,32", "comma-separated numbers of orchestrators; each is simulated in turn")
	regionsFlag   = flag.Int("regions", 4, "regions")
	zonesFlag     = flag.Int("zones", 13, "zones, spread over the regions")
	calmFlag      = flag.Float64("calm", 60, "duration of the phase calm, which has no faults, in seconds of virtual time")
	cutFlag       = flag.Float64("cut", 60, "seconds of virtual time for which a region is cut off; 0 ends the scenario after the phase calm")
	memberFlag    = flag.Float64("member-seconds", 400_000, "maximum product of the duration of the cut in seconds and the number of orchestrators; limits -cut for large numbers")
	seedFlag      = flag.Uint64("seed", 1, "seed of all random values")
	outFlag       = flag.String("out", "", "directory for the samples and the charts; a temporary directory if empty")
)

const (
	// maxBytesExponent is the maximum exponent of the power law by which the traffic of a member grows with the
	// number of members.
	maxBytesExponent = 0.25
	// minSplitCut is a duration of a cut in seconds. In a cut that lasts at least this long, each side must consider
	// all members of the other side dead before the cut ends.
	minSplitCut = 60
	// maxDeadMessages is the maximum mean number of datagrams per second that a member may send, in the last part of
	// a cut, to members that are unknown, dead or departed in its table.
	maxDeadMessages = 2.5
)

func TestHollowOrchestrators(t *testing.T) {
	runtime.LockOSThread() // processor time is measured per thread
	defer runtime.UnlockOSThread()
	var results []result
	for _, n := range sizes(t) {
		r := run(n, *regionsFlag, *zonesFlag, *calmFlag, min(*cutFlag, *memberFlag/float64(n)), *seedFlag)
		for ph := forming; ph < phaseCount && r.records[ph].seconds > 0; ph++ {
			fmt.Println(r.phaseLine(ph))
		}
		fmt.Println(r.String())
		check(t, &r)
		results = append(results, r)
	}
	report(t, results)
}

// sizes returns the numbers of orchestrators in the flag -instances.
func sizes(t *testing.T) (out []int) {
	for text := range strings.SplitSeq(*instancesFlag, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 2 {
			t.Fatalf("-instances: got %q, want integers of at least 2", text)
		}
		out = append(out, n)
	}
	return out
}

// check asserts the properties that must hold at every size.
func check(t *testing.T, r *result) {
	if len(r.falseDeaths) > 0 {
		t.Errorf("%d members: got %d false deaths, want none; first: %s", r.memberCount, len(r.falseDeaths), r.falseDeaths[0])
	}
	for ph := forming; ph < phaseCount; ph++ {
		isShort := ph == cut && r.cutSeconds < minSplitCut // the cut is too short for each side to consider the other dead
		if r.records[ph].seconds > 0 && r.agreedAfter[ph] == never && !isShort {
			t.Errorf("%d members: the tables do not agree within phase %s", r.memberCount, ph)
		}
	}
	if r.deadEntriesAfter > 0 {
		t.Errorf("%d members: got %d entries in state dead after the cut has healed, want 0", r.memberCount, r.deadEntriesAfter)
	}
	if d := r.records[cut].tail.toDead; d > maxDeadMessages {
		t.Errorf("%d members: in the last part of the cut, each sends on average %.1f datagrams a second to members that it considers dead, want at most %.1f", r.memberCount, d, maxDeadMessages)
	}
}

// report writes the samples. If there are several sizes, it also writes the charts, prints the exponents of the
// power laws by which the costs in the phase calm grow with the number of members, and checks the exponent of the
// bytes sent.
func report(t *testing.T, results []result) {
	dir := *outFlag
	if dir == "" {
		dir = t.TempDir()
	}
	var n, bytes, us, heap []float64
	var rows [][]float64
	for _, r := range results {
		c := r.records[calm].mean(r.memberCount)
		n, bytes, us, heap = append(n, float64(r.memberCount)), append(bytes, c.bytes), append(us, c.microseconds), append(heap, r.heapPerMember)
		rows = slices.AppendSeq(rows, slices.Chunk(r.samples, len(sampleHeader)))
	}
	if err := stats.WriteTable(filepath.Join(dir, "hollow.csv"), sampleHeader, rows); err != nil {
		t.Fatal(err)
	}
	if len(n) < 2 {
		return // an exponent needs at least two sizes
	}
	for _, c := range []struct {
		file, label string
		y           []float64
	}{{"bytes", "bytes a second and member in calm", bytes}, {"us", "processor microseconds a second and member in calm", us},
		{"heap", "heap bytes a member in calm", heap}} {
		err := plot.Chart(filepath.Join(dir, "hollow-"+c.file+".svg"), "Membership", "orchestrators", c.label, plot.Series{Name: c.label, X: n, Y: c.y})
		if err != nil {
			t.Fatal(err)
		}
	}
	exponent := stats.Exponent(n, bytes)
	fmt.Printf("hollow: exponent_bytes=%.3f exponent_us=%.3f exponent_heap=%.3f\n", exponent, stats.Exponent(n, us), stats.Exponent(n, heap))
	if exponent > maxBytesExponent {
		t.Errorf("bytes per second and member grow with the number of members to the power of %.3f, want at most %.2f", exponent, maxBytesExponent)
	}
}

// TestReplays checks that two runs with the same seed have the same loads, except for processor time, and the
// same agreement times.
func TestReplays(t *testing.T) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	replay := func() (loads [phaseCount]load, agree [phaseCount]float64) {
		r := run(9, *regionsFlag, *zonesFlag, 5, 20, *seedFlag)
		for ph := range loads {
			loads[ph] = r.records[ph].total
			loads[ph].microseconds, loads[ph].codec = 0, 0
		}
		return loads, r.agreedAfter
	}
	loads, agree := replay()
	again, agreeAgain := replay()
	if loads != again || agree != agreeAgain {
		t.Errorf("two runs with one seed: got loads %v, agreement times %v, then loads %v, agreement times %v; want equal results", loads, agree, again, agreeAgain)
	}
}

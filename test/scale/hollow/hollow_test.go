// Package hollow measures what membership costs as the number of orchestrators grows, and
// whether all tables agree after a region was partitioned off for an hour. The orchestrators
// are hollow: of each only its membership runs, all in one process, joined by a simulated
// network under virtual time. Datagrams have the form that they have on the wire. All is
// drawn from one seed.
//
// This file owns the flags, the sizes that are run, and what must hold at each.
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
	instancesFlag = flag.String("instances", "9,32", "numbers of orchestrators, one after another")
	regionsFlag   = flag.Int("regions", 4, "regions")
	zonesFlag     = flag.Int("zones", 13, "zones, spread over the regions")
	calmFlag      = flag.Float64("calm", 60, "seconds of virtual time before any fault")
	cutFlag       = flag.Float64("cut", 60, "seconds of virtual time for which a region is cut off; 0 ends with the calm")
	memberFlag    = flag.Float64("member-seconds", 400_000, "seconds of the cut times orchestrators at most: many are cut off for less")
	seedFlag      = flag.Uint64("seed", 1, "draws delays, incarnation nonces and who restarts")
	outFlag       = flag.String("out", "", "where the samples and the charts are written; nowhere that stays if empty")
)

const (
	// maxBytesExponent bounds the power of the number of members by which a member's traffic grows.
	maxBytesExponent = 0.25
	// maxSplitTime is how long a cut may last, in seconds, before each side has all of the other
	// for dead.
	maxSplitTime = 60
	// maxDeadMessages bounds what a member sends to dead ones, in datagrams a second.
	maxDeadMessages = 2.5
)

func TestHollowOrchestrators(t *testing.T) {
	runtime.LockOSThread() // processor time is that of one thread
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

func sizes(t *testing.T) (out []int) {
	for text := range strings.SplitSeq(*instancesFlag, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 2 {
			t.Fatalf("-instances: expected numbers from 2 on, got %q", text)
		}
		out = append(out, n)
	}
	return out
}

// check asserts what must hold at every size.
func check(t *testing.T, r *result) {
	if len(r.falseDeaths) > 0 {
		t.Errorf("%d members: %d false deaths, the first: %s", r.memberCount, len(r.falseDeaths), r.falseDeaths[0])
	}
	for ph := forming; ph < phaseCount; ph++ {
		isShort := ph == cut && r.cutSeconds < maxSplitTime // each side need not have the other for dead so soon
		if r.records[ph].seconds > 0 && r.agreedAfter[ph] == never && !isShort {
			t.Errorf("%d members: the tables do not come to agree in phase %s", r.memberCount, ph)
		}
	}
	if r.deadEntriesAfter > 0 {
		t.Errorf("%d members: %d entries of members that stayed dead after the cut", r.memberCount, r.deadEntriesAfter)
	}
	if d := r.records[cut].tail.toDead; d > maxDeadMessages {
		t.Errorf("%d members: each sends %.1f datagrams a second to dead members", r.memberCount, d)
	}
}

// report prints the exponents, and writes samples and charts.
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
		return // one size has no exponent
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
		t.Errorf("the bytes a second and member grow with the members to the power of %.3f, expected at most %.2f", exponent, maxBytesExponent)
	}
}

// The same seed gives the same scenario, but for what the clock and the heap measure.
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
		t.Errorf("the same seed gives %v, %v and then %v, %v", loads, agree, again, agreeAgain)
	}
}

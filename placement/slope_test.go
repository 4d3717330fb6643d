package placement

import (
	"flag"
	"fmt"
	"testing"

	"ravenhitch/internal/plot"
	"ravenhitch/internal/stats"
)

var (
	workersFlag = flag.String("workers", "100,400", "slope tests: numbers of workers")
	unitsFlag   = flag.Int("units", 60, "slope tests: units of work measured at each number of workers")
	seedFlag    = flag.Uint64("seed", 1, "slope tests: seed")
	probesFlag  = flag.Bool("probes", false, "slope tests: workers may be probed for their load before a decision")
	csvFlag     = flag.String("csv", "", "slope tests: file for the table of measurements")
	svgFlag     = flag.String("svg", "", "slope tests: file for the chart")
)

const (
	// slopeWarmUp is the number of exchanges before the measured ones.
	slopeWarmUp = 40
	// allocsGrowth is the maximum factor by which the allocations of an exchange may grow in a fleet
	// that is four times as large. The factor is well below that of proportional growth, but leaves
	// room for slices that double their capacity.
	allocsGrowth = 1.5
	// maxUnplaced is the maximum fraction of the requests that get no offer in their exchange.
	maxUnplaced = 0.02
)

// slopeRow holds the measurements at one number of workers.
type slopeRow struct {
	workers               int
	requests, listEntries meter
	utilization, unplaced float64
}

// TestDecisionSlope measures how the cost of an exchange and of a list entry grows with the size of the
// fleet. It checks that few requests get no offer and, if the last size is four times the first, that the
// allocations of an exchange grow little. It does not check the time.
func TestDecisionSlope(t *testing.T) {
	lockToThread(t)
	var rows []*slopeRow
	for _, count := range sizes(t, *workersFlag) {
		r := measureSlope(t, count)
		rows = append(rows, r)
		fmt.Printf("slope: workers=%d request_us=%.1f list_entry_us=%.2f allocs=%.1f bytes=%.0f\n",
			count, r.requests.us(), r.listEntries.us(), r.requests.allocsEach(), r.requests.bytesEach())
		t.Logf("workers=%d asked=%.3f request_p50_us=%.1f request_p99_us=%.1f unplaced=%.3f",
			count, r.utilization, r.requests.percentileUs(50), r.requests.percentileUs(99), r.unplaced)
		if r.unplaced > maxUnplaced {
			t.Errorf("%d workers: got no offer for a fraction of %.3f of the requests, want at most %v", count, r.unplaced, maxUnplaced)
		}
	}
	reportSlope(t, rows)
	if first, last := rows[0], rows[len(rows)-1]; first.workers*4 == last.workers {
		if a, b := first.requests.allocsEach(), last.requests.allocsEach(); b > a*allocsGrowth {
			t.Errorf("got %.1f allocations per exchange with %d workers and %.1f with %d, want growth by at most a factor of %v",
				a, first.workers, b, last.workers, allocsGrowth)
		}
	}
}

func measureSlope(t *testing.T, workers int) *slopeRow {
	fleetSite := newSite(t, workers, *seedFlag, siteSettings(workers, *probesFlag), false)
	row := &slopeRow{workers: workers, utilization: fleetSite.meanUtilization()}
	fleetSite.warmUp(slopeWarmUp)
	for i := range *unitsFlag {
		drawn := fleetSite.prepare()
		if i%countEvery == 0 {
			row.requests.count(1, func() { fleetSite.run(drawn) })
		} else {
			row.requests.time(t, 1, func() { fleetSite.run(drawn) })
		}
		fleetSite.finish(drawn)
		changes := fleetSite.advanceToNextRequest()
		row.listEntries.time(t, len(changes), func() { fleetSite.handleEach(changes) })
	}
	row.unplaced = float64(fleetSite.unplaced) / float64(*unitsFlag)
	return row
}

// reportSlope prints the exponents with which the time per request and the time per list entry grow with the
// number of workers. It writes the table of measurements and the chart to the files that the flags name, if any.
func reportSlope(t *testing.T, rows []*slopeRow) {
	t.Helper()
	request, entry := plot.Series{Name: "request and answer"}, plot.Series{Name: "list entry"}
	var table [][]float64
	for _, row := range rows {
		workers := float64(row.workers)
		request.X, request.Y = append(request.X, workers), append(request.Y, row.requests.us())
		entry.X, entry.Y = append(entry.X, workers), append(entry.Y, row.listEntries.us())
		table = append(table, []float64{workers, row.requests.us(), row.listEntries.us(), row.requests.allocsEach(), row.requests.bytesEach(),
			row.requests.percentileUs(50), row.requests.percentileUs(99), row.listEntries.percentileUs(50), row.listEntries.percentileUs(99),
			row.utilization, row.unplaced, float64(*seedFlag)})
	}
	fmt.Printf("slope: exponent_request=%.3f exponent_list=%.3f\n",
		stats.Exponent(request.X, request.Y), stats.Exponent(entry.X, entry.Y))
	if *csvFlag != "" {
		header := []string{"workers", "request_us", "list_entry_us", "allocs", "bytes", "request_p50_us", "request_p99_us",
			"list_entry_p50_us", "list_entry_p99_us", "asked_share", "unplaced", "seed"}
		if err := stats.WriteTable(*csvFlag, header, table); err != nil {
			t.Error(err)
		}
	}
	if *svgFlag != "" {
		if err := plot.Chart(*svgFlag, "Cost of a decision", "workers", "us", request, entry); err != nil {
			t.Error(err)
		}
	}
}

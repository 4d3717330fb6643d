package placement

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"ravenhitch/internal/plot"
	"ravenhitch/internal/stats"
)

var caseFlag = flag.String("case", "", "TestModuleSlopes: measure this case only")

const (
	// maxUnitTime is the maximum processor time of one unit. If a unit takes longer, its case is not
	// measured at further fleet sizes.
	maxUnitTime = 2 * time.Second
	// maxCaseTime is the processor time after which no further units of a case are measured at the same
	// fleet size.
	maxCaseTime = 4 * time.Second
	// expensiveUnits is the number of units measured in each case with expensive units. These are
	// bursts of requests, and events that concern a large part of the fleet.
	expensiveUnits = 4
	pendingTimeout = 3600 * second
	pendingUnits   = 12
	burstTasks     = 256
	serviceTasks   = 200
	hugeCores      = 40
	hugeMemory     = 60
	hugeWorkers    = 3
	drainEvery     = 4 // measureDrain drains each worker whose index is a multiple of drainEvery
	poorService    = 0.85
	worstService   = 0.5
	reportedQueue  = 1
)

// eventCase is a kind of event, or a state of the fleet, for which the cost is measured.
type eventCase struct {
	name  string
	units int // maximum number of measured units
	// start returns the initial site. The cost of creating it does not count.
	start func(t *testing.T, workers int) *site
	// unit runs one unit and measures it with the meter.
	unit func(s *site, m *meter)
}

func busySite(t *testing.T, workers int) *site {
	return newSite(t, workers, *seedFlag, siteSettings(workers, *probesFlag), false)
}

func eventCases() []eventCase {
	units := *unitsFlag
	cases := []eventCase{
		{"request", units, warmSite, measureExchange},
		{"rejection", units, warmSite, measureRejection},
		{"burst_256", expensiveUnits, busySite, measureBurst},
		{"drain_quarter", expensiveUnits, busySite, measureDrain},
		{"zone_removed", expensiveUnits, busySite, func(s *site, m *meter) { measureZoneLoss(s, m, new(meter)) }},
		{"zone_restarted", expensiveUnits, busySite, func(s *site, m *meter) { measureZoneLoss(s, new(meter), m) }},
		{"request_warming_zone", units, warmingSite, measureExchange},
		{"first_list", expensiveUnits, busySite, measureFirstList},
		{"report_cores", units, busySite, reportCase(ReportCores, siteCoresUse)},
		{"report_service_poor", units, busySite, reportCase(ReportService, poorService)},
		{"report_service_worst", units, busySite, reportCase(ReportService, worstService)},
		{"probe_result", units, busySite, measureProbeResult},
		{"spread_200", units, serviceSite, measureReplica},
		{"huge", units, hugeSite, measureHuge},
		{"idle", units, idleSite, measureUnrelated},
		{"request_calibrated", units, calibratedSite, measureCalibrated},
	}
	for _, pending := range []int{10, 100, 1000} {
		start := func(t *testing.T, workers int) *site { return fullSite(t, workers, pending) }
		cases = append(cases,
			eventCase{fmt.Sprintf("held_%d_entry", pending), min(units, pendingUnits), start, measurePendingEntry},
			eventCase{fmt.Sprintf("held_%d_bell", pending), min(units, pendingUnits), start, measurePendingTimer})
	}
	return cases
}

// TestModuleSlopes measures how the cost of each event case grows with the size of the fleet. It
// asserts which actions the scheduler returns, but not how much time it uses.
func TestModuleSlopes(t *testing.T) {
	lockToThread(t)
	var table [][]float64
	var series []plot.Series
	for i, test := range eventCases() {
		if *caseFlag != "" && *caseFlag != test.name {
			continue
		}
		t.Run(test.name, func(t *testing.T) {
			line := plot.Series{Name: test.name}
			for _, workers := range sizes(t, *workersFlag) {
				m, stopped := measureCase(t, test, workers)
				line.X, line.Y = append(line.X, float64(workers)), append(line.Y, m.us())
				table = append(table, []float64{float64(i), float64(workers), m.us(), m.allocsEach(), m.bytesEach(), float64(m.units)})
				if stopped {
					break
				}
			}
			fmt.Printf("module: case=%s exponent=%.3f\n", test.name, stats.Exponent(line.X, line.Y))
			series = append(series, line)
		})
	}
	if *csvFlag != "" {
		if err := stats.WriteTable(*csvFlag, []string{"case", "workers", "us", "allocs", "bytes", "units"}, table); err != nil {
			t.Error(err)
		}
	}
	if *svgFlag != "" {
		if err := plot.Chart(*svgFlag, "Cost of events", "workers", "us", series...); err != nil {
			t.Error(err)
		}
	}
}

// measureCase measures a case at one fleet size, and reports whether to skip the further sizes.
func measureCase(t *testing.T, test eventCase, workers int) (m *meter, stopped bool) {
	lockToThread(t)
	m = &meter{}
	from := threadTime(t)
	s := test.start(t, workers)
	for range test.units {
		before := m.spent
		test.unit(s, m)
		if m.spent-before > maxUnitTime {
			stopped = true
			break
		}
		if m.spent > maxCaseTime {
			break
		}
	}
	note := ""
	if stopped {
		note = fmt.Sprintf(" stopped=unit_over_%s", maxUnitTime)
	}
	fmt.Printf("module: case=%s workers=%d us=%.1f allocs=%.1f%s\n", test.name, workers, m.us(), m.allocsEach(), note)
	t.Logf("case=%s workers=%d units=%d total_s=%.2f", test.name, workers, m.units, (threadTime(t) - from).Seconds())
	return m, stopped
}

// mustPlace fails the test if the request of the exchange got no offer.
func (e *exchange) mustPlace(s *site) {
	s.t.Helper()
	if e.place == nil {
		s.t.Fatalf("got no offer for task %+v, want one", e.task.Task)
	}
}

package scale

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// This file contains the order of the phases of a run, the checks of its result, and the last line that it
// prints.

// settleTimeout is the maximum time for which ledger.settle waits for outstanding responses and for outstanding
// reports of completions. It is longer than the timeout of any request and longer than completionLimit.
const settleTimeout = 20 * time.Second

// result holds the measured values of a run.
type result struct {
	options              options
	adopted, running     int
	idle, messages, peak phase
	started              int // number of starts in the peak
	counts               counts
	descriptors, peakMB  int64
	p50, p99             float64 // percentiles of the time from submission to start, in milliseconds
	slowestTurn          time.Duration
	pinged               bool // whether any orchestrator answered a ping of its prober in the peak
}

// TestScale runs the phases that the flags select and checks the result (see result.check). It checks only
// counts, never measured times. Without flags, it runs a small size.
func TestScale(t *testing.T) {
	o := flagOptions()
	r := newRig(t, o)
	path := o.samples
	if path == "" {
		path = filepath.Join(t.TempDir(), "samples.csv")
	}
	s, err := newSamples(r, path)
	if err != nil {
		t.Fatal(err)
	}
	res := r.runPhases(s)
	if o.failures {
		r.injectFailures(s)
		r.ledger.settle(settleTimeout)
		checkRules(t, "up to the end of the failures", r.ledger.snapshot())
	}
	r.logFindings()
	r.writeLogs()
	if err := s.close(); err != nil {
		t.Error(err)
	}
	res.check(t)
	fmt.Println(res)
}

// runPhases runs the phases in order, up to the peak. It then waits for outstanding responses and for outstanding
// reports of completions.
func (r *rig) runPhases(s *samples) result {
	res := result{options: r.options}
	s.phase.Store("admit")
	r.admit()
	s.phase.Store("idle")
	res.idle = r.runPhase("idle", r.options.calibration())
	s.phase.Store("messages")
	res.messages = r.runPhase("messages", r.options.calibration(), r.pingLikeStarts)
	if r.options.breakdown {
		s.phase.Store("list")
		r.runPhase("list", r.options.peak, r.allListChanges)
	}
	s.phase.Store("set-up")
	res.adopted = r.adoptRunning()
	r.t.Logf("%d of %d already running tasks are reported by orchestrators; %d connections to workers are open", res.adopted, r.options.running,
		r.fleet.Connections())
	s.phase.Store("standing")
	r.discovery.SetPaused(true)
	r.runPhase("standing", r.options.calibration())
	r.discovery.SetPaused(false)
	r.fleet.StartRunTimes()
	if r.options.breakdown {
		s.phase.Store("work")
		r.discovery.SetPaused(true)
		r.runPhase("work", r.options.peak, r.submitJobs)
		r.discovery.SetPaused(false)
	}
	r.runPeak(s, &res)
	s.phase.Store("settle")
	r.clients.stop(true)
	r.ledger.settle(settleTimeout)
	res.counts = r.ledger.snapshot()
	res.descriptors, res.peakMB = s.descriptors.Load(), s.peakMB.Load()
	return res
}

// runPeak runs the peak phase and stores its figures in res.
func (r *rig) runPeak(s *samples, res *result) {
	s.phase.Store("peak")
	before := r.ledger.snapshot()
	r.ledger.resetStarts()
	for _, o := range r.orchestrators {
		o.prober.reset()
	}
	res.peak = r.runPhase("peak", r.options.peak, r.submitJobs, r.foreignListChanges)
	s.record()
	res.running, res.started = r.fleet.Running(), r.ledger.snapshot().started-before.started
	res.p50, res.p99 = r.ledger.startPercentileMs(50), r.ledger.startPercentileMs(99)
	for _, o := range r.orchestrators {
		slowest, ok := o.prober.slowest()
		res.slowestTurn, res.pinged = max(res.slowestTurn, slowest), res.pinged || ok
	}
}

// controlPercent returns the processor time of the peak minus the processor time for messages, in percent of a
// core. It returns the maximum over all orchestrators. The processor time for messages is that of the phase
// messages minus that of the phase idle, but at least 0. In the phase messages, pings make as many messages per
// second as the peak.
func (res result) controlPercent() (highest float64) {
	for i := range res.peak.before {
		percent := func(p phase) float64 {
			return cpuPercent(p.before[i], p.after[i], p.after[i].at.Sub(p.before[i].at).Seconds())
		}
		highest = max(highest, percent(res.peak)-max(0, percent(res.messages)-percent(res.idle)))
	}
	return highest
}

// check checks the conditions that must hold at any size. It checks counts, never times.
func (res result) check(t *testing.T) {
	t.Helper()
	checkRules(t, "up to the end of the peak", res.counts)
	if res.adopted != res.options.running {
		t.Errorf("got %d already running tasks reported by orchestrators, want %d", res.adopted, res.options.running)
	}
	if res.descriptors > int64(res.options.sockets) {
		t.Errorf("an orchestrator had %d descriptors open, want at most %d", res.descriptors, res.options.sockets)
	}
	if res.counts.foreignStarts != 0 {
		t.Errorf("got %d starts at workers assigned to another orchestrator, want 0", res.counts.foreignStarts)
	}
	if res.started == 0 {
		t.Error("got no starts in the peak, want at least 1")
	}
}

func checkRules(t *testing.T, when string, c counts) {
	t.Helper()
	if c.unanswered != 0 || c.rulesBroken() != 0 {
		t.Errorf("unanswered requests or rule violations %s: got %+v, want none", when, c)
	}
}

// String returns the last line of a run. The slowest turn in this line is -1 if no prober (see type prober) got an
// answer to a ping in the peak.
func (res result) String() string {
	cpu, _ := res.peak.maxAndMean(cpuPercent)
	control, _ := res.peak.maxAndMean(controlKB)
	elapsed := res.peak.after[0].at.Sub(res.peak.before[0].at).Seconds()
	slowest := -1.0
	if res.pinged {
		slowest = float64(res.slowestTurn.Microseconds()) / 1000
	}
	return fmt.Sprintf("scale: workers=%d running=%d starts_s=%.1f cpu_pct_max=%.2f cpu_control_pct_max=%.2f rss_mb_max=%d "+
		"control_kb_s_max=%.1f descriptors_max=%d start_p50_ms=%.1f start_p99_ms=%.1f urgent_late=%d unanswered=%d "+
		"rules_broken=%d slowest_turn_ms=%.1f",
		res.options.workers, res.running, float64(res.started)/elapsed, cpu, res.controlPercent(), res.peakMB, control, res.descriptors,
		res.p50, res.p99, res.counts.urgentLate, res.counts.unanswered, res.counts.rulesBroken(), slowest)
}

// writeLogs writes the orchestrators' logs to the folder that -log names, if any.
func (r *rig) writeLogs() {
	if r.options.logs == "" {
		return
	}
	for _, o := range r.orchestrators {
		text := strings.Join(o.Lines(), "\n") + "\n"
		if err := os.WriteFile(filepath.Join(r.options.logs, o.Name+".log"), []byte(text), 0o600); err != nil {
			r.t.Error(err)
		}
	}
}

// logFindings logs the event counters of clients, workers and discovery, the unreported completions, and the
// orchestrators' warnings.
func (r *rig) logFindings() {
	r.t.Logf("scale-counts: %+v worker_refusals=%d list_entries=%d unaccepted=%d", r.ledger.snapshot(), r.fleet.Rejections(), r.discovery.EntriesPublished(),
		r.fleet.AcceptFailures())
	for _, line := range r.ledger.describeUnreported() {
		r.t.Log("scale-unreported: " + line)
	}
	for _, o := range r.orchestrators {
		if count, first := o.warnings(); len(count) > 0 {
			r.t.Logf("scale-log: %s %v, first:\n%s", o.Name, count, strings.Join(first, "\n"))
		}
	}
}

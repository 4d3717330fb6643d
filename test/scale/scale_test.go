package scale

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// This file owns the order of a run, what it asserts, and its last line.

// settleLimit holds the longest wait of a set-up, and the limit of an end.
const settleLimit = 20 * time.Second

// result is what a run showed.
type result struct {
	options              options
	known, running       int
	idle, messages, peak phase
	started              int
	counts               counts
	descriptors, peakMB  int64
	p50, p99             float64
	slowestTurn          time.Duration
	probed               bool
}

// TestScale plays the peak. Its small size, without flags, is asserted by counts only.
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
	res := r.run(s)
	if o.failures {
		r.playFailures(s)
		r.ledger.settle(settleLimit)
		checkRules(t, "after the failures", r.ledger.now())
	}
	r.logFindings()
	r.writeLogs()
	if err := s.close(); err != nil {
		t.Error(err)
	}
	res.check(t)
	fmt.Println(res)
}

// run plays the phases in their order.
func (r *rig) run(s *samples) result {
	res := result{options: r.options}
	s.phase.Store("admit")
	r.admit()
	s.phase.Store("idle")
	res.idle = r.play("idle", r.options.calibration())
	s.phase.Store("messages")
	res.messages = r.play("messages", r.options.calibration(), r.testMessages)
	if r.options.parts {
		s.phase.Store("list")
		r.play("list", r.options.peak, r.listChanges)
	}
	s.phase.Store("set-up")
	res.known = r.setUpRunning()
	r.t.Logf("%d of %d tasks that run already are known; %d connections to workers are open", res.known, r.options.running,
		r.fleet.Connections())
	s.phase.Store("standing")
	r.source.SetPaused(true)
	r.play("standing", r.options.calibration())
	r.source.SetPaused(false)
	r.fleet.StartRunTimes()
	if r.options.parts {
		s.phase.Store("work")
		r.source.SetPaused(true)
		r.play("work", r.options.peak, r.starts)
		r.source.SetPaused(false)
	}
	r.peak(s, &res)
	s.phase.Store("settle")
	r.clients.stop(true)
	r.ledger.settle(settleLimit)
	res.counts = r.ledger.now()
	res.descriptors, res.peakMB = s.descriptors.Load(), s.peakMB.Load()
	return res
}

// peak plays the peak itself.
func (r *rig) peak(s *samples, res *result) {
	s.phase.Store("peak")
	before := r.ledger.now()
	r.ledger.resetStarts()
	for _, o := range r.orchestrators {
		o.prober.reset()
	}
	res.peak = r.play("peak", r.options.peak, r.starts, r.othersChanges)
	s.take()
	res.running, res.started = r.fleet.Running(), r.ledger.now().started-before.started
	res.p50, res.p99 = r.ledger.startMs(50), r.ledger.startMs(99)
	for _, o := range r.orchestrators {
		slowest, ok := o.prober.slowest()
		res.slowestTurn, res.probed = max(res.slowestTurn, slowest), res.probed || ok
	}
}

// controlPercent is the processor time of the peak without that of the data path: what tests with
// the same messages need over doing nothing.
func (res result) controlPercent() (most float64) {
	for i := range res.peak.from {
		percent := func(p phase) float64 {
			return cpuPercent(p.from[i], p.until[i], p.until[i].at.Sub(p.from[i].at).Seconds())
		}
		most = max(most, percent(res.peak)-max(0, percent(res.messages)-percent(res.idle)))
	}
	return most
}

// check asserts what holds at any size: counts, never times.
func (res result) check(t *testing.T) {
	t.Helper()
	checkRules(t, "at the peak", res.counts)
	if res.known != res.options.running {
		t.Errorf("expected the %d tasks that run already to be known, got %d", res.options.running, res.known)
	}
	if res.descriptors > int64(res.options.sockets) {
		t.Errorf("expected at most %d descriptors, got %d", res.options.sockets, res.descriptors)
	}
	if res.counts.elsewhere != 0 {
		t.Errorf("expected no start at a worker of another orchestrator, got %d", res.counts.elsewhere)
	}
	if res.started == 0 {
		t.Error("expected starts, got none")
	}
}

func checkRules(t *testing.T, when string, c counts) {
	t.Helper()
	if c.unanswered != 0 || c.rulesBroken() != 0 {
		t.Errorf("unanswered and broken rules %s: expected none, got %+v", when, c)
	}
}

// String is the last line of a run. The slowest turn is described at prober; it is -1 where no
// test was answered.
func (res result) String() string {
	cpu, _ := res.peak.each(cpuPercent)
	control, _ := res.peak.each(controlKB)
	elapsed := res.peak.until[0].at.Sub(res.peak.from[0].at).Seconds()
	slowest := -1.0
	if res.probed {
		slowest = float64(res.slowestTurn.Microseconds()) / 1000
	}
	return fmt.Sprintf("scale: workers=%d running=%d starts_s=%.1f cpu_pct_max=%.2f cpu_control_pct_max=%.2f rss_mb_max=%d "+
		"control_kb_s_max=%.1f descriptors_max=%d start_p50_ms=%.1f start_p99_ms=%.1f urgent_late=%d unanswered=%d "+
		"rules_broken=%d slowest_turn_ms=%.1f",
		res.options.workers, res.running, float64(res.started)/elapsed, cpu, res.controlPercent(), res.peakMB, control, res.descriptors,
		res.p50, res.p99, res.counts.urgentLate, res.counts.unanswered, res.counts.rulesBroken(), slowest)
}

// writeLogs writes the orchestrators' logs, where that is asked for.
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

// logFindings tells the counts of clients and what the orchestrators warned of.
func (r *rig) logFindings() {
	r.t.Logf("scale-counts: %+v worker_refusals=%d list_entries=%d unaccepted=%d", r.ledger.now(), r.fleet.Rejections(), r.source.EntriesSent(),
		r.fleet.AcceptFailures())
	for _, line := range r.ledger.untold() {
		r.t.Log("scale-untold: " + line)
	}
	for _, o := range r.orchestrators {
		if count, first := o.warnings(); len(count) > 0 {
			r.t.Logf("scale-log: %s %v, first:\n%s", o.Name, count, strings.Join(first, "\n"))
		}
	}
}

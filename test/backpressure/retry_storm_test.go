package backpressure

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// This file runs retry storms: many clients submit at once, in addition to the usual demand.

var (
	seedFlag    = flag.Uint64("seed", 7, "seed of the random values of the storm")
	clientsFlag = flag.Int("clients", 2000, "clients that submit at once")
	honourFlag  = flag.Float64("honour", 0.6, "fraction of a Retry-After for which clients wait")
	restartFlag = flag.Bool("restart", false, "restart the orchestrators, one after another, around the start of the storm")
	nodesFlag   = flag.Int("nodes", 28, "workers")
	longestFlag = flag.Duration("longest", 3*time.Second, "maximum Retry-After in the configuration of the orchestrators")
	calmFlag    = flag.Float64("calm", 20, "the usual demand, in tasks a second")
	orchFlag    = flag.Int("orchestrators", 3, "orchestrators")
	onlyFlag    = flag.String("only", "", "run only the storm \"before\" (fixed Retry-After) or \"after\" (reserved slots); both if empty")
)

// Operators' files. fileBefore sets a fixed Retry-After of 1 s for all clients, as the program did before
// reserved slots existed. With fileAfter, the Retry-After makes each client return in its reserved slot.
const (
	fileBefore = "testdata/before.conf"
	fileAfter  = "testdata/after.conf"
)

const (
	stormSpan     = 360 * ms         // period in which the clients of the storm make their first submissions
	demandAfter   = 60 * time.Second // duration of the usual demand after the start of the storm
	startupTime   = 100 * ms         // time from the creation of the clients until the usual demand begins
	wakeupLead    = 10 * ms          // time between the wake-up of a client and its first submission
	restartBegin  = -500 * ms        // time when the first orchestrator is killed, relative to the start of the storm
	restartPeriod = 1500 * ms        // time from the kill of one orchestrator to the kill of the next
	downtime      = 700 * ms         // time from the kill of an orchestrator to its next start

	historyTimeout = time.Minute // maximum time for a check of the history
)

// stormOptions holds the size and the settings of a storm. usualRate is the usual demand in tasks per second.
// compliance is the fraction of a Retry-After for which clients wait. demandBefore is the length of the usual
// demand before the storm.
type stormOptions struct {
	seed                            uint64
	clients, workers, orchestrators int
	compliance, usualRate           float64
	restart                         bool
	maxRetryAfter, demandBefore     time.Duration
	operatorsFile                   string
}

// drawJobs draws the jobs of the storm and of the usual demand.
func (o stormOptions) drawJobs() []*job {
	random := rand.New(rand.NewPCG(o.seed, 5))
	storm := drawJobs(random, stormPrefix, o.clients, 0, stormSpan)
	length := o.demandBefore + demandAfter
	return append(storm, drawJobs(random, usualPrefix, int(o.usualRate*length.Seconds()), -o.demandBefore, length)...)
}

// runStorm runs one storm and returns its figures.
func runStorm(t *testing.T, options stormOptions) (f figures) {
	r := newRig(t, rigOptions{workers: options.workers, coldWorkers: options.workers / coldDivisor, orchestrators: options.orchestrators,
		operatorsFile: options.operatorsFile, seed: options.seed, maxRetryAfter: options.maxRetryAfter})
	for _, o := range r.orchestrators {
		o.start()
	}
	if t.Failed() {
		t.FailNow()
	}
	jobs := options.drawJobs()
	lastStart, relaysInTime := lowerBound(jobs, options.workers)
	f.lastStartBound, f.relaysInTimeBound = lastStart.Seconds(), relaysInTime
	c := newClients(r, options.compliance, time.Now().Add(options.demandBefore+startupTime))
	settled := make(chan struct{})
	restarted := make(chan int, 1)
	go func() { restarted <- r.restartAll(c, options.restart) }()
	utilization := make(chan float64, 1)
	go func() { utilization <- r.utilizationUntil(settled, c) }()
	results := c.runAll(jobs, settled)
	registered := <-restarted
	close(settled)
	if options.restart {
		t.Logf("%d running tasks were registered with restarted orchestrators", registered)
	}
	f.utilization = <-utilization
	f.collect(t, r, c, results, options.usualRate)
	for _, o := range r.orchestrators {
		o.End(syscall.SIGKILL)
	}
	f.history = r.recorder.history.check(historyTimeout)
	if f.history != porcupine.Ok {
		r.logViolations()
	}
	r.logNotableLines()
	return f
}

// runAll runs a client for each job. It returns the results of the storm's jobs once their clients have ended.
// When settled is closed, clients of the usual demand that have not begun are dropped.
func (c *clients) runAll(jobs []*job, settled <-chan struct{}) (results []*result) {
	var mu sync.Mutex
	var storm sync.WaitGroup
	for _, j := range jobs {
		if j.inStorm {
			storm.Add(1)
		}
		go func() {
			select {
			case <-time.After(time.Until(c.stormAt.Add(j.at - wakeupLead))):
			case <-settled:
				return
			}
			res := c.run(j)
			if j.inStorm {
				mu.Lock()
				results = append(results, res)
				mu.Unlock()
				storm.Done()
			}
		}()
	}
	storm.Wait()
	return results
}

// restartAll restarts the orchestrators one after another around the start of the storm if enabled is true. It
// returns the number of running tasks that were registered with the orchestrators after their restart.
func (r *rig) restartAll(c *clients, enabled bool) int {
	if !enabled {
		return 0
	}
	registered := 0
	for i, o := range r.orchestrators {
		time.Sleep(time.Until(c.stormAt.Add(time.Duration(i)*restartPeriod + restartBegin)))
		o.restart(downtime)
		registered += c.registerRunningTasks(i)
	}
	return registered
}

// logViolations logs the history of each request that breaks the rules for requests.
func (r *rig) logViolations() {
	for _, line := range r.recorder.history.violations(historyTimeout) {
		r.t.Log(line)
	}
}

// logNotableLines logs the lines about backpressure, errors and deadlines from the orchestrators' logs.
func (r *rig) logNotableLines() {
	for _, o := range r.orchestrators {
		for _, line := range o.Lines() {
			if strings.Contains(line, "backpressure") || strings.Contains(line, "ERROR") || strings.Contains(line, "deadline") {
				r.t.Log(line)
			}
		}
	}
}

// TestStormSmall runs a short storm, without and with restarts of the orchestrators. Each request must have exactly one
// response, or at most one if its connection ends. Each task of the storm must start, and no archive-cut task may start
// twice. No worker in slow start may be overloaded. The history must obey the rules for requests.
func TestStormSmall(t *testing.T) {
	for _, restart := range []bool{false, true} {
		t.Run(fmt.Sprint("restart=", restart), func(t *testing.T) {
			f := runStorm(t, stormOptions{seed: 11, clients: 300, workers: 8, compliance: 0.3, usualRate: 5, orchestrators: 3, restart: restart,
				maxRetryAfter: 3 * time.Second, demandBefore: time.Second, operatorsFile: fileAfter})
			if f.duplicateResponses != 0 || f.duplicateStarts != 0 || f.unanswered != 0 || f.neverStarted != 0 || f.peakColdLoad > 1 ||
				f.history != porcupine.Ok {
				t.Errorf("got %d duplicate responses, %d duplicate archive-cut starts, %d unanswered requests and %d tasks "+
					"never started, want 0 of each; got peak load %.2f of a worker in slow start, want at most 1; "+
					"got history check %s, want %s",
					f.duplicateResponses, f.duplicateStarts, f.unanswered, f.neverStarted, f.peakColdLoad,
					f.history, porcupine.Ok)
			}
		})
	}
}

// TestStorm2000 runs one storm with a fixed Retry-After and one with reserved slots, by default with 2,000
// clients, and prints the figures of both on one line.
func TestStorm2000(t *testing.T) {
	if flag.Lookup("test.run").Value.String() == "" {
		t.Skip("measurement of about a minute: runs only if selected with -run")
	}
	var before, after figures
	options := stormOptions{seed: *seedFlag, clients: *clientsFlag, workers: *nodesFlag, compliance: *honourFlag, usualRate: *calmFlag,
		restart: *restartFlag, maxRetryAfter: *longestFlag, demandBefore: 4 * time.Second, orchestrators: *orchFlag}
	if *onlyFlag != "after" {
		t.Run("before", func(t *testing.T) { options.operatorsFile = fileBefore; before = runStorm(t, options) })
	}
	if *onlyFlag != "before" {
		t.Run("after", func(t *testing.T) { options.operatorsFile = fileAfter; after = runStorm(t, options) })
	}
	fmt.Printf("storm: bound_s=%.1f settled_s=%.1f settled_s_before=%.1f asks_per_start=%.2f asks_per_start_before=%.2f relay_in_time=%.3f "+
		"relay_in_time_before=%.3f offers_per_start=%.2f cold_peak=%.2f late_answers=%d late_answers_before=%d double_answers=%d "+
		"archive_double_starts=%d unanswered=%d served_share=%.2f\n", after.lastStartBound, after.settledAt, before.settledAt,
		after.submissionsPerStart, before.submissionsPerStart, after.relaysInTime, before.relaysInTime, after.offersPerStart,
		after.peakColdLoad, after.lateResponses, before.lateResponses, after.duplicateResponses+before.duplicateResponses,
		after.duplicateStarts+before.duplicateStarts, after.unanswered, after.utilization)
}

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

// This file runs retry storms: many clients submit at once, beside the usual demand.

var (
	seedFlag    = flag.Uint64("seed", 7, "draws the storm")
	clientsFlag = flag.Int("clients", 2000, "clients that submit at once")
	honourFlag  = flag.Float64("honour", 0.6, "the share of a Retry-After that clients wait")
	restartFlag = flag.Bool("restart", false, "restart the orchestrators, one after another, as the storm begins")
	nodesFlag   = flag.Int("nodes", 28, "workers")
	longestFlag = flag.Duration("longest", 3*time.Second, "the settings' longest Retry-After")
	calmFlag    = flag.Float64("calm", 20, "the usual demand, in tasks a second")
	orchFlag    = flag.Int("orchestrators", 3, "orchestrators")
	onlyFlag    = flag.String("only", "", "run before or after only")
)

// The operators' files: Retry-After as it was before, and with reserved slots.
const (
	fileBefore = "testdata/before.conf"
	fileAfter  = "testdata/after.conf"
)

const (
	stormSpan     = 360 * ms // in which the clients of a storm first submit
	demandAfter   = 60 * time.Second
	startupTime   = 100 * ms // before the usual demand begins
	wakeupLead    = 10 * ms  // before a client's first submission
	restartBegin  = -500 * ms
	restartPeriod = 1500 * ms
	downtime      = 700 * ms
)

// stormOptions say what a storm is made of.
type stormOptions struct {
	seed                            uint64
	clients, workers, orchestrators int
	compliance, usualRate           float64
	restart                         bool
	maxRetryAfter, usualFor         time.Duration
	operatorsFile                   string
}

// drawJobs draws the storm's tasks and those of the usual demand.
func (o stormOptions) drawJobs() []*job {
	random := rand.New(rand.NewPCG(o.seed, 5))
	storm := drawJobs(random, stormPrefix, o.clients, 0, stormSpan)
	length := o.usualFor + demandAfter
	return append(storm, drawJobs(random, usualPrefix, int(o.usualRate*length.Seconds()), -o.usualFor, length)...)
}

// runStorm runs one storm.
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
	c := newClients(r, options.compliance, time.Now().Add(options.usualFor+startupTime))
	settled := make(chan struct{})
	restarted := make(chan int, 1)
	go func() { restarted <- r.restartAll(c, options.restart) }()
	utilization := make(chan float64, 1)
	go func() { utilization <- r.utilizationUntil(settled, c) }()
	results := c.runAll(jobs, settled)
	handedOver := <-restarted
	close(settled)
	if options.restart {
		t.Logf("%d running tasks were handed over", handedOver)
	}
	f.utilization = <-utilization
	f.take(t, r, c, results, options.usualRate)
	for _, o := range r.orchestrators {
		o.End(syscall.SIGKILL)
	}
	f.history = r.recorder.history.check(time.Minute)
	r.logFindings()
	return f
}

// runAll lets a client run for each job, until settled is closed, and returns the results of the
// storm once it is over.
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

// restartAll restarts the orchestrators one after another around the storm's begin, where that is
// on, and returns how many running tasks were handed over to them.
func (r *rig) restartAll(c *clients, on bool) int {
	if !on {
		return 0
	}
	handedOver := 0
	for i, o := range r.orchestrators {
		time.Sleep(time.Until(c.stormAt.Add(time.Duration(i)*restartPeriod + restartBegin)))
		o.restart(downtime)
		handedOver += c.handOver(i)
	}
	return handedOver
}

// logFindings logs what the orchestrators logged of the storm.
func (r *rig) logFindings() {
	for _, o := range r.orchestrators {
		for _, line := range o.Lines() {
			if strings.Contains(line, "backpressure") || strings.Contains(line, "ERROR") || strings.Contains(line, "deadline") {
				r.t.Log(line)
			}
		}
	}
}

// TestStormSmall runs a short storm and asserts what must hold in every one.
func TestStormSmall(t *testing.T) {
	for _, restart := range []bool{false, true} {
		t.Run(fmt.Sprint("restart=", restart), func(t *testing.T) {
			f := runStorm(t, stormOptions{seed: 11, clients: 300, workers: 8, compliance: 0.3, usualRate: 5, orchestrators: 3, restart: restart,
				maxRetryAfter: 3 * time.Second, usualFor: time.Second, operatorsFile: fileAfter})
			if f.duplicateResponses != 0 || f.duplicateStarts != 0 || f.unanswered != 0 || f.neverStarted != 0 || f.peakColdLoad > 1 ||
				f.history != porcupine.Ok {
				t.Errorf("%d answered twice, %d archive-cuts started twice, %d unanswered, %d never started, a cold worker at %.2f of its "+
					"bound, history %s",
					f.duplicateResponses, f.duplicateStarts, f.unanswered, f.neverStarted, f.peakColdLoad, f.history)
			}
		})
	}
}

// TestStorm2000 runs one storm with Retry-After as it was before and one with reserved slots, and
// prints both on one line.
func TestStorm2000(t *testing.T) {
	if flag.Lookup("test.run").Value.String() == "" {
		t.Skip("a measurement of a minute; run it by its name")
	}
	var before, after figures
	options := stormOptions{seed: *seedFlag, clients: *clientsFlag, workers: *nodesFlag, compliance: *honourFlag, usualRate: *calmFlag,
		restart: *restartFlag, maxRetryAfter: *longestFlag, usualFor: 4 * time.Second, orchestrators: *orchFlag}
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

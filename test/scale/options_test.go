// Package scale runs the size that the operators plan for against the real program: a few
// orchestrators as processes of their own, thousands of hollow workers that share the test's
// process, discovery, and clients at a steady rate beside running tasks that are registered at once.
// It measures what each orchestrator needs, and counts broken rules.
//
// The size that is planned for:
//
//	go test ./test/scale -run TestScale -v -args -workers 4000 -orchestrators 9 -starts 220 -running 34000 -seconds 60 -seed 1
//
// What an orchestrator needs apart from its limit of descriptors: three of the nine, as connections of
// more don't fit the 20,000 descriptors of the test's process, with the others' tasks and list changes:
//
//	... -args -workers 4000 -orchestrators 3 -fleet-size 9 -sockets 4990 -starts 73.33 -running 11333 -seconds 35 -seed 1 -parts
//
// Phases, each with a line of its own: idle (connections, membership, pings of the prober), messages
// (the data path: pings in place of submissions, as many messages as the starts make), list (with
// -parts: list changes alone), standing (running tasks, none of them completing, and nothing else),
// work (with -parts: starts and completions without list changes) and peak (all). The last line's
// cpu_control_pct_max is the peak without what messages need over idle. -peers=false runs without
// membership, -partition=false with all workers at each orchestrator, -keepalive=0 without TCP
// keep-alive; -failures injects failures after the peak.
//
// This file owns the flags.
package scale

import (
	"flag"
	"fmt"
	"strings"
	"time"

	"ravenhitch/internal/shard"
)

var (
	workersFlag       = flag.Int("workers", 40, "workers")
	orchestratorsFlag = flag.Int("orchestrators", 2, "orchestrators, each a process")
	startsFlag        = flag.Float64("starts", 20, "task starts a second, all orchestrators together")
	runningFlag       = flag.Int("running", 100, "tasks that ran before")
	secondsFlag       = flag.Float64("seconds", 3, "length of the peak, in seconds")
	seedFlag          = flag.Uint64("seed", 7, "draws the demand")
	listPeriodFlag    = flag.Int("list-ms", 1000, "interval of the list's changes, in milliseconds")
	idleFlag          = flag.Duration("idle", 30*time.Second, "after which a connection without a message is closed; 0: never")
	keepAliveFlag     = flag.Duration("keepalive", 4*time.Second, "of connections to workers, whole seconds; 0: off")
	socketsFlag       = flag.Int("sockets", 1024, "descriptors of an orchestrator")
	fleetSizeFlag     = flag.Int("fleet-size", 0, "orchestrators that the settings count, 0: those that run; "+
		"-starts and -running are of those that run, the others' tasks and list changes are simulated")
	samplesFlag   = flag.String("samples", "", "file for the samples as CSV; \"\": in the test's directory")
	peersFlag     = flag.Bool("peers", true, "let the orchestrators be a cluster")
	partitionFlag = flag.Bool("partition", true, "assign each worker to one orchestrator; needs -peers")
	breakdownFlag = flag.Bool("parts", false, "run the phases list and work too, as long as the peak each")
	logFlag       = flag.String("log", "", "folder for the orchestrators' logs at debug level; \"\": none")
	failuresFlag  = flag.Bool("failures", false, "inject the failures after the peak")
	kindsFlag     = flag.String("failure-kinds", strings.Join(failureKinds, ","), "which failures")
)

// options are the flags of one run.
type options struct {
	workers, orchestrators, running int
	starts                          float64
	peak, listPeriod, idle          time.Duration
	keepAlive                       time.Duration
	seed                            uint64
	sockets, fleetSize              int
	samples, logs                   string
	failureKinds                    []string
	peers, partition                bool
	breakdown, failures             bool
}

func flagOptions() options {
	o := options{
		workers:       *workersFlag,
		orchestrators: *orchestratorsFlag,
		running:       *runningFlag,
		starts:        *startsFlag,
		peak:          toDuration(*secondsFlag),
		listPeriod:    time.Duration(*listPeriodFlag) * time.Millisecond,
		idle:          *idleFlag,
		keepAlive:     *keepAliveFlag,
		seed:          *seedFlag,
		sockets:       *socketsFlag,
		fleetSize:     *fleetSizeFlag,
		samples:       *samplesFlag,
		logs:          *logFlag,
		failureKinds:  strings.Split(*kindsFlag, ","),
		peers:         *peersFlag,
		partition:     *peersFlag && *partitionFlag,
		breakdown:     *breakdownFlag,
		failures:      *failuresFlag,
	}
	if o.fleetSize == 0 {
		o.fleetSize = o.orchestrators
	}
	return o
}

// foreignShare is how many orchestrators don't run, for each that does.
func (o options) foreignShare() float64 { return float64(o.fleetSize)/float64(o.orchestrators) - 1 }

// regions are those of the zones, where each has an orchestrator.
func (o options) regions() shard.Regions {
	names := zoneNames()
	if o.orchestrators < regions {
		return nil
	}
	all := shard.Regions{}
	for i, zone := range names {
		all[zone] = fmt.Sprint("region-", i%regions+1)
	}
	return all
}

func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// meanRunTime is the run time that keeps the number of running tasks steady.
func (o options) meanRunTime() time.Duration { return toDuration(float64(o.running) / o.starts) }

// calibration is the length of the phases idle and messages. What is subtracted from the peak is
// the difference of two of them: of 6 s each, the kernel's ticks of 10 ms alone made it 0.3% of a core.
func (o options) calibration() time.Duration {
	return max(time.Second/2, min(20*time.Second, o.peak/3))
}

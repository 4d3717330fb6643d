// Package scale tests the real program at the size that the operators plan for, or by default at a small
// size. It runs a few orchestrators, each in its own process. The test's process runs all hollow workers,
// discovery, and clients. The clients register running tasks all at once and then submit tasks at a steady rate. The
// test measures the resources that each orchestrator uses and counts rule violations.
//
// The command for the planned size is:
//
//	go test ./test/scale -run TestScale -v -args -workers 4000 -orchestrators 9 -starts 220 -running 34000 -seconds 60 -seed 1
//
// The following command measures what an orchestrator uses when its descriptor limit (default 1024) does
// not constrain it. It runs three of the nine orchestrators and simulates the tasks and list changes of
// the others, because the connections of more orchestrators would exceed the limit of 20,000 descriptors
// of the test's process:
//
//	... -args -workers 4000 -orchestrators 3 -fleet-size 9 -sockets 4990 -starts 73.33 -running 11333 -seconds 35 -seed 1 -parts
//
// The test prints one line for each of its phases:
//   - idle: no load except open connections, membership, and the pings that measure the turns of the event
//     loop (see type prober).
//   - messages: the data path alone. Pings replace submissions and make as many messages as the starts
//     would.
//   - list (only with -parts): changes of the worker list alone.
//   - standing: running tasks, none of which completes, and no other load.
//   - work (only with -parts): starts and completions without list changes.
//   - peak: starts, completions and list changes on top of the running tasks.
//
// The field cpu_control_pct_max of the last line is the processor time of the peak minus the difference in
// processor time between the phases messages and idle. -peers=false runs without membership,
// -partition=false assigns all workers to every orchestrator, and -failures injects failures after the peak.
// With -keepalive=0, TCP acknowledgements from a worker do not prove that its connection is alive.
//
// This file contains the flags.
package scale

import (
	"flag"
	"fmt"
	"strings"
	"time"

	"ravenhitch/internal/shard"
)

var (
	workersFlag       = flag.Int("workers", 40, "number of workers")
	orchestratorsFlag = flag.Int("orchestrators", 2, "number of orchestrators, each in its own process")
	startsFlag        = flag.Float64("starts", 20, "task starts a second, all orchestrators together")
	runningFlag       = flag.Int("running", 100, "number of tasks that already run when clients start to submit jobs")
	secondsFlag       = flag.Float64("seconds", 3, "length of the peak, in seconds")
	seedFlag          = flag.Uint64("seed", 7, "seed of the random demand")
	listPeriodFlag    = flag.Int("list-ms", 1000, "interval at which discovery publishes changes of the worker list, in milliseconds")
	idleFlag          = flag.Duration("idle", 30*time.Second, "time without a message after which a worker closes a connection to an orchestrator, and an orchestrator a connection to a client; 0: never")
	keepAliveFlag     = flag.Duration("keepalive", 4*time.Second, "idle time before TCP keep-alive probes on connections to workers, in whole seconds; 0: only received data proves that a connection is alive")
	socketsFlag       = flag.Int("sockets", 1024, "descriptor limit of each orchestrator")
	fleetSizeFlag     = flag.Int("fleet-size", 0, "number of orchestrators in the settings; 0: those that run. "+
		"-starts and -running count only the tasks of those that run; the tasks and list changes of the others are simulated")
	samplesFlag   = flag.String("samples", "", "file for the samples as CSV; \"\": a temporary file, deleted after the test")
	peersFlag     = flag.Bool("peers", true, "run membership among the orchestrators")
	partitionFlag = flag.Bool("partition", true, "assign each worker to one orchestrator; needs -peers")
	breakdownFlag = flag.Bool("parts", false, "also run the phases list and work, each for the length of the peak")
	logFlag       = flag.String("log", "", "folder for the orchestrators' logs at debug level; \"\": none")
	failuresFlag  = flag.Bool("failures", false, "inject the failures after the peak")
	kindsFlag     = flag.String("failure-kinds", strings.Join(failureKinds, ","), "kinds of failures to inject with -failures, separated by commas")
)

// options holds the flag values of one run.
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

// foreignShare returns the number of orchestrators that are only simulated, per orchestrator that runs. The
// settings count both kinds; -fleet-size is their total number.
func (o options) foreignShare() float64 { return float64(o.fleetSize)/float64(o.orchestrators) - 1 }

// regions returns the region of each zone, or nil if there are fewer orchestrators than regions.
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

// meanRunTime returns the mean run time that keeps the number of running tasks constant.
func (o options) meanRunTime() time.Duration { return toDuration(float64(o.running) / o.starts) }

// calibration returns the length of the phases idle, messages and standing. The difference in processor time
// between messages and idle is subtracted from the processor time of the peak. The kernel updates the
// processor time of a running thread only at its ticks, every 10 ms. With phases of 6 s, this alone caused an error
// of 0.3% of a core in the difference.
func (o options) calibration() time.Duration {
	return max(time.Second/2, min(20*time.Second, o.peak/3))
}

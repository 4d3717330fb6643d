package scale

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"ravenhitch/internal/testbed/hollow"
)

// This file owns the demand: classes, tenants, kinds of workers, and jobs of tasks.

// class is a class of the deployment.
type class struct {
	name, semantics                   string
	share                             float64       // of all jobs
	latencyObjective, responseTimeout time.Duration // of a task's start, and of the response to one request
	urgent                            bool
}

// The semantics of classes: repeats do no harm, are discarded by the workers for repeatWindow, or
// must never be.
const (
	semanticsFree       = "free"
	semanticsGuarded    = "guarded"
	semanticsSingleShot = "single_shot"
	repeatWindow        = 5 * time.Second
)

var classes = []class{
	{name: "batch", semantics: semanticsFree, share: 0.80, latencyObjective: 30 * time.Second, responseTimeout: 10 * time.Second},
	{name: "service", semantics: semanticsGuarded, share: 0.17, latencyObjective: 10 * time.Second, responseTimeout: 8 * time.Second},
	{name: "urgent", semantics: semanticsSingleShot, share: 0.03, latencyObjective: urgentLimit, responseTimeout: 5 * time.Second, urgent: true},
}

const (
	// urgentLimit is when an urgent task must have started.
	urgentLimit = 8 * time.Second
	tenants     = 60
	// largestJob is that of a gang. Sizes are drawn evenly on a logarithmic scale, 46 tasks in the
	// mean: at 220 starts a second 4.8 jobs a second, which at the peak is nine times the mean
	// rate of 48,000 jobs a day.
	largestJob  = 256
	regions     = 4
	zones       = 13
	maxCellSize = 40 // workers: each zone has a cell
)

var kinds = []hollow.Kind{{Name: "node-32", Cores: 28, Memory: 60}, {Name: "node-32b", Cores: 28, Memory: 60},
	{Name: "node-64", Cores: 56, Memory: 120}}

// shapes are the cores that tasks request, each with twice the memory: 2.75 cores in the mean, so
// that 34,000 tasks fill 4,000 workers to 63%.
var shapes = []struct{ cores, share float64 }{{1, 0.35}, {2, 0.30}, {4, 0.25}, {8, 0.10}}

const meanCores = 2.75

func zoneNames() (names []string) {
	for i := range zones {
		names = append(names, fmt.Sprintf("zone-%d%c", i%regions+1, 'a'+i/regions))
	}
	return names
}

// job is a set of tasks that are submitted together.
type job struct {
	class   *class
	tenant  string
	program uint64
	size    int
	task    hollow.Task // each of them, but for the run time
	name    string
}

// demand draws jobs.
type demand struct {
	random      *rand.Rand
	meanRunTime time.Duration
	largestJob  int // tasks
	jobs        int
}

// largestSeconds are the seconds of starts that the largest job of a small size has.
const largestSeconds = 2

func newDemand(seed uint64, o options) *demand {
	fleetStarts := o.starts * (1 + o.foreignShare())
	return &demand{random: rand.New(rand.NewPCG(seed, 29)), meanRunTime: o.meanRunTime(),
		largestJob: max(1, min(largestJob, int(largestSeconds*fleetStarts)))}
}

func (d *demand) next() job {
	d.jobs++
	j := job{class: d.class(), tenant: d.tenant(), program: d.random.Uint64() | 1, name: fmt.Sprintf("job-%06d", d.jobs)}
	j.size = int(math.Exp(d.random.Float64() * math.Log(float64(d.largestJob+1))))
	j.task.Cores = d.cores()
	j.task.Memory = 2 * j.task.Cores
	return j
}

func (d *demand) class() *class {
	pick := d.random.Float64()
	for i := range classes {
		if pick -= classes[i].share; pick < 0 {
			return &classes[i]
		}
	}
	return &classes[0]
}

func (d *demand) cores() float64 {
	pick := d.random.Float64()
	for _, s := range shapes {
		if pick -= s.share; pick < 0 {
			return s.cores
		}
	}
	return shapes[0].cores
}

// tenant draws one of the tenants: the first submit the most.
func (d *demand) tenant() string {
	return tenantName(int(tenants * math.Pow(d.random.Float64(), 2)))
}

func tenantName(i int) string { return fmt.Sprintf("team-%02d", i) }

// runTime draws a run time. The exponential has no memory: it also is what is left of the run time of
// a task that ran before.
func (d *demand) runTime() time.Duration {
	return time.Duration(float64(d.meanRunTime) * d.random.ExpFloat64())
}

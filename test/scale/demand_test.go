package scale

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"ravenhitch/internal/testbed/hollow"
)

// This file contains the demand: classes, tenants, kinds of workers, and jobs of tasks.

// class is a request class of the deployment.
type class struct {
	name, semantics string
	share           float64 // fraction of all jobs that belong to the class
	// latencyObjective is the time within which a task should start. responseTimeout is the timeout of one request.
	latencyObjective, responseTimeout time.Duration
	urgent                            bool
}

// The semantics of a class determine the effect of a second start of a task that already runs. With semantics
// "free", a second start is harmless. With "guarded", real workers discard a second start within repeatWindow of
// the first. With "single_shot", a second start must never happen.
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
	// urgentLimit is the maximum time from the submission of an urgent task to its start.
	urgentLimit = 8 * time.Second
	tenants     = 60
	// largestJob is the maximum number of tasks in a job. A job of this size represents a gang, which is a large set
	// of tasks that are submitted together. The sizes of jobs are uniformly distributed on a logarithmic scale with
	// a mean of 46 tasks, so the peak of 220 starts per second is 4.8 jobs per second. A day has 48,000 jobs, or
	// 0.56 per second on average, so the rate of the peak is about nine times the mean rate.
	largestJob = 256
	regions    = 4
	zones      = 13
	// maxCellSize is the maximum number of workers in a cell. A small fleet has smaller cells, so that each zone has
	// a cell.
	maxCellSize = 40
)

var kinds = []hollow.Kind{{Name: "node-32", Cores: 28, Memory: 60}, {Name: "node-32b", Cores: 28, Memory: 60},
	{Name: "node-64", Cores: 56, Memory: 120}}

// shapes lists numbers of cores, each with the fraction of tasks that request it. For each core, a task requests
// two units of memory, in the unit of the field Memory in kinds. The mean is 2.75 cores, so 34,000 tasks request
// 93,500 cores. This is 63% of the cores of 4,000 workers, which have 37.3 cores on average.
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
	task    hollow.Task // cores and memory that each task requests; the run time is not set here, because it differs between tasks
	name    string
}

// demand draws random jobs.
type demand struct {
	random      *rand.Rand
	meanRunTime time.Duration
	largestJob  int // maximum number of tasks in a job
	jobs        int // number of jobs drawn so far
}

// largestSeconds limits the size of jobs in a small run. A job has at most as many tasks as the whole fleet
// starts in largestSeconds seconds.
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

// tenant draws a tenant. Tenants with lower numbers submit more jobs.
func (d *demand) tenant() string {
	return tenantName(int(tenants * math.Pow(d.random.Float64(), 2)))
}

func tenantName(i int) string { return fmt.Sprintf("team-%02d", i) }

// runTime draws a run time from an exponential distribution. This distribution is memoryless, so the remaining
// run time of a task that already runs has the same distribution.
func (d *demand) runTime() time.Duration {
	return time.Duration(float64(d.meanRunTime) * d.random.ExpFloat64())
}

package backpressure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ravenhitch/internal/testbed"
)

// This file owns the demand: the classes of the deployment and the tasks that are drawn from them.
// The same seed must always draw the same tasks.

const ms = time.Millisecond

// class is a request class of the deployment, with the ranges from which its tasks are drawn.
type class struct {
	name             string
	share            float64      // fraction of all tasks that belong to this class
	shapes           [][2]float64 // cores and memory of a task; one pair is drawn for each program
	responseTimeout  time.Duration
	latencyObjective time.Duration
	startTime        [2]time.Duration // minimum and maximum duration of a start at full speed, drawn for each task
	meanRunTime      [2]time.Duration // minimum and maximum of the mean run time, drawn for each program
}

const (
	classRelay      = "live-relay"
	classArchiveCut = "archive-cut" // class whose tasks must never start twice
)

var classes = []class{
	{
		name: "guide-web", share: 0.53, shapes: [][2]float64{{0.25, 1}, {0.5, 1}, {1, 3}},
		responseTimeout: 6000 * ms, latencyObjective: 1000 * ms,
		startTime: [2]time.Duration{93 * ms, 230 * ms}, meanRunTime: [2]time.Duration{8500 * ms, 21000 * ms},
	},
	{
		name: classRelay, share: 0.4614, shapes: [][2]float64{{0.5, 1}, {1, 2.5}, {1.5, 1.5}},
		responseTimeout: 5000 * ms, latencyObjective: 700 * ms,
		startTime: [2]time.Duration{130 * ms, 240 * ms}, meanRunTime: [2]time.Duration{8500 * ms, 21000 * ms},
	},
	{
		name: classArchiveCut, share: 0.0086, shapes: [][2]float64{{4, 6}, {10, 24}},
		responseTimeout: 10000 * ms, latencyObjective: 6000 * ms,
		startTime: [2]time.Duration{260 * ms, 400 * ms}, meanRunTime: [2]time.Duration{27000 * ms, 62000 * ms},
	},
}

// job is one task of the storm or of the usual demand.
type job struct {
	testbed.Task
	class   *class
	key     string
	program uint64
	at      time.Duration // time of the first submission, relative to the start of the storm
	inStorm bool          // the job belongs to the storm; otherwise it belongs to the usual demand
	seed    uint64        // seed of the draws that the client makes
}

// Prefixes of the keys of jobs.
const (
	stormPrefix = "c"
	usualPrefix = "k"
)

// program describes a program and the tasks that run it, which all have the same class, cores and memory.
type program struct {
	class       *class
	id          uint64
	shape       [2]float64
	meanRunTime time.Duration
	tasksLeft   int // number of tasks of the program that are still to be drawn
}

// demand draws tasks and the programs that they run.
type demand struct {
	random   *rand.Rand
	programs []*program
}

// drawJobs draws n jobs that are first submitted between begin and begin+span, relative to the start of
// the storm. A run time is drawn from an exponential distribution with the program's mean run time as its mean, and
// then limited to 0.1 to 3 times that mean.
func drawJobs(random *rand.Rand, prefix string, n int, begin, span time.Duration) (jobs []*job) {
	d := demand{random: random}
	for i := range n {
		p := d.programWithTasksLeft(d.drawClass())
		p.tasksLeft--
		runTime := time.Duration(float64(p.meanRunTime) * min(3, max(0.1, random.ExpFloat64())))
		jobs = append(jobs, &job{
			class:   p.class,
			key:     fmt.Sprintf("%s%08x%06x", prefix, random.Uint32(), i),
			program: p.id,
			at:      begin + time.Duration(random.Float64()*float64(span)),
			seed:    random.Uint64(),
			inStorm: prefix == stormPrefix,
			Task: testbed.Task{Class: p.class.name, Cores: p.shape[0], Memory: p.shape[1],
				StartTime: uniformDuration(random, p.class.startTime), RunTime: runTime},
		})
	}
	return jobs
}

// drawClass draws a class. The share of a class is its probability.
func (d *demand) drawClass() *class {
	pick := d.random.Float64()
	for i := range classes {
		if pick -= classes[i].share; pick < 0 {
			return &classes[i]
		}
	}
	return &classes[0]
}

// programWithTasksLeft returns the newest program of a class among those with tasks left. If there is none, it adds
// and returns a program of 7 to 18 tasks.
func (d *demand) programWithTasksLeft(c *class) (found *program) {
	for _, p := range d.programs {
		if p.class == c && p.tasksLeft > 0 {
			found = p
		}
	}
	if found == nil {
		found = &program{
			class:       c,
			id:          d.random.Uint64() >> 16,
			shape:       c.shapes[d.random.IntN(len(c.shapes))],
			meanRunTime: uniformDuration(d.random, c.meanRunTime),
			tasksLeft:   7 + d.random.IntN(12),
		}
		d.programs = append(d.programs, found)
	}
	return found
}

// uniformDuration draws a duration from a uniform distribution between two bounds.
func uniformDuration(random *rand.Rand, bounds [2]time.Duration) time.Duration {
	return bounds[0] + time.Duration(random.Float64()*float64(bounds[1]-bounds[0]))
}

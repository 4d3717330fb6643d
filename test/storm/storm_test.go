package storm

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// This file plays storms and measures them.

var (
	seedFlag    = flag.Uint64("seed", 7, "draws the crowd")
	clientsFlag = flag.Int("clients", 2000, "owners that ask at once")
	honourFlag  = flag.Float64("honour", 0.6, "the share of an advice that owners stay away")
	restartFlag = flag.Bool("restart", false, "restart the orchestrators, one after another, as the storm begins")
	nodesFlag   = flag.Int("nodes", 28, "machines")
	longestFlag = flag.Duration("longest", 3*time.Second, "the settings' longest advice")
	calmFlag    = flag.Float64("calm", 20, "the usual demand, in tasks a second")
	orchFlag    = flag.Int("orchestrators", 3, "orchestrators")
	onlyFlag    = flag.String("only", "", "play before or after only")
)

// figures are what one storm showed.
type figures struct {
	bound, settled, asksPerStart, inTime, offersPerStart, coldPeak, used float64
	late, double, doubleStarts, unanswered, never                        int
	lateMost                                                             time.Duration
	inTimeBound                                                          float64
	history                                                              porcupine.CheckResult
}

// bound is the time at which the last task of the crowd can have started, and the
// share of relays that can be in time, if the fleet were one pool whose room is all
// known, and looked at offers and started tasks as fast as its machines do: relays
// first, then in the order of coming.
func bound(js []*job, nodes int) (last time.Duration, relays float64) {
	const step = 10 * ms
	var cores, memory, asks, slots float64
	for i, s := range machineSpecs(fleet{nodes: nodes}) {
		cores, memory = cores+s.Cores, memory+s.Memory
		asks += float64(step) / float64((s.InspectionTime[0]+s.InspectionTime[1])/2)
		if pace := 1.0; i < nodes/7 {
			slots += s.ColdStartRate * float64(s.MaxStarting)
		} else {
			slots += pace * float64(s.MaxStarting)
		}
	}
	busy := make([]time.Duration, int(slots)) // until when each slot starts something
	type end struct {
		at time.Duration
		j  *job
	}
	var ends []end
	queue := slices.SortedFunc(slices.Values(js), func(a, b *job) int { return int(a.at - b.at) })
	var waiting []*job
	var n, good int
	tokens := 0.0
	for now, i := queue[0].at, 0; i < len(queue) || len(waiting) > 0; now += step {
		tokens = min(tokens+asks, float64(nodes))
		for ; i < len(queue) && queue[i].at <= now; i++ {
			waiting = append(waiting, queue[i])
		}
		ends = slices.DeleteFunc(ends, func(e end) bool {
			if e.at > now {
				return false
			}
			cores, memory = cores+e.j.Cores, memory+e.j.Memory
			return true
		})
		slices.SortStableFunc(waiting, func(a, b *job) int { return b.rank() - a.rank() })
		waiting = slices.DeleteFunc(waiting, func(j *job) bool {
			if j.Cores > cores || j.Memory > memory || tokens < 1 {
				return false
			}
			tokens--
			slot := 0
			for k := range busy {
				if busy[k] < busy[slot] {
					slot = k
				}
			}
			busy[slot] = max(now, busy[slot]) + j.StartTime
			cores, memory = cores-j.Cores, memory-j.Memory
			ends = append(ends, end{busy[slot] + j.RunTime, j})
			if j.crowd {
				last = max(last, now)
				if j.Class == "live-relay" && busy[slot]-j.at <= j.class.aim {
					good++
				}
			}
			return true
		})
	}
	for _, j := range js {
		if j.crowd && j.Class == "live-relay" {
			n++
		}
	}
	return last, float64(good) / float64(max(1, n))
}

func (j *job) rank() int {
	if j.Class == "live-relay" {
		return 1
	}
	return 0
}

// build builds the program once.
var build = sync.OnceValues(func() (string, error) {
	dir, err := filepath.Abs("../../bin")
	if err != nil {
		return "", err
	}
	bin := filepath.Join(dir, "ravenhitch")
	out, err := exec.Command("go", "build", "-o", bin, "ravenhitch/cmd/ravenhitch").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return bin, nil
})

// story is what a storm is made of.
type story struct {
	seed             uint64
	clients, nodes   int
	orchestrators    int
	honour, calm     float64
	restart          bool
	longest, calmFor time.Duration
	conf             string
}

// play plays one storm.
func play(t *testing.T, s story) figures {
	bin, err := build()
	if err != nil {
		t.Fatal(err)
	}
	conf, err := filepath.Abs(s.conf)
	if err != nil {
		t.Fatal(err)
	}
	r := newRig(t, bin, conf, fleet{nodes: s.nodes, cold: s.nodes / 7, orchestrators: s.orchestrators, lag: 1500 * ms}, s.seed, s.longest)
	for _, o := range r.orch {
		o.start()
	}
	if t.Failed() {
		t.FailNow()
	}
	rng := rand.New(rand.NewPCG(s.seed, 5))
	js := jobs(rng, "c", s.clients, 0, 360*ms)
	length := s.calmFor + 60*time.Second
	js = append(js, jobs(rng, "k", int(s.calm*length.Seconds()), -s.calmFor, length)...)
	var f figures
	last, relays := bound(js, s.nodes)
	f.bound, f.inTimeBound = last.Seconds(), relays
	o := newOwners(r, s.honour)
	o.begin = time.Now().Add(s.calmFor + 100*ms)
	var mu sync.Mutex
	var results []*result
	var crowd sync.WaitGroup
	over := make(chan struct{})
	for _, j := range js {
		if j.crowd {
			crowd.Add(1)
		}
		go func() {
			select {
			case <-time.After(time.Until(o.begin.Add(j.at - 10*ms))):
			case <-over:
				return
			}
			res := o.run(j)
			if j.crowd {
				mu.Lock()
				results = append(results, res)
				mu.Unlock()
				crowd.Done()
			}
		}()
	}
	var handed atomic.Int64
	restarted := make(chan struct{})
	if !s.restart {
		close(restarted)
	} else {
		go func() {
			defer close(restarted)
			for i, p := range r.orch {
				time.Sleep(time.Until(o.begin.Add(time.Duration(i)*1500*ms - 500*ms)))
				p.End(syscall.SIGKILL)
				time.Sleep(700 * ms)
				p.start()
				handed.Add(int64(o.handOver(i)))
			}
		}()
	}
	used := make(chan float64, 1)
	go func() { used <- r.used(o, over) }()
	crowd.Wait()
	<-restarted
	close(over)
	if s.restart {
		t.Logf("%d tasks were handed in as running", handed.Load())
	}
	f.used = <-used
	f.read(t, r, o, results, s.calm)
	for _, p := range r.orch {
		p.End(syscall.SIGKILL)
	}
	f.history = r.watch.history.check(time.Minute)
	for _, p := range r.orch {
		for _, l := range p.Lines() {
			if strings.Contains(l, "backpressure") || strings.Contains(l, "ERROR") || strings.Contains(l, "deadline") {
				t.Log(l)
			}
		}
	}
	return f
}

// used is the share of the fleet's room that was in use while tasks waited for it.
func (r *rig) used(o *owners, over chan struct{}) float64 {
	var sum, n float64
	for {
		select {
		case <-over:
			return sum / max(1, n)
		case <-time.After(50 * ms):
		}
		waits := 0
		for _, pool := range o.pools {
			for _, l := range pool {
				l.mu.Lock()
				for tag := range l.open {
					if !l.over[tag] {
						waits++
					}
				}
				l.mu.Unlock()
			}
		}
		if waits < 50 || time.Since(o.begin) < 2*time.Second {
			continue
		}
		var free, all float64
		for _, m := range r.machines {
			c, b := m.FreeCapacity()
			free += max(0, min(c/m.Cores, b/m.Memory)) * m.Cores
			all += m.Cores
		}
		sum, n = sum+1-free/all, n+1
	}
}

func (f *figures) read(t *testing.T, r *rig, o *owners, results []*result, calm float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var asks, starts, relays, good int
	for _, res := range results {
		asks += res.asks
		if res.gaveUp {
			f.never++
			continue
		}
		starts++
		f.settled = max(f.settled, res.started.Sub(o.begin).Seconds())
		if res.Class == "live-relay" {
			relays++
			r.watch.mu.Lock()
			if at := r.watch.ran[res.key]; !at.IsZero() && at.Sub(res.first) <= res.class.aim {
				good++
			}
			r.watch.mu.Unlock()
		}
	}
	// Arrivals are back at the calm rate from the end of the last second above it.
	sends := slices.SortedFunc(slices.Values(o.sends), time.Time.Compare)
	for i := range sends {
		k := i
		for k < len(sends) && sends[k].Sub(sends[i]) < time.Second {
			k++
		}
		if float64(k-i) > 1.2*calm+15 {
			f.settled = max(f.settled, sends[k-1].Sub(o.begin).Seconds())
		}
	}
	f.asksPerStart = float64(asks) / float64(max(1, starts))
	f.inTime = float64(good) / float64(max(1, relays))
	f.late, f.double, f.unanswered = len(o.late), o.double, o.unheard
	for _, d := range o.late {
		f.lateMost = max(f.lateMost, d)
	}
	r.watch.mu.Lock()
	f.doubleStarts = r.watch.double
	accepts, copies := 0, 0
	for _, n := range r.watch.accepts {
		accepts += n
		copies += n - 1
	}
	r.watch.mu.Unlock()
	refused, notes := 0, map[string]int{}
	for _, m := range r.machines {
		f.coldPeak = max(f.coldPeak, m.PeakLoad())
		for note, n := range m.Rejections() {
			refused += n
			notes[note] += n
		}
	}
	t.Logf("offers refused: %v; %d copies", notes, copies)
	for _, at := range []time.Duration{200 * ms, 400 * ms, 600 * ms, 800 * ms, 1000 * ms, 2 * time.Second} {
		by := map[string]int{}
		for _, res := range results {
			if !res.gaveUp && res.started.Sub(o.begin) <= at {
				by[res.Class]++
			}
		}
		t.Logf("started by %s: %v", at, by)
	}
	for _, c := range classes {
		var took []float64
		for _, res := range results {
			if res.class.name == c.name && !res.gaveUp {
				took = append(took, res.started.Sub(res.first).Seconds())
			}
		}
		slices.Sort(took)
		if n := len(took); n > 0 {
			t.Logf("%s: %d started, after %.2f s (median), %.2f s (95 of 100), %.2f s (last)", c.name, n, took[n/2], took[n*95/100], took[n-1])
		}
	}
	f.offersPerStart = float64(accepts+refused) / float64(max(1, accepts))
	var advice time.Duration
	for _, w := range o.waits {
		advice += w
	}
	t.Logf("bound %.1f s, settled %.1f s; %d asks for %d starts, %d never; %d refusals, advice %s in the mean; late %d, most %s; relays in time %.3f of %.3f",
		f.bound, f.settled, asks, starts, f.never, len(o.waits), advice/time.Duration(max(1, len(o.waits))), f.late, f.lateMost, f.inTime, f.inTimeBound)
}

// TestStormSmall plays a short storm and looks at what must hold in every one.
func TestStormSmall(t *testing.T) {
	for _, restart := range []bool{false, true} {
		t.Run(fmt.Sprint("restart=", restart), func(t *testing.T) {
			f := play(t, story{seed: 11, clients: 300, nodes: 8, honour: 0.3, calm: 5, orchestrators: 3, restart: restart, longest: 3 * time.Second,
				calmFor: time.Second, conf: "testdata/after.conf"})
			if f.double != 0 || f.doubleStarts != 0 || f.unanswered != 0 || f.never != 0 || f.coldPeak > 1 || f.history != porcupine.Ok {
				t.Errorf("%d answered twice, %d archive-cuts started twice, %d unanswered, %d never started, a cold machine at %.2f of its bound, history %s",
					f.double, f.doubleStarts, f.unanswered, f.never, f.coldPeak, f.history)
			}
		})
	}
}

// TestStorm2000 plays one storm with advice as it was before and one with booked
// returns, and prints both on one line.
func TestStorm2000(t *testing.T) {
	if flag.Lookup("test.run").Value.String() == "" {
		t.Skip("a measurement of a minute; run it by its name")
	}
	var before, after figures
	s := story{seed: *seedFlag, clients: *clientsFlag, nodes: *nodesFlag, honour: *honourFlag, calm: *calmFlag, restart: *restartFlag,
		longest: *longestFlag, calmFor: 4 * time.Second, orchestrators: *orchFlag}
	if *onlyFlag != "after" {
		t.Run("before", func(t *testing.T) { s.conf = "testdata/before.conf"; before = play(t, s) })
	}
	if *onlyFlag != "before" {
		t.Run("after", func(t *testing.T) { s.conf = "testdata/after.conf"; after = play(t, s) })
	}
	fmt.Printf("storm: bound_s=%.1f settled_s=%.1f settled_s_before=%.1f asks_per_start=%.2f asks_per_start_before=%.2f relay_in_time=%.3f "+
		"relay_in_time_before=%.3f offers_per_start=%.2f cold_peak=%.2f late_answers=%d late_answers_before=%d double_answers=%d "+
		"archive_double_starts=%d unanswered=%d served_share=%.2f\n", after.bound, after.settled, before.settled, after.asksPerStart,
		before.asksPerStart, after.inTime, before.inTime, after.offersPerStart, after.coldPeak, after.late, before.late,
		after.double+before.double, after.doubleStarts+before.doubleStarts, after.unanswered, after.used)
}

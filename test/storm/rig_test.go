// Package storm plays storms against the real program: three orchestrators as
// processes of their own, emulated machines, and thousands of owners on loopback.
// This file owns the rig: the fleet, the orchestrators and the list that they get.
package storm

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

// class is a class of the deployment.
type class struct {
	name          string
	share         float64
	shapes        [][2]float64 // cores, memory
	patience, aim time.Duration
	work          [2]time.Duration // of a start
	life          [2]time.Duration // in the mean, by service
}

const ms = time.Millisecond

var classes = []class{
	{"guide-web", 0.53, [][2]float64{{0.25, 1}, {0.5, 1}, {1, 3}}, 6000 * ms, 1000 * ms, [2]time.Duration{93 * ms, 230 * ms}, [2]time.Duration{8500 * ms, 21000 * ms}},
	{"live-relay", 0.4614, [][2]float64{{0.5, 1}, {1, 2.5}, {1.5, 1.5}}, 5000 * ms, 700 * ms, [2]time.Duration{130 * ms, 240 * ms}, [2]time.Duration{8500 * ms, 21000 * ms}},
	{"archive-cut", 0.0086, [][2]float64{{4, 6}, {10, 24}}, 10000 * ms, 6000 * ms, [2]time.Duration{260 * ms, 400 * ms}, [2]time.Duration{27000 * ms, 62000 * ms}},
}

// job is one task of the crowd or of the calm demand.
type job struct {
	testbed.Task
	class   *class
	key     string
	service uint64
	at      time.Duration // when it is first wanted, from the storm's begin
	crowd   bool
	from    uint64 // draws its owner's chances
}

func between(r *rand.Rand, d [2]time.Duration) time.Duration {
	return d[0] + time.Duration(r.Float64()*float64(d[1]-d[0]))
}

// jobs draws n tasks that are wanted from 'from' on, over a span.
func jobs(r *rand.Rand, prefix string, n int, from, span time.Duration) []*job {
	var out []*job
	type service struct {
		c     *class
		id    uint64
		shape [2]float64
		life  time.Duration
		left  int
	}
	var services []*service
	for i := range n {
		pick := r.Float64()
		c := &classes[0]
		for k := range classes {
			if pick -= classes[k].share; pick < 0 {
				c = &classes[k]
				break
			}
		}
		var s *service
		for _, o := range services {
			if o.c == c && o.left > 0 {
				s = o
			}
		}
		if s == nil {
			s = &service{c, r.Uint64() >> 16, c.shapes[r.IntN(len(c.shapes))], between(r, c.life), 7 + r.IntN(12)}
			services = append(services, s)
		}
		s.left--
		life := time.Duration(float64(s.life) * min(3, max(0.1, r.ExpFloat64())))
		out = append(out, &job{class: c, key: fmt.Sprintf("%s%08x%06x", prefix, r.Uint32(), i), service: s.id,
			at:    from + time.Duration(r.Float64()*float64(span)),
			from:  r.Uint64(),
			crowd: prefix == "c",
			Task:  testbed.Task{Class: c.name, Cores: s.shape[0], Memory: s.shape[1], StartTime: between(r, c.work), RunTime: life}})
	}
	return out
}

// rig is a fleet with its orchestrators.
type rig struct {
	t        testing.TB
	dir, bin string
	conf     string
	longest  time.Duration
	machines []*testbed.CapacityModel
	minions  [][]*testbed.Worker // by orchestrator
	feeds    []*testbed.Discovery
	orch     []*orchestrator
	watch    *watch
	stop     chan struct{}
}

// orchestrator is one process, which may be started anew under its address.
type orchestrator struct {
	testbed.Process
	r    *rig
	i    int
	addr string
}

// watch notes what machines do.
type watch struct {
	mu      sync.Mutex
	accepts map[string]int       // by key
	where   map[string]place     // what stands, by key
	ran     map[string]time.Time // when it first ran
	double  int                  // archive-cuts accepted again
	history history
}

func (w *watch) Offered(machine, tag string)   { w.history.add(step{tag, begins, machine}) }
func (w *watch) Rejected(machine, tag string)  { w.history.add(step{tag, refuses, machine}) }
func (w *watch) Cancelled(machine, tag string) { w.history.add(step{tag, givesUp, machine}) }

type place struct{ machine, tag string }

func (w *watch) Accepted(machine, key, tag string, t testbed.Task) {
	w.history.add(step{tag, accepts, machine})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.accepts[key]++
	if t.Class == "archive-cut" && w.accepts[key] > 1 {
		w.double++
	}
	w.where[key] = place{machine, tag}
}

func (w *watch) Started(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ran[key].IsZero() {
		w.ran[key] = time.Now()
	}
}

func (w *watch) Completed(key, tag string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.where[key].tag == tag {
		delete(w.where, key)
	}
}

// fleet says what a rig's machines are.
type fleet struct {
	nodes, cold, orchestrators int
	lag                        time.Duration // of the view
}

// machineSpecs draws the machines: two thirds node-32, halls in turn, some cold.
func machineSpecs(f fleet) []testbed.WorkerSpec {
	var out []testbed.WorkerSpec
	for i := range f.nodes {
		s := testbed.WorkerSpec{Name: fmt.Sprintf("s-%08x", 0xc41f00+i), Zone: "hall-" + string(rune('a'+i%3)), Kind: "node-32", Cell: i / 6,
			Cores: 28, Memory: 60, InspectionTime: [2]time.Duration{11 * ms, 34 * ms}, QueueLength: 20, MaxStarting: 4, ColdStartRate: 0.21, FallMultiple: 4, InitialBudget: 25,
			SlowStart: 16 * time.Second, OverloadWindow: 3 * time.Second, MeanStartTime: 170 * ms}
		if i%3 == 2 {
			s.Kind, s.Cores, s.Memory, s.MaxStarting = "node-64", 56, 120, 8
		}
		if i < f.cold {
			s.UpSince = time.Now()
		}
		out = append(out, s)
	}
	return out
}

// newRig starts the fleet; the orchestrators are started by start.
func newRig(t testing.TB, bin, conf string, f fleet, seed uint64, longest time.Duration) *rig {
	r := &rig{t: t, dir: t.TempDir(), bin: bin, conf: conf, longest: longest, stop: make(chan struct{}),
		watch: &watch{accepts: map[string]int{}, where: map[string]place{}, ran: map[string]time.Time{}}}
	for i, s := range machineSpecs(f) {
		r.machines = append(r.machines, testbed.NewCapacityModel(t, s, r.watch, seed+uint64(i)))
	}
	for k := range f.orchestrators {
		var ms []*testbed.Worker
		for _, m := range r.machines {
			ms = append(ms, m.NewWorker(t))
		}
		r.minions = append(r.minions, ms)
		feed := testbed.NewDiscovery(t)
		r.feeds = append(r.feeds, feed)
		r.orch = append(r.orch, &orchestrator{Process: testbed.Process{Name: fmt.Sprint("n", k)}, r: r, i: k})
	}
	r.watch.history.now()
	r.tell(true, r.rooms())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.follow(f.lag)
	}()
	t.Cleanup(func() {
		close(r.stop)
		<-done
		for _, o := range r.orch {
			o.End(syscall.SIGKILL)
		}
	})
	return r
}

func (r *rig) rooms() (out [][2]float64) {
	for _, m := range r.machines {
		c, b := m.FreeCapacity()
		out = append(out, [2]float64{c, b})
	}
	return out
}

// tell gives each orchestrator the list with such rooms.
func (r *rig) tell(complete bool, rooms [][2]float64) {
	for k, f := range r.feeds {
		var members []string
		for i, m := range r.machines {
			members = append(members, m.ListEntry(r.minions[k][i], "up", rooms[i][0], rooms[i][1]))
		}
		f.Add(complete, members...)
	}
}

// follow refreshes the list every half second with what was so a lag ago.
func (r *rig) follow(lag time.Duration) {
	tick := time.NewTicker(500 * ms)
	defer tick.Stop()
	var past [][][2]float64
	for {
		select {
		case <-tick.C:
			past = append(past, r.rooms())
			if n := int(lag / (500 * ms)); len(past) > n {
				r.tell(false, past[len(past)-1-n])
			}
		case <-r.stop:
			return
		}
	}
}

// start starts an orchestrator, and returns once it serves.
func (o *orchestrator) start() {
	listen := o.addr
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	path := filepath.Join(o.r.dir, fmt.Sprintf("config%d.json", o.i))
	text := testbed.Deployment{Orchestrators: len(o.r.orch), MaxRetryAfter: o.r.longest}.Config(o.i, listen, "", o.r.feeds[o.i].Srv.Listener.Addr().String(),
		uint64(0x8c1f30d2+time.Now().UnixNano()%1000+int64(o.i)*1000), o.r.feeds[o.i])
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		o.r.t.Error(err)
		return
	}
	o.Process.Bin, o.Process.Args = o.r.bin, []string{"-conf", o.r.conf}
	o.Process.Env = []string{"ROUTER_CONFIG=" + path, "ROUTER_LISTEN=", "ROUTER_NAME=", "ROUTER_MGMT="}
	err := o.Process.Start()
	if err == nil {
		o.addr, err = o.Process.WaitForLog(fmt.Sprintf("msg=serving name=n%d listen=", o.i))
	}
	if err != nil {
		o.r.t.Error(err)
	}
}

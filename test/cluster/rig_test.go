// Package cluster plays faults between processes of the real program: orchestrators that
// know each other through relays, with nodes and owners on loopback. This file owns the
// rig: who is started, with what, and how a schedule is carried out. What must hold is
// judged elsewhere, from what was seen.
package cluster

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ravenhitch/internal/peer"
	"ravenhitch/internal/standin"
)

// node is one orchestrator.
type node struct {
	standin.Process
	name, hall, dir string
	addr, mgmt      string
	listen          string // for its peers
	born            time.Time
	pausedAt        time.Time
	pausedFor       time.Duration
}

// rig is a fleet.
type rig struct {
	t       testing.TB
	net     *standin.Net
	nodes   []*node
	feed    *standin.Feed
	begin   time.Time
	mu      sync.Mutex // of what the schedule changes
	healed  time.Time
	samples []sample
	applied []applied
	stop    chan struct{}
	wait    sync.WaitGroup
	counts  [2]latencies // without and with peers
}

// applied is a step and when it was carried out.
type applied struct {
	standin.Step
	at time.Time
}

// sample is what all were asked at one time, and how things were.
type sample struct {
	at   time.Time
	told map[string]*peer.Told // by who was asked; nil where there was no answer
	up   map[string]bool       // runs, and is not paused
	born map[string]time.Time
	open map[[2]string]bool // ways that carry
}

var build = sync.OnceValues(func() (string, error) {
	bin, err := filepath.Abs("../../bin/ravenhitch")
	if err != nil {
		return "", err
	}
	if out, err := exec.Command("go", "build", "-o", bin, "ravenhitch/cmd/ravenhitch").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return bin, nil
})

// newRig starts n orchestrators in three halls; peers says whether they know each other.
func newRig(t testing.TB, n int, seed uint64, peers bool) *rig {
	bin, err := build()
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, net: standin.NewNet(seed), feed: standin.NewFeed(t), stop: make(chan struct{})}
	t.Cleanup(r.close)
	var members []string
	for i := range 4 {
		m := standin.NewMinion(t, fmt.Sprintf("s-%08x", 0xc41f00+i))
		m.Kind = "node-32"
		r.wait.Go(func() { // nobody reads what it notes
			for {
				select {
				case <-m.Starts:
				case <-m.Ends:
				case <-r.stop:
					return
				}
			}
		})
		members = append(members, m.Member("up"))
	}
	r.feed.Add(true, members...)
	for i := range n {
		x := &node{name: fmt.Sprint("n", i), hall: fmt.Sprintf("hall-%c", 'a'+i%3), dir: t.TempDir()}
		for _, a := range []*string{&x.addr, &x.mgmt, &x.listen} {
			if *a, err = r.net.Place(); err != nil {
				t.Fatal(err)
			}
		}
		r.nodes = append(r.nodes, x)
	}
	d := standin.Deployment{Orchestrators: n, Longest: 3 * time.Second}
	for i, x := range r.nodes {
		var conf strings.Builder
		if peers {
			fmt.Fprintf(&conf, "[peers]\nlisten %s\ncluster rig\nfolder %s\n", x.listen, x.dir)
			for _, o := range r.nodes {
				if o == x {
					continue
				}
				way, err := r.net.Relay(x.name, o.name)
				if err != nil {
					t.Fatal(err)
				}
				fmt.Fprintf(&conf, "member %s %s\n", o.name, way)
			}
		}
		path := filepath.Join(t.TempDir(), "config.json")
		for name, text := range map[string]string{path: d.Config(i, x.addr, x.mgmt, seed+uint64(i)*1000, r.feed), path + ".conf": conf.String()} {
			if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		x.Process = standin.Process{Name: x.name, Bin: bin, Args: []string{"-conf", path + ".conf"},
			Env: []string{"ROUTER_CONFIG=" + path, "ROUTER_LISTEN=", "ROUTER_NAME=", "ROUTER_MGMT=", "TMPDIR=" + x.dir}}
	}
	for _, x := range r.nodes {
		if err := r.start(x); err != nil {
			t.Fatal(err)
		}
	}
	r.begin = time.Now()
	return r
}

// start starts an orchestrator and returns once it serves.
func (r *rig) start(x *node) error {
	if err := x.Start(); err != nil {
		return err
	}
	if _, err := x.Says("msg=serving name=" + x.name + " listen="); err != nil {
		return err
	}
	r.mu.Lock()
	x.born = time.Now()
	r.mu.Unlock()
	return r.net.Point(x.name, x.listen)
}

func (r *rig) close() {
	close(r.stop)
	for _, x := range r.nodes {
		if x.Up() {
			x.Resume()
			x.End(syscall.SIGKILL)
		}
	}
	r.net.Close()
	r.wait.Wait()
}

func (r *rig) named(name string) *node {
	i := slices.IndexFunc(r.nodes, func(x *node) bool { return x.name == name })
	if i < 0 {
		return nil
	}
	return r.nodes[i]
}

// ways are the directions that a step means.
func (r *rig) ways(s standin.Step) (out [][2]string) {
	if a, b, ok := strings.Cut(s.Where, "<->"); ok {
		return [][2]string{{a, b}, {b, a}}
	}
	if a, b, ok := strings.Cut(s.Where, "->"); ok {
		return [][2]string{{a, b}}
	}
	for _, a := range r.nodes {
		for _, b := range r.nodes {
			spared := len(s.Args) == 2 && (a.name == s.Args[1] || b.name == s.Args[1])
			if a != b && (s.Where == "all" || (a.hall == s.Where) != (b.hall == s.Where) && !spared) {
				out = append(out, [2]string{a.name, b.name})
			}
		}
	}
	return out
}

// do carries out a step.
func (r *rig) do(s standin.Step) error {
	defer func() {
		r.mu.Lock()
		r.applied = append(r.applied, applied{s, time.Now()})
		r.mu.Unlock()
	}()
	number := func(i int) (v float64) { fmt.Sscan(s.Args[i], &v); return v }
	span := func(i int) time.Duration { d, _ := time.ParseDuration(s.Args[i]); return d } // was read before
	switch s.Verb {
	case "heal":
		r.mu.Lock()
		r.healed = time.Now()
		r.mu.Unlock()
		return r.net.Heal()
	case "pause", "kill", "term", "start", "restart":
		x := r.named(s.Where)
		if x == nil {
			return fmt.Errorf("%s: no process %s", s, s.Where)
		}
		return r.process(x, s, span)
	}
	for _, w := range r.ways(s) {
		if s.Verb == "reset" {
			r.net.Reset(w[0], w[1])
			continue
		}
		if err := r.net.Set(w[0], w[1], func(c *standin.Conditions) {
			switch s.Verb {
			case "cut":
				c.Cut = true
			case "refuse":
				c.Refuse = true
			case "delay":
				if c.Delay = span(0); len(s.Args) > 1 {
					c.Jitter = span(1)
				}
			case "loss":
				c.Loss = number(0)
			case "twice":
				c.Twice = number(0)
			case "overtake":
				c.Overtake = number(0)
			case "bandwidth":
				c.Bandwidth = int(number(0))
			case "flap":
				c.Flap, c.Since = span(0), time.Now()
			case "mend":
				*c = standin.Conditions{}
			}
		}); err != nil {
			return err
		}
	}
	return nil
}

// process carries out a step on a process.
func (r *rig) process(x *node, s standin.Step, span func(int) time.Duration) error {
	if s.Verb == "start" && x.Up() || s.Verb != "start" && !x.Up() {
		return nil // as a schedule that was drawn may have it
	}
	switch s.Verb {
	case "pause":
		r.mu.Lock()
		x.pausedAt, x.pausedFor = time.Now(), span(0)
		r.mu.Unlock()
		x.Pause()
		r.wait.Go(func() {
			select {
			case <-time.After(span(0)): // what the schedule does, not what anybody waits for
			case <-r.stop:
			}
			x.Resume()
		})
	case "kill", "term", "restart":
		sig := syscall.SIGKILL
		if s.Verb == "term" {
			sig = syscall.SIGTERM
		}
		x.End(sig)
		if err := r.net.Point(x.name, ""); err != nil || s.Verb != "restart" {
			return err
		}
		fallthrough
	case "start":
		if len(s.Args) == 1 {
			// An older copy is that of a start before; an empty folder knows of none.
			if err := os.WriteFile(filepath.Join(x.dir, "starts"), []byte("1\n"), 0o600); err != nil {
				return err
			}
			if s.Args[0] == "empty" {
				if err := os.Remove(filepath.Join(x.dir, "starts")); err != nil {
					return err
				}
			}
		}
		return r.start(x)
	}
	return nil
}

// play carries out a schedule, and watches until some time after its end.
func (r *rig) play(steps []standin.Step, length time.Duration) {
	begin := time.Now()
	for _, s := range steps {
		time.Sleep(time.Until(begin.Add(s.At)))
		if err := r.do(s); err != nil {
			r.t.Errorf("%s: %v", s, err)
		}
	}
	time.Sleep(time.Until(begin.Add(length)))
}

const sampleEvery = 100 * time.Millisecond

// watch asks everybody for the table, until the rig ends.
func (r *rig) watch() {
	r.wait.Go(func() {
		for tick := time.NewTicker(sampleEvery); ; {
			select {
			case <-tick.C:
				s := r.look()
				r.mu.Lock()
				r.samples = append(r.samples, s)
				r.mu.Unlock()
			case <-r.stop:
				tick.Stop()
				return
			}
		}
	})
}

func (r *rig) look() sample {
	s := sample{at: time.Now(), told: map[string]*peer.Told{}, up: map[string]bool{}, born: map[string]time.Time{}, open: map[[2]string]bool{}}
	var mu sync.Mutex
	var all sync.WaitGroup
	r.mu.Lock()
	for _, x := range r.nodes {
		s.up[x.name] = x.Up() && s.at.After(x.pausedAt.Add(x.pausedFor))
		s.born[x.name] = x.born
		for _, o := range r.nodes {
			s.open[[2]string{x.name, o.name}] = r.net.Open(x.name, o.name)
		}
		if s.up[x.name] {
			all.Go(func() {
				if t := table(x.mgmt); t != nil {
					mu.Lock()
					s.told[x.name] = t
					mu.Unlock()
				}
			})
		}
	}
	r.mu.Unlock()
	all.Wait()
	return s
}

// table asks an orchestrator for what it believes; nil where it does not answer.
func table(mgmt string) *peer.Told {
	c, err := net.DialTimeout("tcp", mgmt, sampleEvery)
	if err != nil {
		return nil
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * sampleEvery))
	fmt.Fprintln(c, "PEERS")
	b, err := io.ReadAll(c)
	line, whole := strings.CutSuffix(string(b), "\n.\n")
	var t peer.Told
	if err != nil || !whole || json.Unmarshal([]byte(line), &t) != nil {
		return nil
	}
	return &t
}

// latencies are how long placements took.
type latencies struct {
	mu     sync.Mutex
	took   []time.Duration
	failed atomic.Int64
}

func (l *latencies) p99() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Sort(l.took); len(l.took) == 0 {
		return 0
	}
	return l.took[len(l.took)*99/100]
}

// answer is the first word on a tag.
func answer(o *standin.Owner, tag string) (standin.Line, bool) {
	for limit := time.After(standin.Patience); ; {
		select {
		case l, ok := <-o.Lines:
			if !ok || l.Tag == tag {
				return l, ok
			}
		case <-limit:
			return standin.Line{}, false
		}
	}
}

// place offers tasks to every orchestrator for a while, one after another at each.
func (r *rig) place(l *latencies, length time.Duration) {
	var all sync.WaitGroup
	until := time.Now().Add(length)
	for i, x := range r.nodes {
		all.Go(func() {
			o, err := standin.Dial(x.addr)
			if err != nil {
				r.t.Error(err)
				return
			}
			defer o.Close()
			for n := 0; time.Now().Before(until); n++ {
				tag, began := standin.Tag(i<<32|n<<8|1), time.Now()
				standin.Send(o, standin.SetUp(tag, "guide-web", fmt.Sprintf("ok-%d-%d", i, n), 5000))
				line, ok := answer(o, tag)
				switch {
				case !ok:
					r.t.Logf("%s: no answer to %s", x.name, tag)
					l.failed.Add(1)
					return
				case line.Verb != "STARTED":
					r.t.Logf("%s: %+v", x.name, line)
					l.failed.Add(1)
				default:
					l.mu.Lock()
					l.took = append(l.took, time.Since(began))
					l.mu.Unlock()
					standin.Send(o, standin.Finish("FINISH", tag, 16))
				}
				time.Sleep(5 * time.Millisecond) // the owner's pace
			}
		})
	}
	all.Wait()
}

// Package fleet is the rig: orchestrators as processes of the real program that know each
// other through relays which fail by a schedule, with nodes and owners on loopback. It owns
// what it starts, and leaves nothing running. What must hold it judges from what it did, and
// never from what the orchestrators say of each other.
package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ravenhitch/internal/testbed"
)

// Options say what a fleet is made of.
type Options struct {
	Programs      []string // builds, taken in turn
	Dir           string   // for settings and kept folders
	Orchestrators int
	Nodes         int // 0: four
	Seed          uint64
	Alone         bool // they do not know each other
}

// Orchestrator is one orchestrator.
type Orchestrator struct {
	testbed.Process
	Hall       string
	dir        string
	addr, mgmt string
	front      string // where its owners reach it
	feed       *testbed.Discovery
	others     [3]string  // its owners, its front and its channel, as ways name them
	listen     string     // for its peers
	mu         sync.Mutex // of what the schedule changes
	born       time.Time
	ending     bool // a signal that ends it is on its way
	pausedAt   time.Time
	pausedFor  time.Duration
}

// Fleet is what is played with.
type Fleet struct {
	h             testbed.Host
	net           *testbed.Network
	Orchestrators []*Orchestrator
	minions       []*testbed.Worker
	begin         time.Time
	mu            sync.Mutex // of what the schedule changes
	healed        time.Time
	samples       []sample
	applied       []appliedStep
	tags          atomic.Int64
	stop          chan struct{}
	wait          sync.WaitGroup
}

// appliedStep is a step and when it was carried out.
type appliedStep struct {
	testbed.Step
	at time.Time
}

// New starts a fleet in three halls.
func New(h testbed.Host, o Options) *Fleet {
	h.Helper()
	r := &Fleet{h: h, net: testbed.NewNetwork(o.Seed), stop: make(chan struct{})}
	h.Cleanup(r.close)
	if o.Nodes == 0 {
		o.Nodes = 4
	}
	for i := range o.Nodes {
		m := testbed.NewWorker(h, fmt.Sprint("s", i))
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
		r.minions = append(r.minions, m)
		if err := r.net.Point(m.Name, m.Addr()); err != nil {
			h.Fatal(err)
		}
	}
	for i := range o.Orchestrators {
		x := &Orchestrator{Hall: fmt.Sprintf("hall-%c", 'a'+i%3), Process: testbed.Process{Name: fmt.Sprint("n", i)}}
		x.dir = filepath.Join(o.Dir, x.Name)
		if err := os.MkdirAll(x.dir, 0o700); err != nil {
			h.Fatal(err)
		}
		for _, a := range []*string{&x.addr, &x.mgmt, &x.listen} {
			var err error
			if *a, err = r.net.Place(); err != nil {
				h.Fatal(err)
			}
		}
		x.feed = testbed.NewDiscovery(h)
		x.others = [3]string{fmt.Sprint("o", i), fmt.Sprint("f", i), fmt.Sprint("c", i)}
		r.Orchestrators = append(r.Orchestrators, x)
	}
	for i, x := range r.Orchestrators {
		if err := r.settle(i, x, o); err != nil {
			h.Fatal(err)
		}
	}
	for _, x := range r.Orchestrators {
		if err := r.start(x); err != nil {
			h.Fatal(err)
		}
	}
	r.begin = time.Now()
	return r
}

// settle writes the settings of an orchestrator.
func (r *Fleet) settle(i int, x *Orchestrator, o Options) error {
	var conf strings.Builder
	if !o.Alone {
		fmt.Fprintf(&conf, "[peers]\nlisten %s\ncluster rig\nfolder %s\n", x.listen, x.dir)
		for _, to := range r.Orchestrators {
			if to == x {
				continue
			}
			way, err := r.net.Relay(x.Name, to.Name)
			if err != nil {
				return err
			}
			fmt.Fprintf(&conf, "member %s %s\n", to.Name, way)
		}
	}
	var members []string
	for _, m := range r.minions {
		way, err := r.net.Relay(x.Name, m.Name)
		if err != nil {
			return err
		}
		members = append(members, m.ListEntryAt("up", way))
	}
	x.feed.Add(true, members...)
	if err := r.net.Point(x.others[2], x.feed.Srv.Listener.Addr().String()); err != nil {
		return err
	}
	channel, err := r.net.Relay(x.Name, x.others[2])
	if err != nil {
		return err
	}
	if x.front, err = r.net.Relay(x.others[0], x.others[1]); err != nil {
		return err
	}
	path := filepath.Join(x.dir, "config.json")
	d := testbed.Deployment{Orchestrators: o.Orchestrators, MaxRetryAfter: 3 * time.Second}
	for name, text := range map[string]string{path: d.Config(i, x.addr, x.mgmt, channel, o.Seed+uint64(i)*1000, x.feed), path + ".conf": conf.String()} {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			return err
		}
	}
	x.Bin, x.Args = o.Programs[i%len(o.Programs)], []string{"-conf", path + ".conf"}
	x.Env = []string{"ROUTER_CONFIG=" + path, "ROUTER_LISTEN=", "ROUTER_NAME=", "ROUTER_MGMT=", "ROUTER_INHERITED_FD=", "TMPDIR=" + x.dir}
	return nil
}

// start starts an orchestrator and returns once it serves.
func (r *Fleet) start(x *Orchestrator) error {
	if err := x.Start(); err != nil {
		return err
	}
	if _, err := x.WaitForLog("msg=serving name=" + x.Name + " listen="); err != nil {
		return err
	}
	x.mu.Lock()
	x.born, x.ending = time.Now(), false
	x.mu.Unlock()
	return r.point(x, x.listen, x.addr)
}

// point says where an orchestrator is reached, "" where it has ended.
func (r *Fleet) point(x *Orchestrator, listen, addr string) error {
	if err := r.net.Point(x.others[1], addr); err != nil {
		return err
	}
	return r.net.Point(x.Name, listen)
}

func (r *Fleet) close() {
	close(r.stop)
	for _, x := range r.Orchestrators {
		if x.Up() {
			x.Resume()
			x.End(syscall.SIGKILL)
		}
	}
	r.net.Close()
	r.wait.Wait()
}

func (r *Fleet) named(name string) *Orchestrator {
	i := slices.IndexFunc(r.Orchestrators, func(x *Orchestrator) bool { return x.Name == name })
	if i < 0 {
		return nil
	}
	return r.Orchestrators[i]
}

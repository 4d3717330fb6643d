package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"ravenhitch/internal/testbed"
)

// This file owns one orchestrator of a rig: its addresses, its configuration, its start and
// whether it runs. It must never inject a fault.

// Orchestrator is one orchestrator, as a process that may be started again.
type Orchestrator struct {
	testbed.Process
	Zone string

	directory    string // of its settings and stored files
	address      string // for clients
	adminAddress string
	peerAddress  string
	frontAddress string // where its clients reach it, by a relay
	discovery    *testbed.Discovery
	ends         endpoints

	mu          sync.Mutex // guards what the schedule changes
	startedAt   time.Time
	terminating bool // a signal that ends it is on its way
	pausedAt    time.Time
	pausedFor   time.Duration
}

// endpoints name the other ends of an orchestrator's paths, as schedules do.
type endpoints struct{ clients, front, discovery string }

// storedStarts is the stored file that counts an orchestrator's starts.
const storedStarts = "starts"

const (
	maxRetryAfter = 3 * time.Second
	privateDir    = 0o700
	privateFile   = 0o600
	seedStep      = 1000 // between the seeds of two orchestrators
)

func (f *Fleet) addOrchestrator(index int, directory string) error {
	o := &Orchestrator{
		Process:   testbed.Process{Name: fmt.Sprint("n", index)},
		Zone:      fmt.Sprintf("hall-%c", 'a'+index%zoneCount),
		discovery: testbed.NewDiscovery(f.host),
		ends:      endpoints{clients: fmt.Sprint("o", index), front: fmt.Sprint("f", index), discovery: fmt.Sprint("c", index)},
	}
	o.directory = filepath.Join(directory, o.Name)
	if err := os.MkdirAll(o.directory, privateDir); err != nil {
		return err
	}
	for _, address := range []*string{&o.address, &o.adminAddress, &o.peerAddress} {
		var err error
		if *address, err = f.network.ReserveAddress(); err != nil {
			return err
		}
	}
	f.Orchestrators = append(f.Orchestrators, o)
	return nil
}

// configure opens the paths of an orchestrator and writes its configuration.
func (f *Fleet) configure(index int, o *Orchestrator, options Options) error {
	operatorsFile := ""
	if !options.Alone {
		var err error
		if operatorsFile, err = f.peerSection(o); err != nil {
			return err
		}
	}
	if err := f.listWorkers(o); err != nil {
		return err
	}
	if err := f.network.SetAddress(o.ends.discovery, o.discovery.Server.Listener.Addr().String()); err != nil {
		return err
	}
	channel, err := f.network.Relay(o.Name, o.ends.discovery)
	if err != nil {
		return err
	}
	if o.frontAddress, err = f.network.Relay(o.ends.clients, o.ends.front); err != nil {
		return err
	}
	deployment := testbed.Deployment{Orchestrators: options.Orchestrators, MaxRetryAfter: maxRetryAfter}
	seed := options.Seed + uint64(index)*seedStep
	settings := deployment.Config(index, o.address, o.adminAddress, channel, seed, o.discovery)
	return o.writeConfiguration(options.Programs[index%len(options.Programs)], settings, operatorsFile)
}

// peerSection opens the paths to all other orchestrators, and returns the section of the
// operators' file that names them.
func (f *Fleet) peerSection(o *Orchestrator) (string, error) {
	var section strings.Builder
	fmt.Fprintf(&section, "[peers]\nlisten %s\ncluster rig\nfolder %s\n", o.peerAddress, o.directory)
	for _, other := range f.Orchestrators {
		if other == o {
			continue
		}
		path, err := f.network.Relay(o.Name, other.Name)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&section, "member %s %s\n", other.Name, path)
	}
	return section.String(), nil
}

// listWorkers opens the paths to all workers, and lists them for an orchestrator.
func (f *Fleet) listWorkers(o *Orchestrator) error {
	var entries []string
	for _, worker := range f.workers {
		path, err := f.network.Relay(o.Name, worker.Name)
		if err != nil {
			return err
		}
		entries = append(entries, worker.ListEntryAt("up", path))
	}
	o.discovery.Add(true, entries...)
	return nil
}

func (o *Orchestrator) writeConfiguration(program, settings, operatorsFile string) error {
	path := filepath.Join(o.directory, "config.json")
	if err := os.WriteFile(path, []byte(settings), privateFile); err != nil {
		return err
	}
	if err := os.WriteFile(path+".conf", []byte(operatorsFile), privateFile); err != nil {
		return err
	}
	o.Bin, o.Args = program, []string{"-conf", path + ".conf"}
	o.Env = []string{"ROUTER_CONFIG=" + path, "ROUTER_LISTEN=", "ROUTER_NAME=", "ROUTER_MGMT=", "ROUTER_INHERITED_FD=", "TMPDIR=" + o.directory}
	return nil
}

// start starts an orchestrator and returns once it serves.
func (f *Fleet) start(o *Orchestrator) error {
	if err := o.Start(); err != nil {
		return err
	}
	if _, err := o.WaitForLog("msg=serving name=" + o.Name + " listen="); err != nil {
		return err
	}
	o.mu.Lock()
	o.startedAt, o.terminating = time.Now(), false
	o.mu.Unlock()
	return f.setAddresses(o, o.peerAddress, o.address)
}

// setAddresses tells the network where an orchestrator is reached, "" where it has ended.
func (f *Fleet) setAddresses(o *Orchestrator, forPeers, forClients string) error {
	if err := f.network.SetAddress(o.ends.front, forClients); err != nil {
		return err
	}
	return f.network.SetAddress(o.Name, forPeers)
}

// hasRun reports whether an orchestrator has run, and was not paused, since a time.
func (o *Orchestrator) hasRun(since time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.IsRunning() && !o.terminating && o.startedAt.Before(since) && o.pausedAt.Add(o.pausedFor).Before(since)
}

// status is whether an orchestrator runs at a time and is not paused, and when it started.
func (o *Orchestrator) status(at time.Time) (running bool, startedAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.IsRunning() && at.After(o.pausedAt.Add(o.pausedFor)), o.startedAt
}

// setStoredStarts leaves in the directory of an orchestrator what its next start finds:
// nothing, or the file of its first start.
func (o *Orchestrator) setStoredStarts(folder string) error {
	path := filepath.Join(o.directory, storedStarts)
	if err := os.WriteFile(path, []byte("1\n"), privateFile); err != nil {
		return err
	}
	if folder == testbed.FolderEmpty {
		return os.Remove(path)
	}
	return nil
}

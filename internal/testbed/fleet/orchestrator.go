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

// This file implements one orchestrator of a fleet: its addresses, its configuration, its start and
// its process state. It injects no faults.

// Orchestrator is one orchestrator of a fleet, as a process that can be restarted.
type Orchestrator struct {
	testbed.Process
	Zone string

	directory    string // folder of the orchestrator's configuration and stored files
	address      string // address at which the process itself listens for clients
	adminAddress string
	peerAddress  string
	frontAddress string // address of the relay through which clients reach the orchestrator
	discovery    *testbed.Discovery
	endpoints    endpoints

	mu          sync.Mutex // guards the fields below, which the schedule changes
	startedAt   time.Time
	terminating bool          // true once a signal that ends the process is about to be sent; the next start resets this to false
	pausedAt    time.Time     // start of the latest pause
	pausedFor   time.Duration // length of the latest pause
}

// endpoints holds the names by which schedules refer to an orchestrator's clients, to its listener for clients
// (front), and to its discovery. One path leads from clients to front, another from the orchestrator to discovery.
type endpoints struct{ clients, front, discovery string }

// startsFile is the name of the stored file in which an orchestrator counts its starts.
const startsFile = "starts"

const (
	maxRetryAfter   = 3 * time.Second
	privateDirMode  = 0o700
	privateFileMode = 0o600
	seedStep        = 1000 // difference between the seeds of consecutive orchestrators
)

func (f *Fleet) addOrchestrator(index int, directory string) error {
	o := &Orchestrator{
		Process:   testbed.Process{Name: fmt.Sprint("n", index)},
		Zone:      fmt.Sprintf("hall-%c", 'a'+index%zoneCount),
		discovery: testbed.NewDiscovery(f.host),
		endpoints: endpoints{clients: fmt.Sprint("o", index), front: fmt.Sprint("f", index), discovery: fmt.Sprint("c", index)},
	}
	o.directory = filepath.Join(directory, o.Name)
	if err := os.MkdirAll(o.directory, privateDirMode); err != nil {
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

// configure opens the paths of an orchestrator and writes its configuration files.
func (f *Fleet) configure(index int, o *Orchestrator, options Options) error {
	operatorsFile := ""
	if !options.WithoutPeers {
		var err error
		if operatorsFile, err = f.peerSection(o); err != nil {
			return err
		}
	}
	if err := f.listWorkers(o); err != nil {
		return err
	}
	if err := f.network.SetAddress(o.endpoints.discovery, o.discovery.Server.Listener.Addr().String()); err != nil {
		return err
	}
	channel, err := f.network.Relay(o.Name, o.endpoints.discovery)
	if err != nil {
		return err
	}
	if o.frontAddress, err = f.network.Relay(o.endpoints.clients, o.endpoints.front); err != nil {
		return err
	}
	deployment := testbed.Deployment{Orchestrators: options.Orchestrators, MaxRetryAfter: maxRetryAfter}
	seed := options.Seed + uint64(index)*seedStep
	settings := deployment.Config(index, o.address, o.adminAddress, channel, seed, o.discovery)
	return o.writeConfiguration(options.Programs[index%len(options.Programs)], settings, operatorsFile)
}

// peerSection opens the paths to all other orchestrators and returns the [peers] section of the operators' file,
// which names these orchestrators.
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

// listWorkers opens the paths to all workers and adds the workers to the orchestrator's discovery.
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
	if err := os.WriteFile(path, []byte(settings), privateFileMode); err != nil {
		return err
	}
	if err := os.WriteFile(path+".conf", []byte(operatorsFile), privateFileMode); err != nil {
		return err
	}
	o.Bin, o.Args = program, []string{"-conf", path + ".conf"}
	o.Env = []string{"ROUTER_CONFIG=" + path, "ROUTER_LISTEN=", "ROUTER_NAME=", "ROUTER_MGMT=", "ROUTER_INHERITED_FD=", "TMPDIR=" + o.directory}
	return nil
}

// start starts an orchestrator and returns once it logs that it is serving.
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

// setAddresses sets the addresses at which the network reaches an orchestrator. The address "" means that the
// process has ended.
func (f *Fleet) setAddresses(o *Orchestrator, forPeers, forClients string) error {
	if err := f.network.SetAddress(o.endpoints.front, forClients); err != nil {
		return err
	}
	return f.network.SetAddress(o.Name, forPeers)
}

// hasRun reports whether an orchestrator has run without a pause since the given time. It returns false as soon as the
// schedule begins to end the process.
func (o *Orchestrator) hasRun(since time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.IsRunning() && !o.terminating && o.startedAt.Before(since) && o.pausedAt.Add(o.pausedFor).Before(since)
}

// status returns whether an orchestrator runs and is not paused at the given time, and when it last started.
func (o *Orchestrator) status(at time.Time) (running bool, startedAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.IsRunning() && at.After(o.pausedAt.Add(o.pausedFor)), o.startedAt
}

// setStoredStarts sets the stored start counter that an orchestrator reads at its next start. If folder is
// testbed.FolderEmpty, there is no counter. Otherwise it is the counter that the first start stored.
func (o *Orchestrator) setStoredStarts(folder string) error {
	path := filepath.Join(o.directory, startsFile)
	if err := os.WriteFile(path, []byte("1\n"), privateFileMode); err != nil {
		return err
	}
	if folder == testbed.FolderEmpty {
		return os.Remove(path)
	}
	return nil
}

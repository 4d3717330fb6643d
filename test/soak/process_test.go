package soak

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/syscallfault"
)

// This file starts one process of the program and terminates it with signals or a kill. It also writes the
// configuration of the process, reads its log, and records its use of descriptors and memory.

// process is one orchestrator process.
type process struct {
	testbed.Process
	scenario *scenario
	index    int
	workers  []*worker
	address  string
	path     *testbed.Proxy // proxy between the process and discovery; not used after discovery has moved
	// discoveryFaultMutex is locked while a fault of the process's discovery lasts. A fault that would overlap with
	// it is skipped.
	discoveryFaultMutex sync.Mutex
	config              string                 // path of the configuration file
	calls               *syscallfault.Injector // changes the results of system calls; nil if none are changed

	mu        sync.Mutex // guards discovery
	discovery *testbed.Discovery

	discoveryFaulted atomic.Bool
	stoppedAt        atomic.Int64 // time of the first terminating signal in Unix nanoseconds, 0 before it
	killed           bool         // the process had to be killed
	exitCode         int
	exitedAt         time.Time

	maxDescriptors int
	maxMemoryKB    int
}

// deployment returns the deployment that all processes of the scenario share.
func (s *scenario) deployment() testbed.Deployment {
	return testbed.Deployment{Orchestrators: s.plan.processes, MaxRetryAfter: time.Second, Deadline: s.plan.deadline,
		DrainGrace: drainGrace, Sockets: s.plan.sockets, MemoryMB: s.plan.memoryMB}
}

// writeConfig writes the configuration file. The parameter channel is the address at which the process reaches
// discovery.
func (p *process) writeConfig(channel string) error {
	seed := p.scenario.plan.seed<<8 + uint64(p.index) + 1
	text := p.scenario.deployment().Config(p.index, "127.0.0.1:0", "", channel, seed, p.discovery)
	return os.WriteFile(p.config, []byte(text), 0o600)
}

// start starts the process and waits until it serves clients. It sets the log level to debug, so that the
// process logs a trace of every request.
func (p *process) start(built binaries) error {
	p.Name = fmt.Sprint("n", p.index)
	directory := p.scenario.directory(p)
	p.config = filepath.Join(directory, "config.json")
	operatorConfig := filepath.Join(directory, "ravenhitch.conf")
	if err := os.WriteFile(operatorConfig, []byte("[log]\nlevel debug\n"), 0o600); err != nil {
		return err
	}
	if err := p.writeConfig(p.path.Addr()); err != nil {
		return err
	}
	p.injectCallFaults(built.launcher)
	p.Bin, p.Args = built.program, []string{"-conf", operatorConfig}
	p.Env = []string{"ROUTER_CONFIG=" + p.config, "ROUTER_LISTEN=", "ROUTER_NAME=", "ROUTER_MGMT=", "TMPDIR=" + directory}
	if err := p.Start(); err != nil {
		return err
	}
	address, err := p.WaitForLog("msg=serving name=" + p.Name + " listen=")
	p.address = address
	return err
}

// injectCallFaults lets system calls of the process return what the plan asks for.
func (p *process) injectCallFaults(launcher string) {
	plan := p.scenario.plan
	p.calls = syscallfault.NewWith(launcher, plan.seed<<8+uint64(p.index), syscallfault.Changes{Fail: plan.failingCalls,
		Shorten: plan.shortTransfers, StepsClock: len(plan.clockSteps) > 0, Ports: p.workerPorts()})
	if p.calls != nil {
		p.StartCommand = p.calls.Start
	}
}

// stepClock steps the system clock of the process at the times of the plan.
func (p *process) stepClock() {
	for _, step := range p.scenario.plan.clockSteps {
		if !p.scenario.sleep(time.Until(p.scenario.startedAt.Add(step.at))) {
			return
		}
		p.calls.StepClock(step.by)
	}
}

// workerPorts returns the ports at which the process connects to its workers.
func (p *process) workerPorts() (ports []int) {
	for _, w := range p.workers {
		ports = append(ports, int(netip.MustParseAddrPort(w.Addr()).Port()))
	}
	return ports
}

// workerNamed returns the worker of the process with a name.
func (p *process) workerNamed(name string) *worker {
	for _, w := range p.workers {
		if w.Name == name {
			return w
		}
	}
	panic("no worker is named " + name)
}

// publishEntry adds a changed entry of one worker to the list that discovery serves.
func (p *process) publishEntry(entry string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discovery.Add(false, entry)
}

// moveDiscovery moves discovery to another address and makes the process reload its configuration.
func (p *process) moveDiscovery() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := testbed.NewDiscovery(p.scenario.t)
	next.CopyFrom(p.discovery)
	p.discovery = next
	if err := p.writeConfig(next.Server.Listener.Addr().String()); err != nil {
		return err
	}
	p.Signal(syscall.SIGHUP)
	return nil
}

// stopOrKill sends the signals of the series to the process. If the process is still running killAfter after the
// first terminating signal, stopOrKill kills it.
func (p *process) stopOrKill() {
	time.Sleep(time.Until(p.scenario.startedAt.Add(p.scenario.plan.stopAt)))
	go p.sendSignals()
	kill := time.NewTimer(p.scenario.plan.killAfter() + p.firstStopDelay())
	defer kill.Stop()
	select {
	case <-p.Ended():
	case <-kill.C:
		p.killed = true
		p.End(syscall.SIGKILL)
	}
	p.exitCode, p.exitedAt = p.Exit()
}

// firstStopDelay returns the time from the start of the series to its first terminating signal. SIGHUP is not a
// terminating signal.
func (p *process) firstStopDelay() (d time.Duration) {
	for _, step := range p.scenario.plan.signals {
		if d += step.after; step.signal != syscall.SIGHUP {
			return d
		}
	}
	return d
}

// sendSignals sends the series of signals.
func (p *process) sendSignals() {
	for _, step := range p.scenario.plan.signals {
		time.Sleep(step.after)
		if step.signal != syscall.SIGHUP && p.stoppedAt.Load() == 0 {
			p.stoppedAt.Store(time.Now().UnixNano())
		}
		p.Signal(step.signal)
	}
}

// sinceStop returns the time since the first terminating signal. The result is negative before this signal.
func (p *process) sinceStop(now time.Time) time.Duration {
	at := p.stoppedAt.Load()
	if at == 0 {
		return -1
	}
	return now.Sub(time.Unix(0, at))
}

// readRequestIDs returns the IDs of the requests that the process has read, according to its trace.
func (p *process) readRequestIDs() map[string]bool {
	ids := map[string]bool{}
	for _, line := range p.Lines() {
		if _, rest, ok := strings.Cut(line, `msg=request `); ok {
			ids[logField(rest, "request_id")] = true
		}
	}
	return ids
}

// requestLogLines returns the log lines of the process that contain the ID of a request.
func (p *process) requestLogLines(requestID string) (lines []string) {
	for _, line := range p.Lines() {
		if strings.Contains(line, requestID) {
			lines = append(lines, "  "+p.Name+" "+line)
		}
	}
	return lines
}

// offeredAfterStart reports whether the process offered a request again after it had read a worker's acceptance.
func (p *process) offeredAfterStart(requestID string) bool {
	started := false
	for _, line := range p.requestLogLines(requestID) {
		started = started || strings.Contains(line, "msg=started ")
		if started && strings.Contains(line, "msg=offer ") {
			return true
		}
	}
	return false
}

// saveLogs writes the logs of all processes to a directory. It does nothing if the directory is "".
func (s *scenario) saveLogs(directory string) {
	if directory == "" {
		return
	}
	for _, p := range s.processes {
		path := filepath.Join(directory, fmt.Sprintf("seed%d-%s.log", s.plan.seed, p.Name))
		if err := os.WriteFile(path, []byte(strings.Join(p.Lines(), "\n")+"\n"), 0o600); err != nil {
			s.t.Error(err)
		}
	}
}

// logField returns the value of a field of a log line, or "" if the line does not have the field.
func logField(line, name string) string {
	_, rest, _ := strings.Cut(line, name+"=")
	value, _, _ := strings.Cut(rest, " ")
	return value
}

// usageInterval is the time between two samples of descriptors and memory.
const usageInterval = 50 * time.Millisecond

// watchUsage records the maximum number of descriptors and the peak memory of the process.
func (p *process) watchUsage() {
	for p.IsRunning() {
		directory := fmt.Sprintf("/proc/%d", p.PID())
		if open, err := os.ReadDir(directory + "/fd"); err == nil {
			p.maxDescriptors = max(p.maxDescriptors, len(open))
		}
		if status, err := os.ReadFile(directory + "/status"); err == nil {
			_, rest, _ := strings.Cut(string(status), "VmHWM:")
			if fields := strings.Fields(rest); len(fields) > 0 {
				if kb, err := strconv.Atoi(fields[0]); err == nil {
					p.maxMemoryKB = max(p.maxMemoryKB, kb)
				}
			}
		}
		if !p.scenario.sleep(usageInterval) {
			return
		}
	}
}

// The first stalled connection is opened stalledConnectionsLead before the first signal. Another stalled
// connection is opened every stalledConnectionsInterval.
const (
	stalledConnectionsLead     = 300 * time.Millisecond
	stalledConnectionsInterval = 2 * time.Millisecond
)

// openStalledConnections opens connections that send nothing or half a message. It keeps them open until the
// process has exited or a dial fails.
func (p *process) openStalledConnections() {
	p.scenario.sleep(time.Until(p.scenario.startedAt.Add(p.scenario.plan.stopAt - stalledConnectionsLead)))
	for i := range p.scenario.plan.stalledConnections {
		if !p.scenario.sleep(stalledConnectionsInterval) || !p.IsRunning() {
			return
		}
		conn, err := p.stall(i%2 == 0)
		if err != nil {
			return
		}
		defer testbed.CloseQuietly(conn)
	}
	<-p.Ended()
}

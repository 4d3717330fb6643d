package soak

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ravenhitch/internal/testbed"
)

// This file owns one process of the program: its files, the series of signals that ends it, the kill, and what it uses.

// process is one orchestrator.
type process struct {
	testbed.Process
	life    *life
	index   int
	workers []*worker
	address string
	path    *testbed.Proxy // to discovery
	// pathFaulted is held while a fault of discovery lasts: one that would begin meanwhile is left out.
	pathFaulted sync.Mutex
	config      string // the file's path

	mu        sync.Mutex // guards discovery
	discovery *testbed.Discovery

	discoveryDisturbed atomic.Bool
	stoppedAt          atomic.Int64 // when the first signal to end was sent, in Unix nanoseconds, 0 before
	killed             bool         // it did not end by itself
	exitCode           int
	exitedAt           time.Time

	maxDescriptors int
	maxMemoryKB    int
}

// deployment is that of all processes of a life.
func (l *life) deployment() testbed.Deployment {
	return testbed.Deployment{Orchestrators: l.plan.processes, MaxRetryAfter: time.Second, Deadline: l.plan.deadline,
		DrainGrace: drainGrace, Sockets: l.plan.sockets, MemoryMB: l.plan.memoryMB}
}

// writeConfig writes the configuration with discovery at an address.
func (p *process) writeConfig(channel string) error {
	seed := p.life.plan.seed<<8 + uint64(p.index) + 1
	text := p.life.deployment().Config(p.index, "127.0.0.1:0", "", channel, seed, p.discovery)
	return os.WriteFile(p.config, []byte(text), 0o600)
}

// start starts the process, which traces every request.
func (p *process) start(binary string) error {
	p.Name = fmt.Sprint("n", p.index)
	directory := p.life.directory(p)
	p.config = filepath.Join(directory, "config.json")
	operatorsFile := filepath.Join(directory, "ravenhitch.conf")
	if err := os.WriteFile(operatorsFile, []byte("[log]\nlevel debug\n"), 0o600); err != nil {
		return err
	}
	if err := p.writeConfig(p.path.Addr()); err != nil {
		return err
	}
	p.Bin, p.Args = binary, []string{"-conf", operatorsFile}
	p.Env = []string{"ROUTER_CONFIG=" + p.config, "ROUTER_LISTEN=", "ROUTER_NAME=", "ROUTER_MGMT=", "TMPDIR=" + directory}
	if err := p.Start(); err != nil {
		return err
	}
	address, err := p.WaitForLog("msg=serving name=" + p.Name + " listen=")
	p.address = address
	return err
}

// list adds a change of the list of workers.
func (p *process) list(entry string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discovery.Add(false, entry)
}

// moveDiscovery lets discovery go on at another address, and has the process read that.
func (p *process) moveDiscovery() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := testbed.NewDiscovery(p.life.t)
	next.CopyFrom(p.discovery)
	p.discovery = next
	if err := p.writeConfig(next.Server.Listener.Addr().String()); err != nil {
		return err
	}
	p.Signal(syscall.SIGHUP)
	return nil
}

// end sends the series of signals, and kills the process once the kill is due.
func (p *process) end() {
	time.Sleep(time.Until(p.life.startedAt.Add(p.life.plan.stopAt)))
	go p.sendSignals()
	kill := time.NewTimer(p.life.plan.killAfter() + p.untilStop())
	defer kill.Stop()
	select {
	case <-p.Ended():
	case <-kill.C:
		p.killed = true
		p.End(syscall.SIGKILL)
	}
	p.exitCode, p.exitedAt = p.Exit()
}

// untilStop is how long after the first signal of the series the first one to end comes.
func (p *process) untilStop() (d time.Duration) {
	for _, step := range p.life.plan.signals {
		if d += step.after; step.signal != syscall.SIGHUP {
			return d
		}
	}
	return d
}

// sendSignals sends the series.
func (p *process) sendSignals() {
	for _, step := range p.life.plan.signals {
		time.Sleep(step.after)
		if step.signal != syscall.SIGHUP && p.stoppedAt.Load() == 0 {
			p.stoppedAt.Store(time.Now().UnixNano())
		}
		p.Signal(step.signal)
	}
}

// sinceStop is how long ago the first signal to end was sent, negative before.
func (p *process) sinceStop(now time.Time) time.Duration {
	at := p.stoppedAt.Load()
	if at == 0 {
		return -1
	}
	return now.Sub(time.Unix(0, at))
}

// takenRequests are the IDs of the requests that the process has read, by its trace.
func (p *process) takenRequests() map[string]bool {
	taken := map[string]bool{}
	for _, line := range p.Lines() {
		if _, rest, ok := strings.Cut(line, `msg=request `); ok {
			taken[fieldOf(rest, "request_id")] = true
		}
	}
	return taken
}

// story is what the process logged of a request.
func (p *process) story(requestID string) (lines []string) {
	for _, line := range p.Lines() {
		if strings.Contains(line, requestID) {
			lines = append(lines, "  "+p.Name+" "+line)
		}
	}
	return lines
}

// connectionOf is the number of the connection that a request came on, by the trace; "" where the trace has none.
func (p *process) connectionOf(requestID string) string {
	return p.traced(requestID, "msg=request ", "connection")
}

// reportedOn is the number of the connection on which the end of a task was sent, "" where that was not sent.
func (p *process) reportedOn(requestID string) string {
	return p.traced(requestID, `msg="completion sent" `, "connection")
}

// traced is a field of the trace's line of a step of a request.
func (p *process) traced(requestID, step, field string) string {
	for _, line := range p.story(requestID) {
		if strings.Contains(line, step) {
			return fieldOf(line, " "+field)
		}
	}
	return ""
}

// offeredAfterStart reports whether the process offered a request again after it had read an acceptance.
func (p *process) offeredAfterStart(requestID string) bool {
	started := false
	for _, line := range p.story(requestID) {
		started = started || strings.Contains(line, "msg=started ")
		if started && strings.Contains(line, "msg=offer ") {
			return true
		}
	}
	return false
}

// saveLogs writes the logs of all processes into a folder, unless that is "".
func (l *life) saveLogs(folder string) {
	if folder == "" {
		return
	}
	for _, p := range l.processes {
		path := filepath.Join(folder, fmt.Sprintf("seed%d-%s.log", l.plan.seed, p.Name))
		if err := os.WriteFile(path, []byte(strings.Join(p.Lines(), "\n")+"\n"), 0o600); err != nil {
			l.t.Error(err)
		}
	}
}

// fieldOf is the value of a field of a log line.
func fieldOf(line, name string) string {
	_, rest, _ := strings.Cut(line, name+"=")
	value, _, _ := strings.Cut(rest, " ")
	return value
}

// usageInterval is how often descriptors and memory are looked at.
const usageInterval = 50 * time.Millisecond

// watchUsage notes the most descriptors and memory of the process.
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
		if !p.life.sleep(usageInterval) {
			return
		}
	}
}

// crowdLead is how long before the first signal the crowd begins to come, and crowdInterval the time between two of it.
const (
	crowdLead     = 300 * time.Millisecond
	crowdInterval = 2 * time.Millisecond
)

// crowd opens connections that say nothing or half a message, until the process has ended.
func (p *process) crowd() {
	p.life.sleep(time.Until(p.life.startedAt.Add(p.life.plan.stopAt - crowdLead)))
	for i := range p.life.plan.crowd {
		if !p.life.sleep(crowdInterval) || !p.IsRunning() {
			return
		}
		conn, err := net.Dial("tcp", p.address)
		if err != nil {
			return
		}
		defer testbed.CloseQuietly(conn)
		if i%2 == 0 {
			_, _ = conn.Write([]byte(`{"verb":"START","tag":"9b1f`)) // the process may have closed it
		}
	}
	<-p.Ended()
}

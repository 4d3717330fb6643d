package soak

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

// This file runs one scenario: its workers, discovery, processes, traffic and faults. It only records observations;
// judge_test.go checks them.

// scenario is one run of a plan.
type scenario struct {
	t         *testing.T
	plan      plan
	startedAt time.Time
	attempts  *testbed.AttemptLog
	ledger    *ledger
	processes []*process
	pauses    testbed.PauseMeter
	done      chan struct{} // closed once the last process has exited
	endedAt   time.Time     // time at which done was closed
}

// worker is a stand-in worker with the path to it and the record of its faults.
type worker struct {
	*testbed.Worker
	proxy *testbed.Proxy // nil if the process reaches the worker directly

	faultMutex     sync.Mutex // locked during a temporary fault of the worker or its path; other such faults are skipped
	mu             sync.Mutex // guards the fields below
	faultIntervals []interval
	drainingSince  time.Time // time when discovery first listed the worker as draining, zero if it never did
	evictsTasks    bool      // the worker evicts its tasks during the drain
	hung           bool
}

// interval is the time between from and to. If to is zero, the interval has no end.
type interval struct{ from, to time.Time }

// overlaps reports whether the interval overlaps the time between the parameters from and to.
func (i interval) overlaps(from, to time.Time) bool {
	return i.from.Before(to) && (i.to.IsZero() || i.to.After(from))
}

// beginFault records the start of a fault. It returns a function that records the end of the fault.
func (w *worker) beginFault() (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := len(w.faultIntervals)
	w.faultIntervals = append(w.faultIntervals, interval{from: time.Now()})
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.faultIntervals[i].to = time.Now()
	}
}

// hadFault reports whether a fault overlapped the time between from and to.
func (w *worker) hadFault(from, to time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range w.faultIntervals {
		if i.overlaps(from, to) {
			return true
		}
	}
	return false
}

func (w *worker) drainStart() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.drainingSince
}

func (w *worker) isEvicting() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.evictsTasks
}

func (w *worker) isHung() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hung
}

// runScenario runs the scenario of a plan until all its processes have exited.
func runScenario(t *testing.T, built binaries, p plan) *scenario {
	t.Helper()
	s := &scenario{t: t, plan: p, attempts: testbed.NewAttemptLog(), ledger: newLedger(), done: make(chan struct{})}
	s.startProcesses(built)
	s.startedAt = time.Now()
	go s.pauses.Run(s.done)

	var group sync.WaitGroup
	for _, p := range s.processes {
		group.Go(p.watchUsage)
		group.Go(p.endTasks)
		group.Go(p.stepClock)
		for i := range s.plan.clients {
			group.Go(newClient(s, p, i).run)
		}
		if s.plan.stalledConnections > 0 {
			group.Go(p.openStalledConnections)
		}
	}
	group.Go(s.injectFaults)
	var exits sync.WaitGroup
	for _, p := range s.processes {
		exits.Go(p.stopOrKill)
	}
	exits.Wait()
	s.endedAt = time.Now()
	close(s.done)
	group.Wait()
	return s
}

// startWorkers starts the workers of a process. The process reaches every second worker through a proxy. Each
// process has its own workers, because a stand-in may report the end of a task on any of its connections, which
// could be a connection of another process.
func (s *scenario) startWorkers(p *process) {
	for i := range s.plan.workers {
		w := &worker{Worker: testbed.NewWorker(s.t, fmt.Sprintf("s-%d-%d", p.index, i))}
		w.Kind = "node-64"
		w.RecordAttempts(s.attempts)
		if i%2 == 0 {
			w.proxy = testbed.NewProxy(s.t, w.Worker)
		}
		go discard(w.Offers)
		go discard(w.Cancels)
		p.workers = append(p.workers, w)
	}
}

// discard receives and drops the elements of a channel that the test does not use, so that the worker does not
// block when it sends on the channel.
func discard(lines <-chan testbed.Line) {
	for range lines {
	}
}

// startProcesses starts the processes, each with its own workers and its own discovery.
func (s *scenario) startProcesses(built binaries) {
	s.t.Helper()
	for i := range s.plan.processes {
		p := &process{scenario: s, index: i, discovery: testbed.NewDiscovery(s.t)}
		s.startWorkers(p)
		var entries []string
		for _, w := range p.workers {
			entries = append(entries, w.ListEntry("up"))
		}
		p.discovery.Add(true, entries...)
		p.path = testbed.NewProxyTo(s.t, p.discovery.Server.Listener.Addr().String())
		if err := p.start(built); err != nil {
			s.t.Fatal(err)
		}
		s.t.Cleanup(func() { p.End(syscall.SIGKILL) })
		s.processes = append(s.processes, p)
	}
}

// endInterval is the time that endTasks and drain wait before they end the next running task.
const endInterval = 10 * time.Millisecond

// endTasks draws a worker of the process every endInterval and ends one of its running tasks, also drawn at random. It
// does nothing if the worker hangs or runs no task.
func (p *process) endTasks() {
	s := p.scenario
	random := rand.New(rand.NewPCG(s.plan.seed, uint64(20+p.index)))
	for s.sleep(endInterval) {
		w := p.workers[random.IntN(len(p.workers))]
		running := s.attempts.Running(w.Name)
		if len(running) == 0 || w.isHung() {
			continue
		}
		s.endTask(w, running[random.IntN(len(running))])
	}
}

// endTask ends a running task. The worker evicts the task in two cases: the worker is draining and evicts its
// tasks, or it never answered the task's offer. Otherwise the worker reports the completion of the task.
func (s *scenario) endTask(w *worker, requestID string) {
	// If another worker got a later offer of the request, this task is a copy that the process has abandoned. Its
	// end is not recorded.
	if s.attempts.LastWorker(requestID) == w.Name {
		s.ledger.endedAtWorker(requestID, w)
	}
	if w.isEvicting() || s.ledger.isNeverAccepted(requestID) {
		w.EvictTask(requestID)
		return
	}
	w.SendFinish(requestID, codeEnded)
}

// sleep waits for d or the end of the scenario, and reports whether the scenario is still running.
func (s *scenario) sleep(d time.Duration) bool {
	select {
	case <-s.done:
		return false
	case <-time.After(d):
		return true
	}
}

// injectFaults injects the faults of the plan, each at its time.
func (s *scenario) injectFaults() {
	var group sync.WaitGroup
	defer group.Wait()
	for _, f := range s.plan.faults {
		if !s.sleep(time.Until(s.startedAt.Add(f.at))) {
			return
		}
		group.Go(func() { s.injectFault(f) })
	}
}

// injectFault injects one fault. For a temporary fault of a worker or of its path, it records the period in
// which the fault may have effects. This period lasts until settleTime after the end of the fault. A hang counts
// as a fault until the end of the scenario.
func (s *scenario) injectFault(f fault) {
	p := s.processes[f.process]
	w := p.workers[f.worker]
	switch f.kind {
	case faultDiscoveryCut, faultDiscoveryDelay, faultDiscoveryMove:
		s.injectDiscoveryFault(p, f)
	case faultDrain, faultDrainSlowly:
		p.drain(w, f.kind == faultDrain)
	case faultHang:
		w.beginFault()
		w.mu.Lock()
		w.hung = true
		w.mu.Unlock()
		w.Hang()
	default:
		end := w.beginFault()
		s.injectWorkerFault(w, f)
		s.sleep(settleTime)
		end()
	}
}

// injectWorkerFault injects a temporary fault of a worker or its path. It skips the fault while another
// temporary fault of the worker or its path lasts.
func (s *scenario) injectWorkerFault(w *worker, f fault) {
	if !w.faultMutex.TryLock() {
		return
	}
	defer w.faultMutex.Unlock()
	switch f.kind {
	case faultCut:
		w.proxy.Partition(s.t)
		s.sleep(f.length)
		w.proxy.Heal(s.t)
	case faultDelay:
		w.proxy.Delay(f.length / 20)
		s.sleep(f.length)
		w.proxy.Delay(0)
	case faultMute:
		w.proxy.Mute()
		s.sleep(f.length)
		w.proxy.Unmute()
	case faultReset:
		w.proxy.ResetConnections()
	case faultClose:
		w.CloseConnections()
	case faultRestart:
		w.Crash()
		s.sleep(f.length / 2)
		w.Recover()
	}
}

// settleTime is the maximum time for which a fault has effects after its end. The process redials a connection
// after at most 2 s.
const settleTime = 2500 * time.Millisecond

// drain makes discovery list a worker as draining. If evictsTasks is set, the worker then evicts its tasks one
// by one. A worker drains at most once.
func (p *process) drain(w *worker, evictsTasks bool) {
	s := p.scenario
	w.mu.Lock()
	isFirst := w.drainingSince.IsZero()
	if isFirst {
		w.drainingSince, w.evictsTasks = time.Now(), evictsTasks
	}
	w.mu.Unlock()
	if !isFirst {
		return
	}
	p.publishEntry(w.ListEntry("draining"))
	for evictsTasks && s.sleep(endInterval) {
		running := s.attempts.Running(w.Name)
		if len(running) == 0 || w.isHung() {
			continue
		}
		s.endTask(w, running[0])
	}
}

// injectDiscoveryFault injects a fault of a process's discovery. It skips the fault while another fault of this
// discovery lasts.
func (s *scenario) injectDiscoveryFault(p *process, f fault) {
	p.discoveryFaulted.Store(true)
	if !p.discoveryFaultMutex.TryLock() {
		return
	}
	defer p.discoveryFaultMutex.Unlock()
	switch f.kind {
	case faultDiscoveryCut:
		p.path.Partition(s.t)
		s.sleep(f.length)
		p.path.Heal(s.t)
	case faultDiscoveryDelay:
		p.path.Delay(f.length / 5)
		s.sleep(f.length)
		p.path.Delay(0)
	case faultDiscoveryMove:
		if err := p.moveDiscovery(); err != nil {
			s.t.Error(err)
		}
	}
}

// directory creates the directory for the files of a process and returns its path.
func (s *scenario) directory(p *process) string {
	directory := filepath.Join(s.t.TempDir(), p.Name)
	if err := os.MkdirAll(directory, 0o700); err != nil {
		s.t.Fatal(err)
	}
	return directory
}

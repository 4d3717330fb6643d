package testbed

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// This file owns the emulated capacity behind stand-in workers: cores and memory, the queue
// of offers that are inspected one at a time, and the few starts at a time. It must never
// place anything itself.

// WorkerSpec says what an emulated worker can do.
type WorkerSpec struct {
	Name, Zone, Kind string
	Cell             int
	Cores, Memory    float64
	InspectionTime   [2]time.Duration // from and to, of one offer
	QueueLength      int              // offers that may wait
	MaxStarting      int              // at a time
	// A worker that has just started runs at ColdStartRate of full speed, reaches that after
	// SlowStart, and fails once it is offered more than FallMultiple times what it can start,
	// InitialBudget at least, within OverloadWindow.
	UpSince                                    time.Time // zero: long ago
	ColdStartRate, FallMultiple, InitialBudget float64
	SlowStart, OverloadWindow                  time.Duration
	MeanStartTime                              time.Duration // of a task, at full speed
}

// Observer is notified of what emulated workers do. It may be called from many goroutines.
type Observer interface {
	// Offered, Rejected and Cancelled notify of offers, Rejected before the message is sent.
	Offered(worker, requestID string)
	Rejected(worker, requestID string)
	Cancelled(worker, requestID string)
	// Accepted, Started and Completed notify of tasks.
	Accepted(worker, key, requestID string, t Task)
	Started(key string)
	Completed(key, requestID string)
}

// capacitySlack is what rounding may add to the requests of tasks.
const capacitySlack = 1e-9

// CapacityModel is an emulated worker. Each orchestrator reaches it by a Worker of its own.
type CapacityModel struct {
	WorkerSpec
	observer   Observer
	queue      chan offer
	startSlots chan struct{}
	stop       chan struct{}

	mu              sync.Mutex
	random          *rand.Rand
	requestedCores  float64
	requestedMemory float64
	running         map[string]*runningTask // by request ID
	queued          map[string]bool         // offers that wait, by request ID; false: cancelled meanwhile
	slowStart       slowStart
	rejections      map[string]int // by cause
	workers         []*Worker      // by orchestrator
}

// offer is one that waits to be inspected.
type offer struct {
	worker *Worker
	conn   net.Conn
	line   Line
	task   Task
}

// runningTask is one that was accepted and has not ended.
type runningTask struct {
	Task
	worker    *Worker
	conn      net.Conn // of its offer
	key       string
	stop      chan struct{}
	cancelled bool
}

// NewCapacityModel starts an emulated worker, which ends with the test. The seed draws its
// inspection times.
func NewCapacityModel(t Host, spec WorkerSpec, observer Observer, seed uint64) *CapacityModel {
	m := &CapacityModel{
		WorkerSpec: spec,
		observer:   observer,
		queue:      make(chan offer, spec.QueueLength),
		startSlots: make(chan struct{}, max(1, spec.MaxStarting)),
		stop:       make(chan struct{}),
		random:     rand.New(rand.NewPCG(seed, 1)),
		running:    map[string]*runningTask{},
		queued:     map[string]bool{},
		rejections: map[string]int{},
	}
	m.slowStart.spec = &m.WorkerSpec
	go m.inspectQueue()
	t.Cleanup(func() { close(m.stop) })
	return m
}

// NewWorker opens the listener by which one orchestrator reaches the emulated worker.
func (m *CapacityModel) NewWorker(t Host) *Worker {
	worker := newWorker(t, m.Name, m)
	m.mu.Lock()
	m.workers = append(m.workers, worker)
	m.mu.Unlock()
	return worker
}

// offered queues an offer, or rejects it where the queue is full.
func (m *CapacityModel) offered(conn net.Conn, line Line) {
	m.observer.Offered(m.Name, line.Tag)
	m.mu.Lock()
	worker := m.workerOf(conn)
	m.slowStart.countOffer()
	fallen := m.slowStart.fallen
	m.mu.Unlock()
	task, err := parseTask(*line.Blob)
	if err != nil {
		Send(conn, FinishLine("FINISH", line.Tag, codeFailed))
		return
	}
	if fallen {
		return
	}
	m.mu.Lock()
	m.queued[line.Tag] = true
	m.mu.Unlock()
	select {
	case m.queue <- offer{worker, conn, line, task}:
	default:
		m.mu.Lock()
		delete(m.queued, line.Tag)
		m.mu.Unlock()
		m.reject(conn, line.Tag, "busy")
	}
}

// workerOf is whose connection one is, nil where it has ended. The lock is held.
func (m *CapacityModel) workerOf(conn net.Conn) (found *Worker) {
	for _, worker := range m.workers {
		if worker.has(conn) {
			found = worker
		}
	}
	return found
}

func (m *CapacityModel) reject(conn net.Conn, requestID, cause string) {
	m.mu.Lock()
	m.rejections[cause]++
	m.mu.Unlock()
	m.observer.Rejected(m.Name, requestID)
	Send(conn, rejectedLine(requestID, cause))
}

// inspectQueue takes the offers one at a time.
func (m *CapacityModel) inspectQueue() {
	for {
		select {
		case next := <-m.queue:
			inspection, queued := m.inspectionTime(next.line.Tag)
			if !queued {
				continue
			}
			if !m.sleep(inspection, nil) {
				return
			}
			m.decide(next)
		case <-m.stop:
			return
		}
	}
}

// inspectionTime draws how long an offer is inspected; false where it was cancelled.
func (m *CapacityModel) inspectionTime(requestID string) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.queued[requestID] {
		delete(m.queued, requestID)
		return 0, false
	}
	shortest, longest := m.InspectionTime[0], m.InspectionTime[1]
	return shortest + time.Duration(m.random.Int64N(int64(longest-shortest)+1)), true
}

// sleep waits; it returns false where that was cut short.
func (m *CapacityModel) sleep(d time.Duration, cancelled <-chan struct{}) bool {
	select {
	case <-time.After(d):
		return true
	case <-cancelled:
	case <-m.stop:
	}
	return false
}

// decide accepts or rejects an offer that was inspected.
func (m *CapacityModel) decide(o offer) {
	m.mu.Lock()
	queued := m.queued[o.line.Tag]
	delete(m.queued, o.line.Tag)
	if !queued || m.slowStart.fallen {
		m.mu.Unlock()
		return
	}
	if short := m.shortage(o.task); short != "" {
		m.mu.Unlock()
		m.reject(o.conn, o.line.Tag, short)
		return
	}
	m.requestedCores += o.task.Cores
	m.requestedMemory += o.task.Memory
	task := &runningTask{Task: o.task, worker: o.worker, conn: o.conn, key: o.line.Opts["key"], stop: make(chan struct{})}
	m.running[o.line.Tag] = task
	m.mu.Unlock()
	m.observer.Accepted(m.Name, task.key, o.line.Tag, o.task)
	Send(o.conn, startedLine(o.line.Tag, m.Name+" holds "+task.key))
	go m.run(o.line.Tag, task)
}

// shortage is the cause of a rejection for want of capacity, "" where there is enough. The
// lock is held.
func (m *CapacityModel) shortage(t Task) string {
	switch {
	case m.requestedCores+t.Cores > m.Cores+capacitySlack:
		return "cpu_full"
	case m.requestedMemory+t.Memory > m.Memory+capacitySlack:
		return "mem_full"
	}
	return ""
}

// run starts an accepted task, and ends it after its run time.
func (m *CapacityModel) run(requestID string, task *runningTask) {
	select {
	case m.startSlots <- struct{}{}:
	case <-task.stop:
		m.complete(requestID, task)
		return
	case <-m.stop:
		return
	}
	m.mu.Lock()
	startTime := time.Duration(float64(task.StartTime) / m.slowStart.speed())
	m.mu.Unlock()
	started := m.sleep(startTime, task.stop)
	<-m.startSlots
	if started {
		m.observer.Started(task.key)
		m.sleep(task.RunTime, task.stop)
	}
	m.complete(requestID, task)
}

// complete frees the capacity of a task and reports its completion.
func (m *CapacityModel) complete(requestID string, task *runningTask) {
	m.mu.Lock()
	delete(m.running, requestID)
	m.requestedCores -= task.Cores
	m.requestedMemory -= task.Memory
	code := codeEnded
	if task.cancelled {
		code = codeCancelled
	}
	m.mu.Unlock()
	m.observer.Completed(task.key, requestID)
	task.worker.report(task.conn, FinishLine("FINISH", requestID, code))
}

// cancelled takes the cancel of an offer, or the release of a running task.
func (m *CapacityModel) cancelled(requestID string) {
	m.observer.Cancelled(m.Name, requestID)
	m.mu.Lock()
	defer m.mu.Unlock()
	if task := m.running[requestID]; task != nil && !task.cancelled {
		task.cancelled = true
		close(task.stop)
	}
	if m.queued[requestID] {
		m.queued[requestID] = false
	}
}

// FreeCapacity is what no running task has requested.
func (m *CapacityModel) FreeCapacity() (cores, memory float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Cores - m.requestedCores, m.Memory - m.requestedMemory
}

// PeakLoad is the highest load of offers while the worker warmed up, over what it can take
// then.
func (m *CapacityModel) PeakLoad() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.slowStart.peakLoad
}

// Rejections counts the offers that were rejected, by cause.
func (m *CapacityModel) Rejections() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.rejections)
}

// ListEntry is the worker's entry on the list as one orchestrator gets it, with some free
// capacity.
func (m *CapacityModel) ListEntry(worker *Worker, phase string, cores, memory float64) string {
	upSince := int64(0)
	if !m.UpSince.IsZero() {
		upSince = m.UpSince.UnixMilli()
	}
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":%q,"flavor":%q,"cell":%d,"phase":%q,"size":1,`+
		`"up_since_ms":%d,"spare":[%g,%g]}`, m.Name, worker.Addr(), m.Zone, m.Kind, m.Cell, phase, upSince, cores, memory)
}

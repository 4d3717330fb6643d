package testbed

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// This file owns the emulated capacity of stand-in workers: cores and memory, the queue of offers that are inspected
// one at a time, and the limit on concurrent task starts. It must never decide which worker gets a task.

// WorkerSpec describes the capacity and the timing of an emulated worker.
type WorkerSpec struct {
	Name, Zone, Kind string
	Cell             int
	Cores, Memory    float64
	InspectionTime   [2]time.Duration // minimum and maximum time from taking an offer off the queue to deciding on it
	QueueLength      int              // maximum number of offers that wait for inspection
	MaxStarting      int              // maximum number of tasks that start at the same time, 1 if it is 0
	// The speed at which the worker starts tasks is the fraction ColdStartRate of full speed at UpSince. It then rises
	// linearly and reaches full speed after SlowStart. During slow start, the worker permanently stops responding to
	// offers if too many arrive within OverloadWindow: more than InitialBudget offers, and also more than FallMultiple
	// times the number of tasks that the worker can start in OverloadWindow at its current speed.
	UpSince                                    time.Time // when the worker started, zero for a worker at full speed
	ColdStartRate, FallMultiple, InitialBudget float64
	SlowStart, OverloadWindow                  time.Duration
	MeanStartTime                              time.Duration // mean time that the start of a task takes at full speed
}

// Observer is notified of events at emulated workers. Its methods may be called from several
// goroutines at the same time. They must not call the worker's methods.
type Observer interface {
	// Offered is called when an offer arrives, Rejected before a rejection is sent, and
	// Cancelled when the cancel of an offer or the release of a task arrives. Cancelled is also called when the
	// orchestrator resets a connection, for each offer on it without a cancel or release, because this cancels the
	// offers without an answer.
	Offered(worker, requestID string)
	Rejected(worker, requestID string)
	Cancelled(worker, requestID string)
	// Accepted is called before the acceptance of a task is sent, Started when the start of the task is complete, and
	// Completed before the end of the task is reported, also if the task was cancelled.
	Accepted(worker, key, requestID string, t Task)
	Started(key string)
	Completed(key, requestID string)
}

// capacitySlack is the tolerance for rounding errors in the sums of the cores and the memory that tasks request.
const capacitySlack = 1e-9

// CapacityModel is an emulated worker. Each orchestrator connects to it through its own Worker.
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
	queued          map[string]net.Conn     // connections of the offers without a decision, by request ID; no cancelled offers
	slowStart       slowStart
	rejections      map[string]int // by cause
	workers         []*Worker      // one Worker for each orchestrator
}

// offer is an entry in the inspection queue: the message with the offer, the task that it describes, and where it
// arrived.
type offer struct {
	worker *Worker
	conn   net.Conn
	line   Line
	task   Task
}

// runningTask is a task that was accepted and has not completed.
type runningTask struct {
	Task
	worker    *Worker
	conn      net.Conn // connection on which the offer arrived
	key       string
	stop      chan struct{} // closed when the orchestrator cancels or releases the task
	cancelled bool
}

// NewCapacityModel starts an emulated worker that stops at the end of the test. The seed
// determines the sequence of inspection times.
func NewCapacityModel(t Host, spec WorkerSpec, observer Observer, seed uint64) *CapacityModel {
	m := &CapacityModel{
		WorkerSpec: spec,
		observer:   observer,
		queue:      make(chan offer, spec.QueueLength),
		startSlots: make(chan struct{}, max(1, spec.MaxStarting)),
		stop:       make(chan struct{}),
		random:     rand.New(rand.NewPCG(seed, 1)),
		running:    map[string]*runningTask{},
		queued:     map[string]net.Conn{},
		rejections: map[string]int{},
	}
	m.slowStart.spec = &m.WorkerSpec
	go m.inspectQueue()
	t.Cleanup(func() { close(m.stop) })
	return m
}

// NewWorker returns a Worker through which one orchestrator connects to the emulated worker.
func (m *CapacityModel) NewWorker(t Host) *Worker {
	worker := newWorker(t, m.Name, m)
	m.mu.Lock()
	m.workers = append(m.workers, worker)
	m.mu.Unlock()
	return worker
}

// offered queues an offer for inspection, or rejects it if the queue is full. If the description of the task is
// invalid, offered reports that the task failed. An overloaded worker ignores every offer with a valid description.
func (m *CapacityModel) offered(conn net.Conn, line Line) {
	m.observer.Offered(m.Name, line.Tag)
	m.mu.Lock()
	worker := m.workerOf(conn)
	m.slowStart.countOffer()
	overloaded := m.slowStart.overloaded
	m.mu.Unlock()
	task, err := parseTask(*line.Blob)
	if err != nil {
		Send(conn, CodeLine("FINISH", line.Tag, codeFailed))
		return
	}
	if overloaded {
		return
	}
	m.mu.Lock()
	m.queued[line.Tag] = conn
	m.mu.Unlock()
	select {
	case m.queue <- offer{worker, conn, line, task}:
	default:
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.queued, line.Tag)
		m.reject(conn, line.Tag, "busy")
	}
}

// workerOf returns the Worker that accepted a connection, or nil if the connection has ended. The caller holds
// the lock.
func (m *CapacityModel) workerOf(conn net.Conn) (found *Worker) {
	for _, worker := range m.workers {
		if worker.has(conn) {
			found = worker
		}
	}
	return found
}

// reject rejects an offer. The caller holds the lock since it has found that the offer is not cancelled, so that the
// observer learns of a cancel and a rejection in the order in which they took effect.
func (m *CapacityModel) reject(conn net.Conn, requestID, cause string) {
	m.rejections[cause]++
	m.observer.Rejected(m.Name, requestID)
	Send(conn, rejectedLine(requestID, cause))
}

// inspectQueue inspects the queued offers one at a time until the model stops.
func (m *CapacityModel) inspectQueue() {
	for {
		select {
		case next := <-m.queue:
			inspection, queued := m.inspectionTime(next)
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

// inspectionTime draws the inspection time of an offer. It returns false if the offer was cancelled.
func (m *CapacityModel) inspectionTime(o offer) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isQueued(o) {
		return 0, false
	}
	shortest, longest := m.InspectionTime[0], m.InspectionTime[1]
	return shortest + time.Duration(m.random.Int64N(int64(longest-shortest)+1)), true
}

// isQueued reports whether an offer has no decision and was not cancelled. The caller holds the lock.
func (m *CapacityModel) isQueued(o offer) bool { return m.queued[o.line.Tag] == o.conn }

// sleep waits for a duration. It returns false if the channel cancelled is closed or the model stops before the
// duration has passed.
func (m *CapacityModel) sleep(d time.Duration, cancelled <-chan struct{}) bool {
	select {
	case <-time.After(d):
		return true
	case <-cancelled:
	case <-m.stop:
	}
	return false
}

// decide accepts or rejects an inspected offer. It ignores the offer if it was cancelled, if its connection was reset or
// if the worker is overloaded.
func (m *CapacityModel) decide(o offer) {
	m.mu.Lock()
	if !m.isQueued(o) {
		m.mu.Unlock()
		return
	}
	delete(m.queued, o.line.Tag)
	if isReset(o.conn) { // the worker has not read the reset yet, but it must not respond any more
		m.observer.Cancelled(m.Name, o.line.Tag)
		m.mu.Unlock()
		return
	}
	if m.slowStart.overloaded {
		m.mu.Unlock()
		return
	}
	if cause := m.shortage(o.task); cause != "" {
		m.reject(o.conn, o.line.Tag, cause)
		m.mu.Unlock()
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

// shortage returns the cause of the rejection if there is not enough free capacity for a task, and "" otherwise.
// The caller holds the lock.
func (m *CapacityModel) shortage(t Task) string {
	switch {
	case m.requestedCores+t.Cores > m.Cores+capacitySlack:
		return "cpu_full"
	case m.requestedMemory+t.Memory > m.Memory+capacitySlack:
		return "mem_full"
	}
	return ""
}

// run starts an accepted task and completes it after its run time or when it is cancelled.
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

// complete frees the capacity of a task that has completed or was cancelled, and reports the end of the task to the
// orchestrator.
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
	task.worker.report(task.conn, CodeLine("FINISH", requestID, code))
}

// cancelled handles the cancel of an offer or the release of a running task.
func (m *CapacityModel) cancelled(requestID string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observer.Cancelled(m.Name, requestID)
	if task := m.running[requestID]; task != nil && !task.cancelled {
		task.cancelled = true
		close(task.stop)
	}
	delete(m.queued, requestID)
}

// offerReset handles an offer whose connection the orchestrator has reset. This cancels the offer. A task that the
// worker has accepted keeps running, because it does not depend on a connection.
func (m *CapacityModel) offerReset(conn net.Conn, requestID string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.queued[requestID] == conn { // the same request may have been offered again on another connection
		delete(m.queued, requestID)
	}
	m.observer.Cancelled(m.Name, requestID)
}

// FreeCapacity returns the cores and the memory that are not requested by running tasks.
func (m *CapacityModel) FreeCapacity() (cores, memory float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Cores - m.requestedCores, m.Memory - m.requestedMemory
}

// PeakLoad returns the maximum ratio, during slow start, between the number of offers within an overload window
// and the number that the worker tolerates in one window. A ratio above 1 means that the worker was overloaded.
func (m *CapacityModel) PeakLoad() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.slowStart.peakLoad
}

// Rejections returns the number of rejected offers by cause.
func (m *CapacityModel) Rejections() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.rejections)
}

// ListEntry returns the worker's entry in the list that one orchestrator gets. The address of the entry is that
// of the given Worker. The entry states the given phase, and cores and memory as the free capacity.
func (m *CapacityModel) ListEntry(worker *Worker, phase string, cores, memory float64) string {
	upSince := int64(0)
	if !m.UpSince.IsZero() {
		upSince = m.UpSince.UnixMilli()
	}
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":%q,"flavor":%q,"cell":%d,"phase":%q,"size":1,`+
		`"up_since_ms":%d,"spare":[%g,%g]}`, m.Name, worker.Addr(), m.Zone, m.Kind, m.Cell, phase, upSince, cores, memory)
}

package scale

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ravenhitch/internal/testbed"
	"ravenhitch/internal/testbed/hollow"
)

// This file contains the clients: their connections, the messages that they send, and their retries.

const (
	// connectionsEach is the number of client connections to each orchestrator. It must not exceed a third of the
	// orchestrator's descriptor budget, because the orchestrator's optional connections to workers leave only this
	// share to clients (see package descriptors).
	connectionsEach = 40
	// dialTimeout limits the time for which a client waits for an orchestrator that accepts no connections.
	// writeTimeout limits the time for which it waits for an orchestrator that reads no data.
	dialTimeout       = time.Second
	writeTimeout      = time.Second
	minRetryPause     = 200 * time.Millisecond
	retryAfterFailure = time.Second
)

// retryAfter returns the time that a client waits before it retries a rejected request. This is the number of
// milliseconds in the option "wait" of the response, but at least minRetryPause.
func retryAfter(line testbed.Line) time.Duration {
	waitMs, _ := strconv.Atoi(line.Opts["wait"])
	return max(minRetryPause, time.Duration(waitMs)*time.Millisecond)
}

// pool holds the client connections to one orchestrator.
type pool struct {
	orchestrator *orchestrator
	connections  []*connection
	bytes        hollow.ByteCounters
	messages     atomic.Int64
	next         atomic.Uint64 // number of the last request ID; it also selects the connection
}

func newPool(o *orchestrator) *pool {
	p := &pool{orchestrator: o}
	for range connectionsEach {
		p.connections = append(p.connections, &connection{pool: p})
	}
	return p
}

// pick returns the next connection, round-robin, and a new request ID.
func (p *pool) pick() (*connection, string) {
	n := p.next.Add(1)
	return p.connections[n%connectionsEach], hollow.RequestID(p.orchestrator.index, n)
}

// close closes all connections of the pool.
func (p *pool) close() {
	for _, c := range p.connections {
		c.close()
	}
}

// connection is one client connection. After it has ended, the next write dials again.
type connection struct {
	pool   *pool
	mutex  sync.Mutex
	socket net.Conn
	pings  map[string]chan struct{} // unanswered pings by request ID; each channel is closed by the answer
}

// close closes the socket, if one is open.
func (c *connection) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.socket != nil {
		testbed.CloseQuietly(c.socket)
	}
}

// write sends a message. It dials first if no socket is open.
func (c *connection) write(line testbed.Line) error {
	text, err := json.Marshal(line)
	if err != nil {
		return err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.socket == nil {
		if err := c.dial(); err != nil {
			return err
		}
	}
	if err := c.socket.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	c.pool.messages.Add(1)
	_, err = c.socket.Write(append(text, '\n'))
	return err
}

// dial opens the socket and starts its reader. The caller holds c.mutex.
func (c *connection) dial() error {
	raw, err := net.DialTimeout("tcp", c.pool.orchestrator.address, dialTimeout)
	if err != nil {
		return fmt.Errorf("dial client connection to %s: %w", c.pool.orchestrator.Name, err)
	}
	socket := c.pool.bytes.Wrap(raw)
	c.socket = socket
	go c.read(socket)
	return nil
}

// read handles the messages from the orchestrator until the connection ends or a message is malformed. It then
// closes the socket.
func (c *connection) read(socket net.Conn) {
	for scanner := bufio.NewScanner(socket); scanner.Scan(); {
		var line testbed.Line
		if json.Unmarshal(scanner.Bytes(), &line) != nil {
			break
		}
		c.pool.messages.Add(1)
		if line.Verb == "ECHOED" {
			c.pingAnswered(line.Tag)
			continue
		}
		c.pool.orchestrator.rig.ledger.receive(line)
	}
	testbed.CloseQuietly(socket)
	c.mutex.Lock()
	if c.socket == socket {
		c.socket = nil
	}
	c.mutex.Unlock()
	c.pool.orchestrator.rig.ledger.connectionLost(c)
}

// pingAnswered closes the channel of a ping and removes the ping from c.pings.
func (c *connection) pingAnswered(requestID string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if answered := c.pings[requestID]; answered != nil {
		close(answered)
		delete(c.pings, requestID)
	}
}

// ping sends a ping and returns a channel that is closed when the answer arrives.
func (c *connection) ping(options map[string]string) (<-chan struct{}, error) {
	requestID := hollow.RequestID(c.pool.orchestrator.index, c.pool.next.Add(1))
	ping := testbed.CodeLine("ECHO", requestID, 0)
	ping.Opts = options
	answered := make(chan struct{})
	c.mutex.Lock()
	if c.pings == nil {
		c.pings = map[string]chan struct{}{}
	}
	c.pings[requestID] = answered
	c.mutex.Unlock()
	if err := c.write(ping); err != nil {
		c.pingAnswered(requestID)
		return nil, err
	}
	return answered, nil
}

// cancel sends the cancellation of a request.
func (c *connection) cancel(requestID string) {
	// A write error is ignored. It usually means that the connection has ended, and its end cancels the request.
	_ = c.write(testbed.CodeLine("FINISH", requestID, codeEnded))
}

// clients submits tasks to the orchestrators and retries them.
type clients struct {
	rig     *rig
	mutex   sync.Mutex
	random  *rand.Rand
	sent    []int // number of submissions, including retries, by orchestrator index
	stopped bool
}

func newClients(r *rig) *clients {
	return &clients{rig: r, random: rand.New(rand.NewPCG(r.options.seed, 31)), sent: make([]int, r.options.orchestrators)}
}

// leastUsed returns the orchestrator that has got the fewest submissions so far. It considers only orchestrators
// whose field admitted is true, and returns nil if there are none.
func (c *clients) leastUsed() *orchestrator {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var fewest *orchestrator
	for _, o := range c.rig.orchestrators {
		if o.admitted.Load() && (fewest == nil || c.sent[o.index] < c.sent[fewest.index]) {
			fewest = o
		}
	}
	return fewest
}

// submit submits all tasks of a job at once to one orchestrator. The function run draws the run time of each
// task.
func (c *clients) submit(j job, run func() time.Duration) {
	to := c.leastUsed()
	for i := range j.size {
		t := &task{job: j, key: fmt.Sprintf("%s-%03d", j.name, i), runTime: run(), submittedAt: time.Now()}
		c.submitTask(t, to)
	}
}

// submitTask submits a task to an orchestrator. If to is nil, clients may not submit to any orchestrator at the
// moment, and submitTask schedules a retry instead.
func (c *clients) submitTask(t *task, to *orchestrator) {
	if to == nil {
		c.rig.ledger.retry(t, retryAfterFailure)
		return
	}
	c.mutex.Lock()
	c.sent[to.index]++
	c.mutex.Unlock()
	conn, requestID := to.clients.pick()
	c.rig.ledger.submit(t, requestID, conn)
	line := t.submission(requestID)
	line.Opts["left"] = strconv.FormatInt(t.job.class.responseTimeout.Milliseconds(), 10)
	if err := conn.write(line); err != nil {
		c.rig.ledger.unreachable(requestID)
	}
}

// retry submits a task again after a pause plus random jitter. If the task already runs although its client got
// no response that says so, for example because the response was lost with its connection, retry registers the
// running task instead.
func (c *clients) retry(t *task, after time.Duration) {
	jitter := time.Duration(rand.Float64() * float64(minRetryPause))
	time.AfterFunc(after+jitter, func() {
		c.mutex.Lock()
		stopped := c.stopped
		c.mutex.Unlock()
		if stopped {
			return
		}
		if c.rig.ledger.startedUnanswered(t) {
			c.handOverTask(t.orchestrator, t)
			return
		}
		c.submitTask(t, c.leastUsed())
	})
}

// stop disables retries if its argument is true. Otherwise it enables the retries that become due from now on.
func (c *clients) stop(stop bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stopped = stop
}

// submission returns the message that submits a task, without the client's timeout (option "left").
func (t *task) submission(requestID string) testbed.Line {
	description := hollow.Task{Cores: t.job.task.Cores, Memory: t.job.task.Memory, RunTime: t.runTime}.Describe()
	return testbed.Line{Verb: "START", Tag: requestID, Blob: &description, Opts: map[string]string{"class": t.job.class.name, "key": t.key,
		"tenant": t.job.tenant, "extras": fmt.Sprintf("cores:%g;memory:%g;service:%016x", t.job.task.Cores, t.job.task.Memory, t.job.program)}}
}

// handOver registers running tasks at an orchestrator. It then sends a ping on each connection and reports whether
// the orchestrator answers all of them within testbed.Timeout. It returns false at once if a message cannot be
// written.
func (c *clients) handOver(to *orchestrator, running []*task) bool {
	for _, t := range running {
		if !c.handOverTask(to, t) {
			return false
		}
	}
	return to.clients.pingAll(testbed.Timeout)
}

// handOverTask registers a running task at an orchestrator and reports whether the message could be
// written. Registering a task that the orchestrator already has changes nothing.
func (c *clients) handOverTask(to *orchestrator, t *task) bool {
	conn, _ := to.clients.pick()
	line := t.submission(t.requestID)
	line.Opts["extras"] += ";at:" + t.worker
	return conn.write(line) == nil
}

// pingAll sends a ping on each connection and reports whether all pings are answered within timeout. It returns
// false at once if a ping cannot be sent.
func (p *pool) pingAll(timeout time.Duration) bool {
	expired := time.After(timeout)
	var pings []<-chan struct{}
	for _, c := range p.connections {
		answered, err := c.ping(map[string]string{})
		if err != nil {
			return false
		}
		pings = append(pings, answered)
	}
	for _, answered := range pings {
		select {
		case <-answered:
		case <-expired:
			return false
		}
	}
	return true
}

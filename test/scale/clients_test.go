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

// This file owns the clients: their connections, what they write, and when they come again.

const (
	// linksEach is the number of clients' connections to one orchestrator; a third of its
	// descriptors is allowed.
	linksEach = 40
	// dialPatience and writePatience bound what may wait for an orchestrator that does not accept.
	dialPatience      = time.Second
	writePatience     = time.Second
	retryLeast        = 200 * time.Millisecond
	retryAfterFailure = time.Second
)

// advice is how long a refusal tells its client to stay away.
func advice(line testbed.Line) time.Duration {
	told, _ := strconv.Atoi(line.Opts["wait"])
	return max(retryLeast, time.Duration(told)*time.Millisecond)
}

// pool is the clients' connections to one orchestrator.
type pool struct {
	orchestrator *orchestrator
	links        []*link
	bytes        hollow.ByteCounters
	messages     atomic.Int64
	next         atomic.Uint64 // set-up, for its tag and its connection
}

func newPool(o *orchestrator) *pool {
	p := &pool{orchestrator: o}
	for range linksEach {
		p.links = append(p.links, &link{pool: p})
	}
	return p
}

// pick returns a connection and a new tag.
func (p *pool) pick() (*link, string) {
	n := p.next.Add(1)
	return p.links[n%linksEach], hollow.RequestID(p.orchestrator.index, n)
}

// close ends all connections.
func (p *pool) close() {
	for _, l := range p.links {
		l.mutex.Lock()
		if l.socket != nil {
			l.socket.Close()
		}
		l.mutex.Unlock()
	}
}

// link is one connection, dialled anew where it ended.
type link struct {
	pool   *pool
	mutex  sync.Mutex
	socket net.Conn
	echoes map[string]chan struct{} // tests without an answer
}

// write sends a message, on a new connection where there is none.
func (l *link) write(line testbed.Line) error {
	text, err := json.Marshal(line)
	if err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.socket == nil {
		if err := l.dial(); err != nil {
			return err
		}
	}
	l.socket.SetWriteDeadline(time.Now().Add(writePatience))
	l.pool.messages.Add(1)
	_, err = l.socket.Write(append(text, '\n'))
	return err
}

// dial connects. The lock is held.
func (l *link) dial() error {
	raw, err := net.DialTimeout("tcp", l.pool.orchestrator.address, dialPatience)
	if err != nil {
		return fmt.Errorf("client of %s: %w", l.pool.orchestrator.Name, err)
	}
	socket := l.pool.bytes.Count(raw)
	l.socket = socket
	go l.read(socket)
	return nil
}

func (l *link) read(socket net.Conn) {
	for scanner := bufio.NewScanner(socket); scanner.Scan(); {
		var line testbed.Line
		if json.Unmarshal(scanner.Bytes(), &line) != nil {
			break
		}
		l.pool.messages.Add(1)
		if line.Verb == "ECHOED" {
			l.echoed(line.Tag)
			continue
		}
		l.pool.orchestrator.rig.ledger.message(line)
	}
	socket.Close()
	l.mutex.Lock()
	if l.socket == socket {
		l.socket = nil
	}
	l.mutex.Unlock()
	l.pool.orchestrator.rig.ledger.broke(l)
}

func (l *link) echoed(tag string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if heard := l.echoes[tag]; heard != nil {
		close(heard)
		delete(l.echoes, tag)
	}
}

// test sends a test, and returns what is closed once it is passed.
func (l *link) test(options map[string]string) (<-chan struct{}, error) {
	tag := hollow.RequestID(l.pool.orchestrator.index, l.pool.next.Add(1))
	test := testbed.FinishLine("ECHO", tag, 0)
	test.Opts = options
	heard := make(chan struct{})
	l.mutex.Lock()
	if l.echoes == nil {
		l.echoes = map[string]chan struct{}{}
	}
	l.echoes[tag] = heard
	l.mutex.Unlock()
	if err := l.write(test); err != nil {
		l.echoed(tag)
		return nil, err
	}
	return heard, nil
}

// withdraw gives a set-up up.
func (l *link) withdraw(tag string) {
	_ = l.write(testbed.FinishLine("FINISH", tag, 16)) // a connection that is gone gives it up too
}

// clients ask for tasks.
type clients struct {
	rig     *rig
	mutex   sync.Mutex
	random  *rand.Rand
	sent    []int // tasks, by orchestrator
	stopped bool
}

func newClients(r *rig) *clients {
	return &clients{rig: r, random: rand.New(rand.NewPCG(r.options.seed, 31)), sent: make([]int, r.options.orchestrators)}
}

// admitted returns the orchestrator that was sent least so far, of those that are up.
func (c *clients) admitted() *orchestrator {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var least *orchestrator
	for _, o := range c.rig.orchestrators {
		if o.admitted.Load() && (least == nil || c.sent[o.index] < c.sent[least.index]) {
			least = o
		}
	}
	return least
}

// submit asks for a job at one orchestrator, all tasks at once.
func (c *clients) submit(j job, run func() time.Duration) {
	to := c.admitted()
	for i := range j.size {
		t := &task{job: j, key: fmt.Sprintf("%s-%03d", j.name, i), run: run(), firstAsked: time.Now()}
		c.ask(t, to)
	}
}

// ask sends a set-up of a task.
func (c *clients) ask(t *task, to *orchestrator) {
	if to == nil {
		c.rig.ledger.again(t, retryAfterFailure)
		return
	}
	c.mutex.Lock()
	c.sent[to.index]++
	c.mutex.Unlock()
	link, tag := to.clients.pick()
	c.rig.ledger.open(t, tag, link)
	line := t.setUp(tag)
	line.Opts["left"] = strconv.FormatInt(t.job.class.wait.Milliseconds(), 10)
	if err := link.write(line); err != nil {
		c.rig.ledger.unreached(tag)
	}
}

// again asks for a task anew after a while, unless it runs by now: its answer was lost.
func (c *clients) again(t *task, after time.Duration) {
	jitter := time.Duration(rand.Float64() * float64(retryLeast))
	time.AfterFunc(after+jitter, func() {
		c.mutex.Lock()
		stopped := c.stopped
		c.mutex.Unlock()
		if stopped {
			return
		}
		if c.rig.ledger.startedUnheard(t) {
			c.tellOne(t.orchestrator, t)
			return
		}
		c.ask(t, c.admitted())
	})
}

// stop ends retries, or lets those go on that come from now on.
func (c *clients) stop(stop bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stopped = stop
}

// setUp is the set-up of a task, without the time that its client waits.
func (t *task) setUp(tag string) testbed.Line {
	description := hollow.Task{Cores: t.job.task.Cores, Memory: t.job.task.Memory, RunTime: t.run}.Describe()
	return testbed.Line{Verb: "START", Tag: tag, Blob: &description, Opts: map[string]string{"class": t.job.class.name, "key": t.key,
		"tenant": t.job.tenant, "extras": fmt.Sprintf("cores:%g;memory:%g;service:%016x", t.job.task.Cores, t.job.task.Memory, t.job.service)}}
}

// tell hands an orchestrator tasks that stand, and returns once it has passed a test behind them
// on each connection, or false after a while.
func (c *clients) tell(to *orchestrator, held []*task) bool {
	for _, t := range held {
		if !c.tellOne(to, t) {
			return false
		}
	}
	return to.clients.passed(testbed.Patience)
}

// tellOne tells an orchestrator of a task that stands; one that knows it is told nothing new.
func (c *clients) tellOne(to *orchestrator, t *task) bool {
	link, _ := to.clients.pick()
	line := t.setUp(t.tag)
	line.Opts["extras"] += ";at:" + t.worker
	return link.write(line) == nil
}

// passed waits until all connections have passed a test.
func (p *pool) passed(patience time.Duration) bool {
	limit := time.After(patience)
	var tests []<-chan struct{}
	for _, l := range p.links {
		heard, err := l.test(map[string]string{})
		if err != nil {
			return false
		}
		tests = append(tests, heard)
	}
	for _, heard := range tests {
		select {
		case <-heard:
		case <-limit:
			return false
		}
	}
	return true
}

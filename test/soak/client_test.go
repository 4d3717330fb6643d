package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"ravenhitch/internal/testbed"
)

// This file owns what clients do. They use their open connections until the process has ended, and draw everything from
// the life's seed.

// Codes of FINISH messages, as the protocol numbers them.
const codeEnded = 16

const (
	maxOpen      = 4 // requests open on a connection
	maxThinkTime = 40 * time.Millisecond
	redialPause  = 20 * time.Millisecond
	// newConnectionsFor is for how long after the first signal clients connect anew where a connection ended.
	newConnectionsFor = 400 * time.Millisecond
)

// scripts are what workers do with tasks, with how many of a hundred tasks each has.
var scripts = []struct {
	name  string
	share int
}{
	{"ok", 60}, {"full", 8}, {"missed", 9}, {"silent", 4}, {"error", 3}, {"brief", 4}, {"held", 6}, {"twice", 2}, {"half", 2}, {"reset", 2},
}

// spoilingScripts are those that only some lives have.
var spoilingScripts = map[string]bool{"half": true, "reset": true}

// client is one client, which has one connection at a time.
type client struct {
	life    *life
	process *process
	index   int
	random  *rand.Rand
	lastID  int
	conn    *testbed.Client
	record  *connection
	open    map[string]bool // requests without a response on the connection
	retry   string          // key of a task that is submitted again next, "" for none
}

func newClient(l *life, p *process, index int) *client {
	stream := uint64(40 + p.index*1000 + index)
	return &client{life: l, process: p, index: index, random: rand.New(rand.NewPCG(l.plan.seed, stream)), open: map[string]bool{}}
}

// run uses connections until the process has ended.
func (c *client) run() {
	for c.process.IsRunning() {
		if !c.connect() {
			if !c.life.sleep(redialPause) {
				return
			}
			continue
		}
		c.useConnection()
	}
}

// connect connects, and reports whether that worked.
func (c *client) connect() bool {
	since := c.process.sinceStop(time.Now())
	if since > newConnectionsFor {
		return false
	}
	conn, err := testbed.Dial(c.process.address)
	if err != nil {
		if since < newConnectionsFor/2 && c.process.IsRunning() {
			c.life.ledger.refused()
		}
		return false
	}
	c.conn, c.record = conn, &connection{}
	clear(c.open)
	return true
}

// useConnection submits requests and takes responses until the connection ends.
func (c *client) useConnection() {
	defer testbed.CloseQuietly(c.conn)
	think := time.NewTimer(0)
	defer think.Stop()
	for {
		select {
		case line, ok := <-c.conn.Lines:
			if !ok {
				c.life.ledger.connectionEnded(c.open, time.Now())
				return
			}
			c.receive(line)
		case <-think.C:
			if !c.act() {
				return
			}
			think.Reset(time.Duration(c.random.Int64N(int64(maxThinkTime))))
		}
	}
}

// act does what the client does next, and reports whether it stays.
func (c *client) act() bool {
	switch draw := c.random.IntN(200); {
	case draw == 0:
		c.leave()
		return false
	case draw < 6:
		c.cancel()
	case len(c.open) < maxOpen:
		c.submit(draw < 20)
	}
	return true
}

// leave closes the connection with whatever is open on it.
func (c *client) leave() {
	c.life.ledger.left(c.open, time.Now())
	c.life.ledger.closed(c.record, time.Now())
	testbed.CloseQuietly(c.conn)
}

// cancel cancels one of the open requests.
func (c *client) cancel() {
	for requestID := range c.open {
		delete(c.open, requestID)
		c.life.ledger.left(map[string]bool{requestID: true}, time.Now())
		testbed.Send(c.conn, testbed.FinishLine("FINISH", requestID, codeEnded))
		return
	}
}

// submit submits a request, in two parts where it is slow.
func (c *client) submit(slowly bool) {
	c.lastID++
	requestID := testbed.RequestID(c.process.index<<32 | c.index<<20 | c.lastID)
	line := testbed.StartLine(requestID, c.drawClass(), c.drawKey(), int(c.drawTimeout().Milliseconds()))
	line.Opts["extras"] = "cores:0.05;memory:0.1;service:00000000b4d65521"
	var text strings.Builder
	testbed.Send(&text, line)
	sent := text.String()
	if slowly {
		half := len(sent) / 2
		_, _ = c.conn.Write([]byte(sent[:half])) // an end shows when reading
		c.life.sleep(maxThinkTime)
		sent = sent[half:]
	}
	c.open[requestID] = true
	c.life.ledger.submitted(c.process, c.record, line, time.Now())
	_, _ = c.conn.Write([]byte(sent)) // an end shows when reading
}

// singleStartClass is the class of tasks that must not start twice.
const singleStartClass = "archive-cut"

// drawClass draws the class of a request.
func (c *client) drawClass() string {
	return []string{"guide-web", "guide-web", "live-relay", singleStartClass}[c.random.IntN(4)]
}

// drawKey draws the key of a task, whose first word is what workers do with it.
func (c *client) drawKey() string {
	if key := c.retry; key != "" {
		c.retry = ""
		return key
	}
	draw := c.random.IntN(100)
	for _, script := range scripts {
		draw -= script.share
		if draw < 0 && spoilingScripts[script.name] && !c.life.plan.spoilsAnswers {
			script = scripts[0]
		}
		if draw < 0 {
			return fmt.Sprintf("%s-%d-%d-%d", script.name, c.process.index, c.index, c.lastID)
		}
	}
	panic("the shares of the scripts make less than a hundred")
}

// drawTimeout draws how long a request has, in one of six next to nothing.
func (c *client) drawTimeout() time.Duration {
	if c.random.IntN(6) == 0 {
		return between(c.random, time.Millisecond, 20*time.Millisecond)
	}
	return between(c.random, c.life.plan.deadline/4, c.life.plan.deadline)
}

// receive takes a message. Some rejected tasks are submitted again at once.
func (c *client) receive(line testbed.Line) {
	key, isResponse := c.life.ledger.received(line, time.Now())
	if !isResponse {
		return
	}
	delete(c.open, line.Tag)
	if line.Verb == "FINISH" && c.random.IntN(3) == 0 {
		c.retry = key
	}
}

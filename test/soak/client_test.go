package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"ravenhitch/internal/testbed"
)

// This file defines the behaviour of clients. A client keeps using its open connection after the signals that terminate
// the process. Its random choices are drawn from the scenario's seed, except for the choice of the open request to
// cancel.

// codeEnded is the code of FINISH messages by which a client cancels a request or a worker completes a task.
const codeEnded = 16

const (
	maxOpen      = 4 // maximum number of open requests on one connection
	maxThinkTime = 40 * time.Millisecond
	redialPause  = 20 * time.Millisecond
	dialTimeout  = time.Second
	// reconnectWindow is the time after the first terminating signal during which a client still reconnects if
	// its connection ends.
	reconnectWindow = 400 * time.Millisecond
)

// scripts lists the ways in which workers answer offers, each with the percentage of tasks for which it is used.
// Package testbed implements the scripts.
var scripts = []struct {
	name  string
	share int
}{
	{"ok", 52}, {"late", 4}, {"copied", 4}, {"full", 8}, {"missed", 9}, {"silent", 4}, {"error", 3}, {"brief", 4}, {"held", 6}, {"twice", 2}, {"half", 2}, {"reset", 2},
}

// faultyAnswerScripts contains the scripts that are used only if the plan of the scenario has faultyAnswers set.
var faultyAnswerScripts = map[string]bool{"half": true, "reset": true}

// client submits requests to one process, on one connection at a time.
type client struct {
	scenario *scenario
	process  *process
	index    int
	random   *rand.Rand
	lastID   int
	conn     *testbed.Client
	record   *connection
	lastPing int
	pings    map[string]func(at time.Time) // record the ends of the waits for the answers to pings, by tag
	open     map[string]bool               // IDs of the requests on the connection that have no response and were not cancelled
	retryKey string                        // key of the task that the next submission retries, "" if there is no task to retry
}

func newClient(s *scenario, p *process, index int) *client {
	stream := uint64(40 + p.index*1000 + index)
	return &client{scenario: s, process: p, index: index, random: rand.New(rand.NewPCG(s.plan.seed, stream)), open: map[string]bool{},
		pings: map[string]func(at time.Time){}}
}

// run connects and uses connections until the process has exited.
func (c *client) run() {
	for c.process.IsRunning() {
		if !c.connect() {
			if !c.scenario.sleep(redialPause) {
				return
			}
			continue
		}
		c.useConnection()
	}
}

// connect opens a connection and reports whether it succeeded. It returns false without an attempt if the first
// terminating signal was sent more than reconnectWindow ago. If a running process refuses the connection, connect
// records the refusal, unless half of reconnectWindow has already passed since that signal.
func (c *client) connect() bool {
	since := c.process.sinceStop(time.Now())
	if since > reconnectWindow {
		return false
	}
	conn, err := testbed.Dial(c.process.address)
	if err != nil {
		if since < reconnectWindow/2 && c.process.IsRunning() {
			c.scenario.ledger.refused()
		}
		return false
	}
	c.conn, c.record = conn, &connection{}
	clear(c.open)
	return true
}

// useConnection submits requests and receives responses until the connection ends.
func (c *client) useConnection() {
	defer testbed.CloseQuietly(c.conn)
	think := time.NewTimer(0)
	defer think.Stop()
	for {
		select {
		case line, ok := <-c.conn.Lines:
			if !ok {
				c.recordConnectionEnd()
				return
			}
			c.receive(line)
		case <-think.C:
			if !c.performNextAction() {
				return
			}
			think.Reset(time.Duration(c.random.Int64N(int64(maxThinkTime))))
		}
	}
}

// recordConnectionEnd records that the connection has ended. It uses the time when the connection detected its end,
// because the client may notice the end later: it does not receive while it pauses within a submission.
func (c *client) recordConnectionEnd() {
	c.pingsEnded(c.conn.EndedAt())
	c.scenario.ledger.connectionEnded(c.open, c.conn.EndedAt())
}

// performNextAction performs a random action and reports whether the client keeps its connection.
func (c *client) performNextAction() bool {
	switch draw := c.random.IntN(200); {
	case draw == 0:
		c.leave()
		return false
	case draw < 6:
		c.cancel()
	case draw >= 190:
		c.ping()
	case len(c.open) < maxOpen:
		c.submit(draw < 20)
	}
	return true
}

// leave closes the connection. The client thereby abandons all open requests of the connection.
func (c *client) leave() {
	c.pingsEnded(time.Now())
	c.scenario.ledger.left(c.open, time.Now())
	c.scenario.ledger.closed(c.record, time.Now())
	testbed.CloseQuietly(c.conn)
}

// cancel cancels an arbitrary open request. It does nothing if no request is open.
func (c *client) cancel() {
	for requestID := range c.open {
		delete(c.open, requestID)
		c.scenario.ledger.left(map[string]bool{requestID: true}, time.Now())
		testbed.Send(c.conn, testbed.CodeLine("FINISH", requestID, codeEnded))
		return
	}
}

// submit submits a request. If inTwoParts is set, it pauses after the first half of the message.
func (c *client) submit(inTwoParts bool) {
	c.lastID++
	requestID := testbed.RequestID(c.process.index<<32 | c.index<<20 | c.lastID)
	line := testbed.StartLine(requestID, c.drawClass(), c.drawKey(), int(c.drawTimeout().Milliseconds()))
	line.Opts["extras"] = "cores:0.05;memory:0.1;service:00000000b4d65521"
	var text strings.Builder
	testbed.Send(&text, line)
	sent := text.String()
	if inTwoParts {
		half := len(sent) / 2
		_, _ = c.conn.Write([]byte(sent[:half])) // a write error is ignored: the reader detects that the connection is closed
		c.scenario.sleep(maxThinkTime)
		sent = sent[half:]
	}
	c.open[requestID] = true
	c.scenario.ledger.submitted(c.process, c.record, line, time.Now())
	_, _ = c.conn.Write([]byte(sent)) // a write error is ignored: the reader detects that the connection is closed
}

// singleStartClass is the class whose tasks must never start twice.
const singleStartClass = "archive-cut"

// drawClass draws the class of a request at random.
func (c *client) drawClass() string {
	return []string{"guide-web", "guide-web", "live-relay", singleStartClass}[c.random.IntN(4)]
}

// drawKey returns the key of the task to submit. This is the key of a task to retry, if there is one, or a new
// key. The first word of a new key names the script by which workers answer the task's offers.
func (c *client) drawKey() string {
	if key := c.retryKey; key != "" {
		c.retryKey = ""
		return key
	}
	draw := c.random.IntN(100)
	for _, script := range scripts {
		draw -= script.share
		if draw < 0 && faultyAnswerScripts[script.name] && !c.scenario.plan.faultyAnswers {
			script = scripts[0]
		}
		if draw < 0 {
			return fmt.Sprintf("%s-%d-%d-%d", script.name, c.process.index, c.index, c.lastID)
		}
	}
	panic("the shares of the scripts add up to less than 100 percent")
}

// drawTimeout draws the timeout of a request. One in six is shorter than 20 ms, which leaves almost no time to respond.
func (c *client) drawTimeout() time.Duration {
	if c.random.IntN(6) == 0 {
		return drawDuration(c.random, time.Millisecond, 20*time.Millisecond)
	}
	return drawDuration(c.random, c.scenario.plan.deadline/4, c.scenario.plan.deadline)
}

// confirm confirms that the client has read a completion, as clients of the platform do. Otherwise the process sends it
// again when the connection ends.
func (c *client) confirm(line testbed.Line) {
	if line.Verb == "FINISH" || line.Verb == "MOVE" {
		testbed.Send(c.conn, testbed.Line{Verb: "FINISHED", Tag: line.Tag, Opts: map[string]string{}})
	}
}

// receive handles a message from the process, and confirms a completion. If the first response to a request is a FINISH message, the next
// submission retries its task with a probability of one third.
func (c *client) receive(line testbed.Line) {
	if line.Verb == "ECHOED" {
		c.pingAnswered(line)
		return
	}
	key, isResponse := c.scenario.received(line, time.Now())
	if !isResponse {
		c.confirm(line)
		return
	}
	delete(c.open, line.Tag)
	if line.Verb == "FINISH" && c.random.IntN(3) == 0 {
		c.retryKey = key
	}
}

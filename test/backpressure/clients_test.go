package backpressure

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ravenhitch/internal/testbed"
)

// This file owns the clients: what each submits, when it retries, and what was answered.

const (
	clientTimeout     = 90 * time.Second // after which a client stops trying
	minRetryPause     = 1100 * ms
	retryJitter       = 1400 * ms
	redialPause       = 100 * ms
	maybeStartedPause = 3 * time.Second // of a task that must not start twice, before its client looks
	responseGrace     = 2 * time.Second // after a request's timeout
	codeRejected      = 34
)

// result is what became of a job.
type result struct {
	*job
	submissions int
	rejections  int
	submittedAt time.Time // first
	startedAt   time.Time // as its client has it
	abandoned   bool
}

// response is a final message on a request, or that its connection ended.
type response struct {
	testbed.Line
	at           time.Time
	disconnected bool
}

// clients submit jobs.
type clients struct {
	rig           *rig
	compliance    float64 // the share of a Retry-After that they wait
	stormAt       time.Time
	lastRequestID atomic.Int64
	connections   [][]*connection // by orchestrator

	mu                 sync.Mutex
	started            []startedTask
	submittedAt        []time.Time     // of all requests
	lateBy             []time.Duration // of responses after the request's timeout
	duplicateResponses int
	unanswered         int // requests
	retryAfters        []time.Duration
}

// startedTask is a task and the orchestrator that started it.
type startedTask struct {
	*job
	requestID    string
	orchestrator int
}

func newClients(r *rig, compliance float64, stormAt time.Time) *clients {
	c := &clients{rig: r, compliance: compliance, stormAt: stormAt}
	for i := range r.orchestrators {
		var connections []*connection
		for range connectionsEach {
			connections = append(connections, newConnection(c, i))
		}
		c.connections = append(c.connections, connections)
	}
	return c
}

// handOver registers the running tasks that an orchestrator had started before its restart, as
// their clients do; it returns how many.
func (c *clients) handOver(orchestrator int) (registered int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, task := range c.started {
		at, running := c.rig.recorder.placementOf(task.key)
		if task.orchestrator != orchestrator || !running || at.requestID != task.requestID {
			continue
		}
		line := task.submission(task.requestID)
		line.Opts["extras"] += ";at:" + at.worker
		if _, err := c.connections[orchestrator][registered%connectionsEach].submit(line); err == nil {
			registered++
		}
	}
	return registered
}

// submission is the message that submits a job, without its timeout.
func (j *job) submission(requestID string) testbed.Line {
	blob := j.Describe()
	return testbed.Line{Verb: "START", Tag: requestID, Blob: &blob, Opts: map[string]string{
		"class": j.class.name, "key": j.key, "extras": fmt.Sprintf("cores:%g;memory:%g;service:%016x", j.Cores, j.Memory, j.program)}}
}

// run submits a job until it has started, or for clientTimeout.
func (c *clients) run(j *job) *result {
	r := &result{job: j}
	random := rand.New(rand.NewPCG(j.seed, 3))
	time.Sleep(time.Until(c.stormAt.Add(j.at)))
	r.submittedAt = time.Now()
	for deadline := r.submittedAt.Add(clientTimeout); time.Now().Before(deadline); {
		pause := minRetryPause + time.Duration(random.Float64()*float64(retryJitter))
		answer, sentAt, ok := c.submit(j, random, r)
		if !ok { // the orchestrator is down; the front tries another
			time.Sleep(redialPause)
			continue
		}
		if answer.Verb == "STARTED" {
			r.startedAt = answer.at
			return r
		}
		if answer.disconnected || answer.Cause() != codeRejected {
			if c.mayHaveStarted(j) {
				r.startedAt = time.Now()
				return r
			}
		} else {
			r.rejections++
			pause = max(pause, c.retryAfter(answer))
		}
		c.countLate(j, answer, sentAt)
		time.Sleep(pause)
	}
	r.abandoned = true
	return r
}

// mayHaveStarted waits for a task that must not start twice, and reports whether a worker
// accepted it.
func (c *clients) mayHaveStarted(j *job) bool {
	if j.class.name != classArchiveCut {
		return false
	}
	time.Sleep(maybeStartedPause)
	return c.rig.recorder.wasAccepted(j.key)
}

// retryAfter is how long a client waits after a rejection, by its compliance.
func (c *clients) retryAfter(rejection response) time.Duration {
	waitMs, _ := strconv.Atoi(rejection.Opts["wait"])
	c.mu.Lock()
	c.retryAfters = append(c.retryAfters, time.Duration(waitMs)*ms)
	c.mu.Unlock()
	return time.Duration(c.compliance * float64(waitMs) * float64(ms))
}

// countLate counts a response after its request's timeout.
func (c *clients) countLate(j *job, answer response, sentAt time.Time) {
	late := answer.at.Sub(sentAt) - j.class.responseTimeout
	if answer.disconnected || late <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lateBy = append(c.lateBy, late)
}

// submit sends one request and waits for its response; it returns false where it could not be
// sent.
func (c *clients) submit(j *job, random *rand.Rand, r *result) (answer response, sentAt time.Time, ok bool) {
	conn := c.connections[random.IntN(len(c.connections))][random.IntN(connectionsEach)]
	requestID := testbed.RequestID(int(c.lastRequestID.Add(1)))
	line := j.submission(requestID)
	line.Opts["left"] = strconv.FormatInt(j.class.responseTimeout.Milliseconds(), 10)
	c.rig.recorder.history.sent(requestID)
	sentAt = time.Now()
	responses, err := conn.submit(line)
	if err != nil {
		return answer, sentAt, false
	}
	r.submissions++
	c.mu.Lock()
	c.submittedAt = append(c.submittedAt, sentAt)
	c.mu.Unlock()
	select {
	case answer = <-responses:
		c.answered(j, requestID, conn.orchestrator, answer)
	case <-time.After(j.class.responseTimeout + responseGrace):
		c.mu.Lock()
		c.unanswered++
		c.mu.Unlock()
		answer = response{disconnected: true}
	}
	return answer, sentAt, true
}

// answered records a response.
func (c *clients) answered(j *job, requestID string, orchestrator int, answer response) {
	if !answer.disconnected {
		c.rig.recorder.history.add(operation{requestID: requestID, kind: answered, response: kindOfResponse(answer.Line)})
	}
	if answer.Verb == "STARTED" {
		c.mu.Lock()
		c.started = append(c.started, startedTask{j, requestID, orchestrator})
		c.mu.Unlock()
	}
}

// inFlight is the number of requests without a response.
func (c *clients) inFlight() (n int) {
	for _, connections := range c.connections {
		for _, conn := range connections {
			n += conn.inFlight()
		}
	}
	return n
}

func kindOfResponse(line testbed.Line) string {
	switch {
	case line.Verb == "STARTED":
		return responseStarted
	case line.Cause() == codeRejected:
		return responseRejected
	}
	return responseFailed
}

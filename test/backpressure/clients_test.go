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

// This file owns the clients: their submissions, their retries and the responses they receive.

const (
	clientTimeout     = 90 * time.Second // time from the first submission until a client stops retrying
	minRetryPause     = 1100 * ms
	retryJitter       = 1400 * ms
	redialPause       = 100 * ms
	maybeStartedPause = 3 * time.Second // pause before a client checks whether a worker has accepted a task that must not start twice
	responseGrace     = 2 * time.Second // time after a request's timeout for which a client still waits for a response
	codeRejected      = 34              // code of a FINISH message that rejects a request
)

// result records what the client of a job saw: its submissions, the rejections, and when the task started, if it did.
type result struct {
	*job
	submissions int
	rejections  int
	submittedAt time.Time // time of the first attempt to submit
	startedAt   time.Time // time when the client received STARTED or found that a worker had accepted the task
	abandoned   bool      // the task had not started within clientTimeout
}

// response is a STARTED or FINISH message for a request. If disconnected is true, there is no message: the connection
// ended without a final response, or the client stopped waiting for one.
type response struct {
	testbed.Line
	at           time.Time
	disconnected bool
}

// clients holds the connections that all clients share. It also holds the counts and times that clients record.
type clients struct {
	rig           *rig
	compliance    float64   // fraction of the Retry-After for which a client waits
	stormAt       time.Time // start of the storm
	lastRequestID atomic.Int64
	connections   [][]*connection // by orchestrator

	mu                 sync.Mutex
	started            []startedTask
	submittedAt        []time.Time     // times of all submissions
	lateBy             []time.Duration // lateness of the responses that countLate recorded
	duplicateResponses int             // number of STARTED messages that repeat an earlier one for the same request
	unanswered         int             // number of requests whose client stopped waiting for a response
	retryAfters        []time.Duration
}

// startedTask is a task for which a client received STARTED, with the orchestrator that sent it.
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

// registerRunningTasks registers running tasks with a restarted orchestrator on behalf of their clients. These are
// the tasks for which this orchestrator sent STARTED before its restart and which still run for the same request.
// The function returns the number of registered tasks.
func (c *clients) registerRunningTasks(orchestrator int) (registered int) {
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

// submission returns the message that submits a job, without the request's timeout.
func (j *job) submission(requestID string) testbed.Line {
	blob := j.Describe()
	return testbed.Line{Verb: "START", Tag: requestID, Blob: &blob, Opts: map[string]string{
		"class": j.class.name, "key": j.key, "extras": fmt.Sprintf("cores:%g;memory:%g;service:%016x", j.Cores, j.Memory, j.program)}}
}

// run submits a job and retries until the task has started or clientTimeout has elapsed.
func (c *clients) run(j *job) *result {
	r := &result{job: j}
	random := rand.New(rand.NewPCG(j.seed, 3))
	time.Sleep(time.Until(c.stormAt.Add(j.at)))
	r.submittedAt = time.Now()
	for deadline := r.submittedAt.Add(clientTimeout); time.Now().Before(deadline); {
		pause := minRetryPause + time.Duration(random.Float64()*float64(retryJitter))
		resp, sentAt, ok := c.submit(j, random, r)
		// If the orchestrator cannot be dialled, the client tries again after redialPause with an orchestrator drawn at
		// random. The platform's front end would also try another one.
		if !ok {
			time.Sleep(redialPause)
			continue
		}
		if resp.Verb == "STARTED" {
			r.startedAt = resp.at
			return r
		}
		if resp.disconnected || resp.Code() != codeRejected {
			if c.mayHaveStarted(j) {
				r.startedAt = time.Now()
				return r
			}
		} else {
			r.rejections++
			pause = max(pause, c.retryAfter(resp))
		}
		c.countLate(j, resp, sentAt)
		time.Sleep(pause)
	}
	r.abandoned = true
	return r
}

// mayHaveStarted reports whether a task may have started although its client knows of no start. For a task that
// must not start twice, it waits for maybeStartedPause and then reports whether a worker has accepted the task.
// For other tasks it returns false at once.
func (c *clients) mayHaveStarted(j *job) bool {
	if j.class.name != classArchiveCut {
		return false
	}
	time.Sleep(maybeStartedPause)
	return c.rig.recorder.wasAccepted(j.key)
}

// retryAfter records the Retry-After of a rejection and returns the minimum time for which the client waits, which
// is the Retry-After times the compliance. A missing Retry-After counts as 0.
func (c *clients) retryAfter(rejection response) time.Duration {
	waitMs, _ := strconv.Atoi(rejection.Opts["wait"])
	c.mu.Lock()
	c.retryAfters = append(c.retryAfters, time.Duration(waitMs)*ms)
	c.mu.Unlock()
	return time.Duration(c.compliance * float64(waitMs) * float64(ms))
}

// countLate records the lateness of a response that came after the timeout of its request. run calls countLate
// only for responses after which it retries, so a late STARTED is not recorded.
func (c *clients) countLate(j *job, resp response, sentAt time.Time) {
	late := resp.at.Sub(sentAt) - j.class.responseTimeout
	if resp.disconnected || late <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lateBy = append(c.lateBy, late)
}

// submit sends one request to an orchestrator drawn at random and waits for the response. It returns false if
// the orchestrator cannot be dialled. If there is no response until responseGrace after the request's timeout,
// submit counts the request as unanswered and returns a response with disconnected set.
func (c *clients) submit(j *job, random *rand.Rand, r *result) (resp response, sentAt time.Time, ok bool) {
	conn := c.connections[random.IntN(len(c.connections))][random.IntN(connectionsEach)]
	requestID := testbed.RequestID(int(c.lastRequestID.Add(1)))
	line := j.submission(requestID)
	line.Opts["left"] = strconv.FormatInt(j.class.responseTimeout.Milliseconds(), 10)
	c.rig.recorder.history.sent(requestID)
	sentAt = time.Now()
	responses, err := conn.submit(line)
	if err != nil {
		return resp, sentAt, false
	}
	r.submissions++
	c.mu.Lock()
	c.submittedAt = append(c.submittedAt, sentAt)
	c.mu.Unlock()
	select {
	case resp = <-responses:
		c.recordResponse(j, requestID, conn.orchestrator, resp)
	case <-time.After(j.class.responseTimeout + responseGrace):
		c.mu.Lock()
		c.unanswered++
		c.mu.Unlock()
		resp = response{disconnected: true}
	}
	return resp, sentAt, true
}

// recordResponse adds a STARTED or FINISH message to the history and ignores a disconnected response. For STARTED, it
// also adds the task to c.started.
func (c *clients) recordResponse(j *job, requestID string, orchestrator int, resp response) {
	if !resp.disconnected {
		c.rig.recorder.history.add(operation{requestID: requestID, kind: answered, response: kindOfResponse(resp.Line)})
	}
	if resp.Verb == "STARTED" {
		c.mu.Lock()
		c.started = append(c.started, startedTask{j, requestID, orchestrator})
		c.mu.Unlock()
	}
}

// inFlight returns the number of requests without a response, over all connections.
func (c *clients) inFlight() (n int) {
	for _, connections := range c.connections {
		for _, conn := range connections {
			n += conn.inFlight()
		}
	}
	return n
}

// kindOfResponse returns the name under which the history records a final response.
func kindOfResponse(line testbed.Line) string {
	switch {
	case line.Verb == "STARTED":
		return responseStarted
	case line.Code() == codeRejected:
		return responseRejected
	}
	return responseFailed
}

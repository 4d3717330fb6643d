package fleet

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"ravenhitch/internal/testbed"
)

// This file implements the clients that submit tasks to a fleet. Each orchestrator has one client, which submits
// one task at a time. After each result, whatever it is, the client submits the next task. A request
// without a response is counted as lost, never as rejected or failed.

const (
	submissionPause = 5 * time.Millisecond // pause of a client between a response and its next task
	redialPause     = 20 * submissionPause // pause of a client after a failed dial
	clientTimeoutMs = 5000                 // time from the submission of a request to its deadline, in milliseconds
	tasksClass      = "guide-web"
	releaseCode     = 16 // code of the FINISH message by which a client releases a task
)

// Placements collects the results of the tasks that all clients submit.
type Placements struct {
	clients   sync.WaitGroup
	startedAt time.Time

	mu             sync.Mutex
	placementTimes []time.Duration // time from submission to start of each started task
	seconds        []SecondCounts  // counts of each second since startedAt
	unanswered     []string        // IDs of the requests without a response although their orchestrator ran and was reachable
}

// SecondCounts counts the tasks whose result was recorded within one second. A response with a Retry-After counts
// as rejected, any other response except a start as failed, and a request without a response as lost.
type SecondCounts struct {
	Started  int `json:"Started"`
	Rejected int `json:"Refused"`
	Failed   int `json:"Failed"`
	Lost     int `json:"Lost"`
}

// P99 returns the 99th percentile of the time from submission to start, or 0 if no task started.
func (p *Placements) P99() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Sort(p.placementTimes); len(p.placementTimes) == 0 {
		return 0
	}
	return p.placementTimes[len(p.placementTimes)*99/100]
}

// Seconds returns the counts of each second since the clients started.
func (p *Placements) Seconds() []SecondCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.seconds)
}

// Unanswered returns the IDs of the requests that got no response although the orchestrator ran and
// was reachable.
func (p *Placements) Unanswered() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.unanswered)
}

// Total returns the sum of the counts of all seconds.
func (p *Placements) Total() (total SecondCounts) {
	for _, s := range p.Seconds() {
		total.Started += s.Started
		total.Rejected += s.Rejected
		total.Failed += s.Failed
		total.Lost += s.Lost
	}
	return total
}

// Wait returns when all clients have finished.
func (p *Placements) Wait() { p.clients.Wait() }

// count adds the result of one request to the counts of the current second. If answered is false, the request
// got no response and counts as lost.
func (p *Placements) count(took time.Duration, response testbed.Line, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	index := int(time.Since(p.startedAt) / time.Second)
	for len(p.seconds) <= index {
		p.seconds = append(p.seconds, SecondCounts{})
	}
	s := &p.seconds[index]
	switch {
	case !answered:
		s.Lost++
	case response.Verb == "STARTED":
		s.Started++
		p.placementTimes = append(p.placementTimes, took)
	case response.Opts["wait"] != "":
		s.Rejected++
	default:
		s.Failed++
	}
}

func (p *Placements) addUnanswered(requestID string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unanswered = append(p.unanswered, requestID)
}

// SubmitTasks starts a client for each orchestrator and returns at once. The clients submit tasks for the given
// time. A client whose connection ends reconnects.
func (f *Fleet) SubmitTasks(length time.Duration) *Placements {
	p := &Placements{startedAt: time.Now()}
	for i, o := range f.Orchestrators {
		p.clients.Go(func() { f.submitUntil(p.startedAt.Add(length), p, i, o) })
	}
	return p
}

// submitUntil submits tasks to an orchestrator, one at a time, until the deadline.
func (f *Fleet) submitUntil(deadline time.Time, p *Placements, index int, o *Orchestrator) {
	var client *testbed.Client
	for n := f.requestIDs.Add(1); time.Now().Before(deadline); n = f.requestIDs.Add(1) {
		if client == nil {
			var err error
			if client, err = testbed.Dial(o.frontAddress); err != nil {
				client = nil
				time.Sleep(redialPause)
				continue
			}
		}
		if !f.submit(p, client, o, testbed.RequestID(index<<40|int(n)<<8|1), fmt.Sprintf("ok-%d-%d", index, n)) {
			testbed.CloseQuietly(client)
			client = nil
			continue
		}
		time.Sleep(submissionPause)
	}
	if client != nil {
		testbed.CloseQuietly(client)
	}
}

// submit submits a task and, if the task starts, releases it. It reports whether there was a response.
func (f *Fleet) submit(p *Placements, client *testbed.Client, o *Orchestrator, requestID, key string) bool {
	sentAt := time.Now()
	testbed.Send(client, testbed.StartLine(requestID, tasksClass, key, clientTimeoutMs))
	response, answered := receiveResponse(client, requestID)
	p.count(time.Since(sentAt), response, answered)
	if !answered {
		if o.hasRun(sentAt) && f.network.WasHealthy(o.endpoints.clients, o.endpoints.front, sentAt) {
			p.addUnanswered(requestID)
		}
		return false
	}
	if response.Verb == "STARTED" {
		testbed.Send(client, testbed.CodeLine("FINISH", requestID, releaseCode))
	}
	return true
}

// receiveResponse returns the response to a request, or false if the connection ends or
// testbed.Timeout passes first.
func receiveResponse(client *testbed.Client, requestID string) (testbed.Line, bool) {
	for timeout := time.After(testbed.Timeout); ; {
		select {
		case line, open := <-client.Lines:
			if !open || line.Tag == requestID {
				return line, open
			}
		case <-timeout:
			return testbed.Line{}, false
		}
	}
}

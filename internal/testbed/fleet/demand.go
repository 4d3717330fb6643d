package fleet

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"ravenhitch/internal/testbed"
)

// This file owns the clients that submit tasks to a fleet: one at each orchestrator, one task
// after another, whatever its response. It must never count a response that did not come.

const (
	submissionPause = 5 * time.Millisecond // of a client between two tasks
	redialPause     = 20 * submissionPause
	clientTimeoutMs = 5000 // of a request
	tasksClass      = "guide-web"
	releaseCode     = 16
)

// Placements is what became of the tasks of all clients.
type Placements struct {
	clients   sync.WaitGroup
	startedAt time.Time

	mu         sync.Mutex
	took       []time.Duration // of placements
	seconds    []SecondCounts
	unanswered []string // requests that an orchestrator which ran never answered
}

// SecondCounts is what became of tasks within one second. Lost requests were not answered.
type SecondCounts struct {
	Started  int `json:"Started"`
	Rejected int `json:"Refused"`
	Failed   int `json:"Failed"`
	Lost     int `json:"Lost"`
}

// P99 is the 99th percentile of the time from a submission to its start.
func (p *Placements) P99() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Sort(p.took); len(p.took) == 0 {
		return 0
	}
	return p.took[len(p.took)*99/100]
}

// Seconds is what became of tasks, second by second.
func (p *Placements) Seconds() []SecondCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.seconds)
}

// Unanswered lists the requests that an orchestrator which ran, and was reachable, never
// answered.
func (p *Placements) Unanswered() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.unanswered)
}

// Total sums all seconds.
func (p *Placements) Total() (total SecondCounts) {
	for _, s := range p.Seconds() {
		total.Started += s.Started
		total.Rejected += s.Rejected
		total.Failed += s.Failed
		total.Lost += s.Lost
	}
	return total
}

// Wait waits for the end of the clients.
func (p *Placements) Wait() { p.clients.Wait() }

// count counts a response, or that there was none.
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
		p.took = append(p.took, took)
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

// Demand submits tasks to every orchestrator for a while. Clients whose connection ends
// connect again.
func (f *Fleet) Demand(length time.Duration) *Placements {
	p := &Placements{startedAt: time.Now()}
	for i, o := range f.Orchestrators {
		p.clients.Go(func() { f.submitUntil(p.startedAt.Add(length), p, i, o) })
	}
	return p
}

// submitUntil submits tasks to an orchestrator, one after another.
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

// submit submits a task and releases it once it has started; it reports whether there was a
// response.
func (f *Fleet) submit(p *Placements, client *testbed.Client, o *Orchestrator, requestID, key string) bool {
	sentAt := time.Now()
	testbed.Send(client, testbed.StartLine(requestID, tasksClass, key, clientTimeoutMs))
	response, answered := receiveResponse(client, requestID)
	p.count(time.Since(sentAt), response, answered)
	if !answered {
		if o.hasRun(sentAt) && f.network.WasHealthy(o.ends.clients, o.ends.front, sentAt) {
			p.addUnanswered(requestID)
		}
		return false
	}
	if response.Verb == "STARTED" {
		testbed.Send(client, testbed.FinishLine("FINISH", requestID, releaseCode))
	}
	return true
}

// receiveResponse is the response to a request; false where none came in time.
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

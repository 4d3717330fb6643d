package backpressure

import (
	"sync"
	"time"

	"ravenhitch/internal/testbed"
)

// This file owns the clients' connections, which are dialled again where they ended.

// connectionsEach is the number of clients' connections to one orchestrator.
const connectionsEach = 100

// connection is one connection to an orchestrator.
type connection struct {
	clients      *clients
	orchestrator int // its index

	mu        sync.Mutex
	client    *testbed.Client          // nil where it ended
	responses map[string]chan response // by request ID
	answered  map[string]bool          // requests with a final response
}

func newConnection(c *clients, orchestrator int) *connection {
	return &connection{clients: c, orchestrator: orchestrator, responses: map[string]chan response{}, answered: map[string]bool{}}
}

// submit sends a request and returns where its response comes.
func (c *connection) submit(line testbed.Line) (<-chan response, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client == nil {
		client, err := testbed.Dial(c.clients.rig.orchestrators[c.orchestrator].address)
		if err != nil {
			return nil, err
		}
		c.client = client
		go c.read(client)
	}
	responses := make(chan response, 4)
	c.responses[line.Tag] = responses
	testbed.Send(c.client, line)
	return responses, nil
}

// read reads a connection to its end, and notifies the requests without a response of that.
func (c *connection) read(client *testbed.Client) {
	for line := range client.Lines {
		c.receive(line)
	}
	testbed.CloseQuietly(client)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client == client {
		c.client = nil
	}
	for requestID, responses := range c.responses {
		if !c.answered[requestID] {
			responses <- response{disconnected: true}
		}
	}
	clear(c.responses)
}

func (c *connection) receive(line testbed.Line) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	responses := c.responses[line.Tag]
	if responses == nil || line.Verb != "STARTED" && line.Verb != "FINISH" {
		return
	}
	if c.answered[line.Tag] && line.Verb == "STARTED" {
		c.clients.mu.Lock()
		c.clients.duplicateResponses++
		c.clients.mu.Unlock()
		return
	}
	c.answered[line.Tag] = true
	if line.Verb == "FINISH" {
		delete(c.responses, line.Tag)
	}
	responses <- response{Line: line, at: now}
}

// inFlight is the number of requests without a response.
func (c *connection) inFlight() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for requestID := range c.responses {
		if !c.answered[requestID] {
			n++
		}
	}
	return n
}

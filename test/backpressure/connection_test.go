package backpressure

import (
	"sync"
	"time"

	"ravenhitch/internal/testbed"
)

// This file owns the clients' connections. If a connection has ended, the next submission on it dials again.

// connectionsEach is the number of client connections to each orchestrator.
const connectionsEach = 100

// connection is a connection to one orchestrator, shared by the requests of several clients.
type connection struct {
	clients      *clients
	orchestrator int // index of the orchestrator

	mu        sync.Mutex
	client    *testbed.Client          // nil before the first submission and after the connection ended
	responses map[string]chan response // channels of the requests that have no FINISH, by request ID
	answered  map[string]bool          // request IDs that have a final response
}

func newConnection(c *clients, orchestrator int) *connection {
	return &connection{clients: c, orchestrator: orchestrator, responses: map[string]chan response{}, answered: map[string]bool{}}
}

// submit sends a request and returns the channel that receives the responses to it. It dials first if there is
// no connection.
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

// read receives messages until the connection ends. It then sends a disconnected response to each
// request that has no final response.
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

// receive passes a STARTED or FINISH message to the client of its request. A repeated STARTED is counted as a
// duplicate response and not passed on. Other messages, and messages for a request after its FINISH, are ignored.
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

// inFlight returns the number of requests on the connection without a final response.
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

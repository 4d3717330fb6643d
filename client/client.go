// Package client offers tasks to orchestrators over gRPC and follows their advice: it offers a rejected
// task again at its reserved slot, with the retry token that proves its place in line, to any of the
// orchestrators. It is the reference of how a client behaves in a retry storm.
//
// It must never offer a task again that may have started, never come back before the time that an
// orchestrator advised, and never wait beyond its caller's deadline: then it returns at once, with what it was
// advised.
package client

// This file owns what callers see: tasks, bindings, options and errors. It must never call an orchestrator.

import (
	"fmt"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"google.golang.org/grpc"

	"ravenhitch/internal/grpcfront/edgepb"
)

// Task is what is offered.
type Task struct {
	Name, Class   string // the name stays the same when it comes again
	Cores, Memory float64
	Program       string // up to 16 hex digits, or ""
	Description   string // passed to the worker unchanged
	// Once says that the task must not be started twice: a call without a response is not repeated
	// then, since the task may have started.
	Once bool
}

// Binding says where a task runs.
type Binding struct {
	RequestID   string
	Worker      string // that runs it
	Description string // what the worker gave for the task
}

// RejectedError is the error of a task that was rejected and not offered again: its time to come back lies
// beyond the caller's deadline, or the budget of retries is used up. The task never ran, or running it
// twice does no harm.
type RejectedError struct {
	RetryAt  time.Time // when the task is to be offered again
	Token    []byte    // proves its place in line then, to Client.Place of any process; nil where there is none
	Attempts int       // so far
	Reason   string    // why the client did not go on
}

// Error implements error.
func (e *RejectedError) Error() string {
	retryAt := e.RetryAt.Format(time.RFC3339Nano)
	return fmt.Sprintf("client: rejected after %d attempts, %s; retry at %s", e.Attempts, e.Reason, retryAt)
}

// Options shape a Client; the zero value has defaults.
type Options struct {
	// Budget is the part of a retry that each new task adds to what may be retried without advice, after
	// calls that failed to reach an orchestrator; 0 means 0.2.
	Budget float64
	// Reserve is how many such retries may be saved up; 0 means 10.
	Reserve float64
	// AttemptTimeout is the timeout of one attempt; 0 leaves it to the class.
	AttemptTimeout time.Duration
	// BackOff is the first pause after a call that reached nobody, doubled each time up to thirty times
	// itself, and drawn between 0.5 and 1 of that; 0 means 100 ms.
	BackOff time.Duration
}

// The defaults of Options, and how far the pause grows.
const (
	defaultBudget    = 0.2
	defaultReserve   = 10
	defaultBackOff   = 100 * time.Millisecond
	maxBackOffFactor = 30
)

// Client offers tasks. It is safe for concurrent use.
type Client struct {
	options       Options
	budget        *retryBudget
	orchestrators []edgepb.OrchestratorClient

	mu   sync.Mutex
	last int // the orchestrator that was called last
}

// New returns a client of one or more orchestrators that verify each other's retry tokens. It does not
// close the connections.
func New(options Options, conns ...grpc.ClientConnInterface) *Client {
	if options.Budget <= 0 {
		options.Budget = defaultBudget
	}
	if options.Reserve <= 0 {
		options.Reserve = defaultReserve
	}
	if options.BackOff <= 0 {
		options.BackOff = defaultBackOff
	}
	c := &Client{options: options, budget: newRetryBudget(options.Budget, options.Reserve)}
	for _, conn := range conns {
		c.orchestrators = append(c.orchestrators, edgepb.NewOrchestratorClient(conn))
	}
	c.last = mathrand.IntN(max(1, len(c.orchestrators)))
	return c
}

// nextOrchestrator returns the orchestrators in turn.
func (c *Client) nextOrchestrator() edgepb.OrchestratorClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = (c.last + 1) % len(c.orchestrators)
	return c.orchestrators[c.last]
}

// Package client offers tasks to orchestrators over gRPC and follows their retry advice. If a task is rejected,
// the package offers it again at its slot, which is the time that the orchestrator reserved for it. This offer
// may go to any of the orchestrators, because it carries the retry token, which proves the place of the task on
// the waitlist. The package is the reference implementation of a client's behavior in a retry storm.
//
// The package never offers a task again after an orchestrator reported that the task may have started. If an
// offer got no response, the package repeats it under the same ID, unless Task.Once is set. It never offers a
// task again before the time that an orchestrator advised. It never waits beyond the caller's deadline: if the
// advised time is not before the deadline, Client.Place returns at once with the advised time and the retry
// token.
package client

// This file defines the types that callers use: Task, Binding, RejectedError, Options and Client. It calls no
// orchestrator.

import (
	"fmt"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"google.golang.org/grpc"

	"ravenhitch/internal/grpcfront/edgepb"
)

// Task describes a task to be offered.
type Task struct {
	Name, Class   string // Name is the same in every offer of the task
	Cores, Memory float64
	Program       string // ID of the program in up to 16 hex digits, or ""
	Description   string // text that is passed to the worker unchanged
	// IdempotencyKey is the same in every offer of the task. If it is "", orchestrators derive one from Class and Name.
	IdempotencyKey string
	// Once is true if the task must not be started twice. A call without a response is then not repeated,
	// since the task may have started.
	Once bool
}

// Binding describes the assignment of a started task to a worker.
type Binding struct {
	RequestID   string // ID under which the orchestrator accepted the task
	Worker      string // name of the worker that runs the task
	Description string // text that the worker returned for the task
}

// RejectedError is returned for a task that was rejected or got no response, if the client makes no further
// attempt. The client stops if the next attempt would start at or after the caller's deadline, or if the retry
// budget is exhausted. Either the task never ran, or running it twice does no harm.
type RejectedError struct {
	RetryAt  time.Time // earliest time at which the task may be offered again
	Token    []byte    // retry token to pass to Client.Place, in any process; nil if there is none
	Attempts int       // number of attempts so far
	Reason   string    // reason why the client made no further attempt
}

// Error implements error.
func (e *RejectedError) Error() string {
	retryAt := e.RetryAt.Format(time.RFC3339Nano)
	return fmt.Sprintf("client: rejected after %d attempts, %s; retry at %s", e.Attempts, e.Reason, retryAt)
}

// Options configures a Client. Fields that are zero get default values.
type Options struct {
	// Budget is the number of retries, usually a fraction, that each new task adds to the retry budget. A
	// retry without an orchestrator's advice, made after a call that reached no orchestrator or got no
	// response, uses one retry of the budget. 0 selects 0.2.
	Budget float64
	// Reserve is the initial and maximum number of retries in the budget. 0 selects 10.
	Reserve float64
	// AttemptTimeout is the timeout of one attempt. If it is 0, an attempt ends at the caller's deadline. If
	// the caller set no deadline either, the timeout of the class applies.
	AttemptTimeout time.Duration
	// BackOff is the delay before the first retry that uses the budget. The delay doubles with each further
	// retry that uses the budget, up to 30 times BackOff. Each delay is multiplied by a random factor between
	// 0.5 and 1. 0 selects 100 ms.
	BackOff time.Duration
}

// Default values of Options, and the maximum delay as a multiple of Options.BackOff.
const (
	defaultBudget    = 0.2
	defaultReserve   = 10
	defaultBackOff   = 100 * time.Millisecond
	maxBackOffFactor = 30
)

// Client offers tasks to orchestrators. It is safe for concurrent use.
type Client struct {
	options       Options
	budget        *retryBudget
	orchestrators []edgepb.OrchestratorClient

	mu   sync.Mutex
	last int // index of the orchestrator that was called last; random before the first call
}

// New returns a Client that offers tasks over connections to one or more orchestrators. The orchestrators must
// be able to verify each other's retry tokens. The Client does not close the connections.
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

// nextOrchestrator returns the next orchestrator in round-robin order.
func (c *Client) nextOrchestrator() edgepb.OrchestratorClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = (c.last + 1) % len(c.orchestrators)
	return c.orchestrators[c.last]
}

// Package client offers tasks to orchestrators over gRPC and follows their advice: a
// refused task comes back at its booked time, with the ticket that proves its place,
// to any of the orchestrators. It is the reference of how a caller behaves in a crowd.
//
// It owns the repeats of one task and the budget of those that no advice asked for. It
// must never offer a task again that may have started, never come back before the time
// it was told, and never wait beyond its caller's deadline: then it returns at once,
// with what it was told.
package client

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ravenhitch/internal/grpcfront/edgepb"
)

// Task is what is offered.
type Task struct {
	Name, Class   string // the name stays the same when it comes again
	Cores, Memory float64
	Service       string // up to 16 hex digits, or ""
	Description   string // passed to the node unchanged
	// Once says that it must not be started twice: a call that got no answer is not
	// repeated then, since the task may have started.
	Once bool
}

// Binding says where a task stands.
type Binding struct {
	OfferID, Node, Description string
}

// Refused is the error of a task that was refused and not offered again: its time to
// come back lies beyond the caller's deadline, or the budget is used up. The task
// never ran, or running it twice does no harm.
type Refused struct {
	At     time.Time // when it is to come back
	Ticket []byte    // proves its place then, to Client.Place of any process
	Tries  int       // offers so far
	Why    string
}

func (r *Refused) Error() string {
	return fmt.Sprintf("client: refused after %d offers, %s; there is room at %s", r.Tries, r.Why, r.At.Format(time.RFC3339Nano))
}

// Options shape a Client; the zero value has defaults.
type Options struct {
	// Budget is the part of a repeat that each new task adds to what may be repeated
	// without advice, after calls that failed to reach an orchestrator; 0 means 0.2.
	Budget float64
	// Reserve is how many such repeats may be saved up; 0 means 10.
	Reserve float64
	// Wait is how long one offer waits for its answer; 0 leaves it to the class.
	Wait time.Duration
	// BackOff is the first pause after a call that reached nobody, doubled each time up
	// to thirty times itself, and drawn between half and whole; 0 means 100 ms.
	BackOff time.Duration
}

// Client offers tasks. It is safe for concurrent use.
type Client struct {
	o      Options
	to     []edgepb.OrchestratorClient
	mu     sync.Mutex
	next   int
	budget float64
}

// New returns a client of one or more orchestrators of the same keys.
func New(o Options, conns ...grpc.ClientConnInterface) *Client {
	if o.Budget <= 0 {
		o.Budget = 0.2
	}
	if o.Reserve <= 0 {
		o.Reserve = 10
	}
	if o.BackOff <= 0 {
		o.BackOff = 100 * time.Millisecond
	}
	c := &Client{o: o, budget: o.Reserve}
	for _, conn := range conns {
		c.to = append(c.to, edgepb.NewOrchestratorClient(conn))
	}
	c.next = mathrand.IntN(max(1, len(c.to)))
	return c
}

// pick returns the orchestrators in turn.
func (c *Client) pick() edgepb.OrchestratorClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = (c.next + 1) % len(c.to)
	return c.to[c.next]
}

// earn adds what a new task adds to the budget, spend takes a repeat from it.
func (c *Client) earn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget = min(c.o.Reserve, c.budget+c.o.Budget)
}

func (c *Client) spend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.budget < 1 {
		return false
	}
	c.budget--
	return true
}

// Place offers a task until it stands. A ticket of an earlier Refused may be given, nil
// for none; it must not be brought before its time.
//
// The error is a *Refused where the task can come back later, the context's where its
// time is up, and else a gRPC status: INVALID_ARGUMENT, ALREADY_EXISTS, and UNKNOWN,
// where the task may have started and must not be offered again unseen.
func (c *Client) Place(ctx context.Context, t Task, ticket []byte) (Binding, error) {
	if len(c.to) == 0 {
		return Binding{}, errors.New("client: no orchestrator to offer to")
	}
	c.earn()
	pause := c.o.BackOff
	id := newID()
	for tries := 1; ; tries++ {
		o := &edgepb.Offer{OfferId: id, Task: t.Name, Class: t.Class, Cores: t.Cores, Memory: t.Memory, Service: t.Service,
			Description: t.Description, Ticket: ticket}
		b, err := c.offer(ctx, o)
		if err == nil {
			return Binding{OfferID: b.GetOfferId(), Node: b.GetNode(), Description: b.GetDescription()}, nil
		}
		if ctx.Err() != nil {
			return Binding{}, ctx.Err()
		}
		wait, proof, told := advice(err)
		switch code := status.Code(err); {
		case code == codes.ResourceExhausted:
			// The place is booked: it costs no budget to come back to it, and a new offer is
			// due, as the last has its answer.
			if ticket = proof; !told {
				wait = pause
			}
			id = newID()
		case code == codes.Unavailable && told:
			// An orchestrator took nothing, and says when to try again.
		case (code == codes.Unavailable || code == codes.DeadlineExceeded) && !t.Once:
			// Nobody answered, or the answer was lost: the same offer again gets the same
			// answer where it was taken.
			if !c.spend() {
				return Binding{}, &Refused{At: time.Now().Add(pause), Ticket: ticket, Tries: tries, Why: "the budget of repeats is used up"}
			}
			wait = pause/2 + time.Duration(mathrand.Int64N(int64(pause/2)+1))
			pause = min(2*pause, 30*c.o.BackOff)
		default:
			return Binding{}, err
		}
		at := time.Now().Add(wait)
		if limit, ok := ctx.Deadline(); ok && !at.Before(limit) {
			return Binding{}, &Refused{At: at, Ticket: ticket, Tries: tries, Why: "its time lies beyond the deadline"}
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return Binding{}, ctx.Err()
		}
	}
}

// offer makes one call.
func (c *Client) offer(ctx context.Context, o *edgepb.Offer) (*edgepb.Binding, error) {
	if c.o.Wait > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.o.Wait)
		defer cancel()
	}
	return c.pick().Place(ctx, o)
}

// advice reads when to come back, and the ticket that proves it.
func advice(err error) (wait time.Duration, ticket []byte, told bool) {
	for _, d := range status.Convert(err).Details() {
		switch d := d.(type) {
		case *errdetails.RetryInfo:
			wait, told = max(0, d.GetRetryDelay().AsDuration()), true
		case *edgepb.ReturnTicket:
			ticket = d.GetTicket()
		}
	}
	return wait, ticket, told
}

// newID is a name for an offer.
func newID() string {
	var b [8]byte
	rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

package client

// This file implements the attempts to start one task. A task that may have started is not offered again. The only
// exception is an offer without a response: it is repeated under the same ID, unless Task.Once is set.

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	mathrand "math/rand/v2"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ravenhitch/internal/grpcfront/edgepb"
)

// errNoOrchestrator is returned by Client.Place if the Client has no connections.
var errNoOrchestrator = errors.New("client: created without a connection to an orchestrator")

// request holds the state of a task until it is started.
type request struct {
	task     Task
	offerID  string        // ID of the current offer; a repeat has the same ID, by which an orchestrator recognizes it
	token    []byte        // retry token that proves the place on the waitlist, or nil
	attempts int           // number of attempts so far
	pause    time.Duration // next back-off delay, before it is multiplied by a random factor
}

// Place offers a task until it is started. The argument token is RejectedError.Token of an earlier call for the task,
// or nil. Place must not be called with a token before RejectedError.RetryAt.
//
// The error is a *RejectedError if the task can be offered again later, and the error of ctx if ctx is done. A Client
// without connections always returns an error. In all other cases, the error is the gRPC status of the last attempt,
// such as INVALID_ARGUMENT, ALREADY_EXISTS or UNKNOWN.
//
// If the error is ALREADY_EXISTS, UNKNOWN or the error of ctx, the task may have started. If Task.Once is set, this
// also applies to UNAVAILABLE and DEADLINE_EXCEEDED. Such a task must not be offered again without checking whether
// it runs.
func (c *Client) Place(ctx context.Context, task Task, token []byte) (Binding, error) {
	if len(c.orchestrators) == 0 {
		return Binding{}, errNoOrchestrator
	}
	c.budget.deposit()
	r := &request{task: task, offerID: newOfferID(), token: token, pause: c.options.BackOff}
	for {
		binding, err := c.attempt(ctx, r)
		if err == nil {
			return Binding{RequestID: binding.GetOfferId(), Worker: binding.GetNode(), Description: binding.GetDescription()}, nil
		}
		if ctx.Err() != nil {
			return Binding{}, ctx.Err()
		}
		delay, err := c.prepareRetry(r, err)
		if err != nil {
			return Binding{}, err
		}
		if err := r.wait(ctx, delay); err != nil {
			return Binding{}, err
		}
	}
}

// attempt offers the task once, to the next orchestrator.
func (c *Client) attempt(ctx context.Context, r *request) (*edgepb.Binding, error) {
	r.attempts++
	if c.options.AttemptTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.options.AttemptTimeout)
		defer cancel()
	}
	return c.nextOrchestrator().Place(ctx, &edgepb.Offer{
		OfferId:     r.offerID,
		Task:        r.task.Name,
		Class:       r.task.Class,
		Cores:       r.task.Cores,
		Memory:      r.task.Memory,
		Service:     r.task.Program,
		Description: r.task.Description,
		Ticket:      r.token,

		IdempotencyKey: r.task.IdempotencyKey,
	})
}

// prepareRetry prepares the next attempt after a failed one, and returns the delay before the next attempt. If the
// task must not be offered again, it returns attemptErr as the error. If the retry budget is exhausted, the error
// is a *RejectedError.
func (c *Client) prepareRetry(r *request, attemptErr error) (delay time.Duration, err error) {
	advised := parseAdvice(attemptErr)
	switch code := status.Code(attemptErr); {
	case code == codes.ResourceExhausted:
		// The orchestrator rejected the task and chose the time of the next attempt, which therefore uses no retry
		// budget. The offer got its response, so the next attempt is a new offer with a new ID.
		r.token, r.offerID = advised.token, newOfferID()
		if advised.hasDelay {
			return advised.delay, nil
		}
		return r.pause, nil
	case code == codes.Unavailable && advised.hasDelay:
		return advised.delay, nil // the orchestrator did not accept the offer and advised when to retry
	case (code == codes.Unavailable || code == codes.DeadlineExceeded) && !r.task.Once:
		// No orchestrator was reached, the orchestrator is shutting down, or the response was lost or late. If an
		// orchestrator started the task, it gives the same binding to a repeat with the same ID.
		if !c.budget.withdraw() {
			return 0, r.rejected(time.Now().Add(r.pause), "retry budget exhausted")
		}
		return r.backOff(c.options.BackOff * maxBackOffFactor), nil
	}
	return 0, attemptErr
}

// backOff returns a random delay between half of the current pause and all of it, and doubles the pause up to
// maxPause.
func (r *request) backOff(maxPause time.Duration) time.Duration {
	half := r.pause / 2
	delay := half + time.Duration(mathrand.Int64N(int64(half)+1))
	r.pause = min(2*r.pause, maxPause)
	return delay
}

// wait waits for a delay. It returns a *RejectedError at once if the delay would end at or after the deadline
// of ctx, and the error of ctx if ctx is done before the delay ends.
func (r *request) wait(ctx context.Context, delay time.Duration) error {
	at := time.Now().Add(delay)
	if deadline, ok := ctx.Deadline(); ok && !at.Before(deadline) {
		return r.rejected(at, "next attempt would be after the deadline")
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// rejected returns the *RejectedError of a task that may be offered again at retryAt.
func (r *request) rejected(retryAt time.Time, reason string) error {
	return &RejectedError{RetryAt: retryAt, Token: r.token, Attempts: r.attempts, Reason: reason}
}

// advice holds the details of a gRPC status that concern the next attempt.
type advice struct {
	hasDelay bool          // the status advises a delay
	delay    time.Duration // advised delay before the next attempt
	token    []byte        // retry token for the next attempt, or nil
}

// parseAdvice reads the advice from the details of the gRPC status of err.
func parseAdvice(err error) (a advice) {
	for _, detail := range status.Convert(err).Details() {
		switch detail := detail.(type) {
		case *errdetails.RetryInfo:
			a.hasDelay, a.delay = true, max(0, detail.GetRetryDelay().AsDuration())
		case *edgepb.ReturnTicket:
			a.token = detail.GetTicket()
		}
	}
	return a
}

// newOfferID returns a random offer ID of 16 hexadecimal digits.
func newOfferID() string {
	var b [8]byte
	rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

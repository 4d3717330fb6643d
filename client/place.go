package client

// This file owns the attempts of one task. It must never offer a task again that may have started.

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

// errNoOrchestrator is the error of a client without connections.
var errNoOrchestrator = errors.New("client: no orchestrator to offer to")

// request is a task that does not run yet.
type request struct {
	task     Task
	offerID  string // the same for repeats of one offer, which get the same response
	token    []byte // proves the place in line, nil before the first rejection
	attempts int    // so far
	pause    time.Duration
}

// Place offers a task until it runs. The token of an earlier RejectedError may be given, nil for none; it
// must not be presented before its time.
//
// The error is a *RejectedError where the task can come back later, the context's where its time is up, and
// else a gRPC status: INVALID_ARGUMENT, ALREADY_EXISTS, and UNKNOWN, where the task may have started and
// must not be offered again unseen.
func (c *Client) Place(ctx context.Context, task Task, token []byte) (Binding, error) {
	if len(c.orchestrators) == 0 {
		return Binding{}, errNoOrchestrator
	}
	c.budget.earn()
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
	})
}

// prepareRetry says after which delay the task is to be offered again. It returns an error where it must
// not be: that of the attempt, or a *RejectedError where the budget is used up.
func (c *Client) prepareRetry(r *request, attemptErr error) (delay time.Duration, err error) {
	advised := adviceOf(attemptErr)
	switch code := status.Code(attemptErr); {
	case code == codes.ResourceExhausted:
		// The slot is reserved: it costs no budget to come back to it. The offer has its response, so that
		// the next one is new.
		r.token, r.offerID = advised.token, newOfferID()
		if advised.hasDelay {
			return advised.delay, nil
		}
		return r.pause, nil
	case code == codes.Unavailable && advised.hasDelay:
		return advised.delay, nil // the orchestrator accepted nothing, and says when to try again
	case (code == codes.Unavailable || code == codes.DeadlineExceeded) && !r.task.Once:
		// No orchestrator was reached, or the response was lost: a repeat of the same offer gets the same
		// response where it was accepted.
		if !c.budget.spend() {
			return 0, r.rejected(time.Now().Add(r.pause), "the budget of retries is used up")
		}
		return r.backOff(c.options.BackOff * maxBackOffFactor), nil
	}
	return 0, attemptErr
}

// backOff draws the next pause, and doubles the one after it up to a maximum.
func (r *request) backOff(maxPause time.Duration) time.Duration {
	half := r.pause / 2
	delay := half + time.Duration(mathrand.Int64N(int64(half)+1))
	r.pause = min(2*r.pause, maxPause)
	return delay
}

// wait waits for a delay. Where it would last until the context's deadline, it returns a *RejectedError at
// once.
func (r *request) wait(ctx context.Context, delay time.Duration) error {
	at := time.Now().Add(delay)
	if deadline, ok := ctx.Deadline(); ok && !at.Before(deadline) {
		return r.rejected(at, "its time lies beyond the deadline")
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

// rejected is the error of a task that may come back later.
func (r *request) rejected(retryAt time.Time, reason string) error {
	return &RejectedError{RetryAt: retryAt, Token: r.token, Attempts: r.attempts, Reason: reason}
}

// advice is what a status says of the next attempt.
type advice struct {
	hasDelay bool
	delay    time.Duration
	token    []byte // proves the place in line then, or nil
}

// adviceOf reads the details of a status.
func adviceOf(err error) (a advice) {
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

// newOfferID is a random ID for an offer.
func newOfferID() string {
	var b [8]byte
	rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

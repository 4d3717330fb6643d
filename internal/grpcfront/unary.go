package grpcfront

// This file owns the unary calls Place and Release. Invariant: a call returns at the latest when its context
// ends.

import (
	"context"
	"time"

	"google.golang.org/grpc/status"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/grpcfront/edgepb"
)

// placeCall is the dispatch.Client of an offer that Place has received. It ignores every response after the first,
// because the first response ends the call.
type placeCall struct {
	response  chan dispatch.Response // the first response; has capacity 1, so that the event loop never blocks
	rejection chan error             // the error that submitPlace returned; has capacity 1
	responded bool                   // whether a response was received; accessed on the event loop only
}

func newPlaceCall() *placeCall {
	return &placeCall{response: make(chan dispatch.Response, 1), rejection: make(chan error, 1)}
}

// Respond implements dispatch.Client. It passes the first response to Place.
func (c *placeCall) Respond(response dispatch.Response) {
	if !c.responded {
		c.responded = true
		c.response <- response
	}
}

// Place implements edgepb.OrchestratorServer. It submits one offer and returns the binding of its task.
func (f *Front) Place(ctx context.Context, offer *edgepb.Offer) (*edgepb.Binding, error) {
	submission, err := parseOffer(offer)
	if err != nil {
		return nil, err
	}
	token := f.verifyToken(offer)
	call := newPlaceCall()
	err = f.post(func() {
		if err := f.submitPlace(ctx, call, submission, token); err != nil {
			call.rejection <- err
		}
	})
	if err != nil {
		return nil, err
	}
	select {
	case err := <-call.rejection:
		return nil, err
	case response := <-call.response:
		return f.placeResult(offer, response)
	case <-ctx.Done():
		f.loop.Post(func() { f.abandonPlace(call, submission.RequestID) })
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

// submitPlace submits the offer of a call. If the call has a deadline, the time left until the deadline replaces the
// timeout of the submission. This time is measured by the monotonic clock, which no step of the system's clock changes.
// submitPlace runs on the event loop.
func (f *Front) submitPlace(ctx context.Context, call *placeCall, submission dispatch.Submission, token presentedToken) error {
	if deadline, ok := ctx.Deadline(); ok {
		submission.TimeoutUs = time.Until(deadline).Microseconds()
		if submission.TimeoutUs <= 0 {
			return errDeadlinePassed
		}
	}
	if ctx.Err() != nil {
		return status.FromContextError(ctx.Err()).Err()
	}
	f.redeem(&submission, token)
	return f.submit(call, submission)
}

// abandonPlace cancels the offer of a call whose context has ended. If the task was started in the meantime, the
// task keeps running, and a repeat of the offer gets its binding. abandonPlace runs on the event loop.
func (f *Front) abandonPlace(call *placeCall, requestID string) {
	if !call.responded {
		f.dispatcher.Abandon(f.loop.Now(), call, requestID)
	}
}

// placeResult returns the result of Place for a response: the binding, or a gRPC status error that may carry a
// retry token.
func (f *Front) placeResult(offer *edgepb.Offer, response dispatch.Response) (*edgepb.Binding, error) {
	if err := responseStatus(response); err != nil {
		return nil, withToken(err, f.issueToken(response, offer.GetTask(), offer.GetClass()))
	}
	return newBinding(offer.GetOfferId(), offer.GetTask(), response), nil
}

// newBinding returns the binding of a task that was started.
func newBinding(offerID, task string, response dispatch.Response) *edgepb.Binding {
	return &edgepb.Binding{OfferId: offerID, Task: task, Node: response.Worker, Description: response.Description}
}

// Release implements edgepb.OrchestratorServer. It cancels an open offer or ends a running task.
func (f *Front) Release(ctx context.Context, request *edgepb.ReleaseRequest) (*edgepb.ReleaseResponse, error) {
	cancelled := make(chan dispatch.CancelResult, 1)
	if err := f.post(func() { cancelled <- f.release(request.GetOfferId()) }); err != nil {
		return nil, err
	}
	select {
	case result := <-cancelled:
		if result == dispatch.NotFound {
			return nil, errNotFound
		}
		return &edgepb.ReleaseResponse{}, nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

// release cancels an open offer or ends a running task, regardless of the client that submitted it. It returns
// NotFound if the request is unknown, was not submitted over gRPC, or has a task that is already terminating. It
// runs on the event loop.
func (f *Front) release(requestID string) dispatch.CancelResult {
	if !f.dispatcher.IsResumable(requestID) { // unknown, or submitted through the other front (package clientfront)
		return dispatch.NotFound
	}
	return f.dispatcher.Cancel(f.loop.Now(), nil, requestID)
}

package grpcfront

// This file owns the calls of one question and one answer: Place and Release.

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/grpcfront/edgepb"
)

// call is the owner of an offer made by Place. It follows nothing after the
// answer.
type call struct {
	answer chan dispatch.Response // holds one
	bound  bool                   // the loop's
}

// Respond implements core.Owner.
func (c *call) Respond(a dispatch.Response) {
	if !c.bound {
		c.bound = true
		c.answer <- a
	}
}

// Place implements the RPC.
func (f *Front) Place(ctx context.Context, o *edgepb.Offer) (*edgepb.Binding, error) {
	s, err := setup(o)
	if err != nil {
		return nil, err
	}
	proof := f.proof(o)
	c := &call{answer: make(chan dispatch.Response, 1)}
	refusal := make(chan error, 1)
	at, limited := ctx.Deadline()
	err = f.ask(func() {
		if limited {
			if s.TimeoutUs = at.UnixMicro() - f.l.Now(); s.TimeoutUs <= 0 {
				refusal <- status.Error(codes.DeadlineExceeded, "the call's time was up when it came")
				return
			}
		}
		if ctx.Err() != nil {
			refusal <- status.FromContextError(ctx.Err()).Err()
			return
		}
		f.admit(&s, proof)
		if err := f.submit(c, s); err != nil {
			refusal <- err
		}
	})
	if err != nil {
		return nil, err
	}
	select {
	case err := <-refusal:
		return nil, err
	case a := <-c.answer:
		if err := rejection(a); err != nil {
			if t := f.issue(a, o.GetTask(), o.GetClass()); t != nil {
				if st, bad := status.Convert(err).WithDetails(&edgepb.ReturnTicket{Ticket: t}); bad == nil {
					err = st.Err()
				}
			}
			return nil, err
		}
		return &edgepb.Binding{OfferId: o.GetOfferId(), Task: o.GetTask(), Node: a.Worker, Description: a.Description}, nil
	case <-ctx.Done():
		// An offer that was bound meanwhile stands; a repeat gets its binding.
		f.l.Post(func() {
			if !c.bound {
				f.c.Cancel(f.l.Now(), c, s.RequestID)
			}
		})
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

// Release implements the RPC.
func (f *Front) Release(ctx context.Context, r *edgepb.ReleaseRequest) (*edgepb.ReleaseResponse, error) {
	found := make(chan dispatch.CancelResult, 1)
	err := f.ask(func() {
		if !f.c.IsResumable(r.GetOfferId()) {
			found <- dispatch.NotFound // also where the platform's front has it
			return
		}
		found <- f.c.Cancel(f.l.Now(), nil, r.GetOfferId())
	})
	if err != nil {
		return nil, err
	}
	select {
	case w := <-found:
		if w == dispatch.NotFound {
			return nil, status.Error(codes.NotFound, "no such offer or task")
		}
		return &edgepb.ReleaseResponse{}, nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

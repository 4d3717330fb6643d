package grpcfront

// This file owns how an offer becomes a set-up of the core, and how the core's answer becomes
// a status of gRPC.

import (
	"errors"
	"fmt"
	"strconv"
	"time"
	"unicode/utf8"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/grpcfront/edgepb"
)

func retry(code codes.Code, text string, after time.Duration) error {
	st, err := status.New(code, text).WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(after)})
	if err != nil {
		return status.Error(code, text)
	}
	return st.Err()
}

// bad is a bad offer: one field, and what is wrong with it.
func bad(field, text string) error {
	st, err := status.New(codes.InvalidArgument, field+": "+text).WithDetails(&errdetails.BadRequest{
		FieldViolations: []*errdetails.BadRequest_FieldViolation{{Field: field, Description: text}}})
	if err != nil {
		return status.Error(codes.InvalidArgument, field+": "+text)
	}
	return st.Err()
}

// fields are the core's names of what may be at fault, as the protocol has them.
var fields = map[string]string{"tag": "offer_id", "task": "task", "class": "class", "cores": "cores",
	"memory": "memory", "wait": "wait_ms"}

// setup reads an offer. It runs outside the loop and asks nothing of the core.
func setup(o *edgepb.Offer) (dispatch.Submission, error) {
	s := dispatch.Submission{RequestID: o.GetOfferId(), Class: o.GetClass(), Key: o.GetTask(), Cores: o.GetCores(), Memory: o.GetMemory(),
		Description: o.GetDescription(), TimeoutUs: int64(o.GetWaitMs()) * 1000, Resumable: true}
	if s.TimeoutUs == 0 {
		s.TimeoutUs = 1 // the class's own figure, or the call's deadline, comes in its place
	}
	if invalid := s.Validate(); invalid != nil {
		return s, bad(fields[invalid.Field], "expected "+invalid.Want)
	}
	if !utf8.ValidString(s.Description) || len(s.Description) > textMost || escaped(s.Description) > textMost*3/2 {
		return s, bad("description", fmt.Sprintf("expected at most %d bytes of UTF-8, few of them control characters", textMost))
	}
	s.TimeoutUs = int64(o.GetWaitMs()) * 1000
	if v := o.GetService(); v != "" {
		n, err := strconv.ParseUint(v, 16, 64)
		if err != nil {
			return s, bad("service", "expected up to 16 hex digits")
		}
		s.Program = n
	}
	return s, nil
}

// escaped is how long a text may become on the way to a node, whose messages
// are bounded.
func escaped(s string) int {
	n := len(s)
	for i := 0; i < len(s); i++ {
		switch {
		case s[i] < ' ':
			n += 5
		case s[i] == '"' || s[i] == '\\':
			n++
		}
	}
	return n
}

// submit hands a set-up to the core. It runs on the loop.
func (f *Front) submit(o dispatch.Client, s dispatch.Submission) error {
	class, ok := f.c.Class(s.Class)
	if !ok {
		return bad("class", "unknown class")
	}
	if s.TimeoutUs <= 0 {
		s.TimeoutUs = class.TimeoutUs
	}
	switch err := f.c.Submit(f.l.Now(), o, s); {
	case err == nil:
		return nil
	case errors.Is(err, dispatch.ErrTerminating):
		return retry(codes.Unavailable, "the task is just being ended", retryLeast)
	default:
		return status.Error(codes.AlreadyExists, "the name is in use elsewhere")
	}
}

// rejection turns the core's answer into a status; nil where it is a binding.
func rejection(a dispatch.Response) error {
	switch a.Kind {
	case dispatch.Started:
		return nil
	case dispatch.Rejected:
		after := time.Duration(a.RetryAfterUs) * time.Microsecond
		if after <= 0 {
			after = retryLeast
		}
		return retry(codes.ResourceExhausted, "refused: no room for the task in time; it never ran", after)
	case dispatch.Failed:
		return status.Error(codes.Unknown, "failed: the task may have started")
	case dispatch.Cancelled:
		return status.Error(codes.Canceled, "its owner withdrew the offer")
	}
	return status.Error(codes.AlreadyExists, "the offer was bound and its task is over")
}

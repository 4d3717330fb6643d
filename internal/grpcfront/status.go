package grpcfront

// This file owns the statuses of gRPC that clients get. Their codes, messages and details are part of the
// protocol: clients act on them, and they must never change.

import (
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/protoadapt"
	"google.golang.org/protobuf/types/known/durationpb"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/grpcfront/edgepb"
)

// The statuses without details.
var (
	errShutdown       = status.Error(codes.Unavailable, "the orchestrator ends; open the session again")
	errDeadlinePassed = status.Error(codes.DeadlineExceeded, "the call's time was up when it came")
	errNotFound       = status.Error(codes.NotFound, "no such offer or task")
	errNameInUse      = status.Error(codes.AlreadyExists, "the name is in use elsewhere")
	errCompleted      = status.Error(codes.AlreadyExists, "the offer was bound and its task is over")
	errFailed         = status.Error(codes.Unknown, "failed: the task may have started")
	errCancelled      = status.Error(codes.Canceled, "its owner withdrew the offer")
	errStreamReplaced = status.Error(codes.Aborted, "a newer stream opened the session")
	errSlowClient     = status.Error(codes.ResourceExhausted, "the client does not read; open the session again")
	errNotOpened      = status.Error(codes.DeadlineExceeded, "the session was not opened in time")
	errUnknownMessage = status.Error(codes.InvalidArgument, "expected an offer, a release or an ack")
)

// defaultRetryAfter is the advice where the dispatcher has none.
const defaultRetryAfter = time.Second

// withDetail adds a detail to a status. A status that takes none is returned without it.
func withDetail(plain *status.Status, detail protoadapt.MessageV1) error {
	detailed, err := plain.WithDetails(detail)
	if err != nil {
		return plain.Err()
	}
	return detailed.Err()
}

// retryStatus is a status that says when to try again.
func retryStatus(code codes.Code, message string, after time.Duration) error {
	return withDetail(status.New(code, message), &errdetails.RetryInfo{RetryDelay: durationpb.New(after)})
}

// fieldStatus is the status of a message with an invalid field, and says what is wrong with it.
func fieldStatus(field, problem string) error {
	return withDetail(status.New(codes.InvalidArgument, field+": "+problem), &errdetails.BadRequest{
		FieldViolations: []*errdetails.BadRequest_FieldViolation{{Field: field, Description: problem}}})
}

// responseStatus is the status of a response, nil where the task was started.
func responseStatus(response dispatch.Response) error {
	switch response.Kind {
	case dispatch.Started:
		return nil
	case dispatch.Rejected:
		after := time.Duration(response.RetryAfterUs) * time.Microsecond
		if after <= 0 {
			after = defaultRetryAfter
		}
		return retryStatus(codes.ResourceExhausted, "refused: no room for the task in time; it never ran", after)
	case dispatch.Failed:
		return errFailed
	case dispatch.Cancelled:
		return errCancelled
	}
	return errCompleted
}

// withToken adds a retry token to the status of a rejection, where there is one.
func withToken(err error, token []byte) error {
	if token == nil {
		return err
	}
	return withDetail(status.Convert(err), &edgepb.ReturnTicket{Ticket: token})
}

// retryAfterMs is how long a status says to wait, in milliseconds; 0 where it has no advice.
func retryAfterMs(s *status.Status) (ms uint32) {
	for _, detail := range s.Details() {
		if info, ok := detail.(*errdetails.RetryInfo); ok {
			ms = uint32(info.GetRetryDelay().AsDuration() / time.Millisecond)
		}
	}
	return ms
}

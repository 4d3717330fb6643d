package grpcfront

// This file owns the gRPC statuses that are returned to clients. Their codes, messages and details are part of
// the protocol and must never change, because clients act on them.

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

// Status errors without details.
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

// defaultRetryAfter is the retry delay in a status if the dispatcher gives none.
const defaultRetryAfter = time.Second

// withDetail returns the error of a status with a detail added. If the detail cannot be added, it returns the
// error of the plain status.
func withDetail(plain *status.Status, detail protoadapt.MessageV1) error {
	detailed, err := plain.WithDetails(detail)
	if err != nil {
		return plain.Err()
	}
	return detailed.Err()
}

// retryStatus returns a status error with a RetryInfo detail: the client may retry after the given delay.
func retryStatus(code codes.Code, message string, after time.Duration) error {
	return withDetail(status.New(code, message), &errdetails.RetryInfo{RetryDelay: durationpb.New(after)})
}

// fieldStatus returns an InvalidArgument status error with a BadRequest detail that names the invalid field and
// describes the problem.
func fieldStatus(field, problem string) error {
	return withDetail(status.New(codes.InvalidArgument, field+": "+problem), &errdetails.BadRequest{
		FieldViolations: []*errdetails.BadRequest_FieldViolation{{Field: field, Description: problem}}})
}

// responseStatus returns the status error for a response, or nil if the task was started.
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

// withToken adds a retry token to the status error of a rejection. If token is nil, it returns err unchanged.
func withToken(err error, token []byte) error {
	if token == nil {
		return err
	}
	return withDetail(status.Convert(err), &edgepb.ReturnTicket{Ticket: token})
}

// retryAfterMs returns the retry delay in the details of a status, in milliseconds, or 0 if there is none.
func retryAfterMs(s *status.Status) (ms uint32) {
	for _, detail := range s.Details() {
		if info, ok := detail.(*errdetails.RetryInfo); ok {
			ms = uint32(info.GetRetryDelay().AsDuration() / time.Millisecond)
		}
	}
	return ms
}

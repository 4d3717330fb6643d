package grpcfront

import (
	"fmt"
	"testing"

	"google.golang.org/grpc/status"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/grpcfront/edgepb"
)

// formatStatus returns the text form of a status error: its code and message and, if present in its details, the
// retry delay and the retry token.
func formatStatus(err error) string {
	s := status.Convert(err)
	result := fmt.Sprintf("%s: %s", s.Code(), s.Message())
	if ms := retryAfterMs(s); ms > 0 {
		result += fmt.Sprintf(" (%d ms)", ms)
	}
	for _, detail := range s.Details() {
		if ticket, ok := detail.(*edgepb.ReturnTicket); ok {
			result += fmt.Sprintf(" [%s]", ticket.GetTicket())
		}
	}
	return result
}

// TestResponseStatus asserts the status for each kind of response. The statuses are part of the protocol.
func TestResponseStatus(t *testing.T) {
	rejected := dispatch.Response{Kind: dispatch.Rejected, RetryAfterUs: 2_500_000}
	for _, test := range []struct {
		name string
		err  error
		want string
	}{
		{"started", responseStatus(dispatch.Response{Kind: dispatch.Started}), "OK: "},
		{"rejected", responseStatus(rejected),
			"ResourceExhausted: refused: no room for the task in time; it never ran (2500 ms)"},
		{"rejected without a retry delay", responseStatus(dispatch.Response{Kind: dispatch.Rejected}),
			"ResourceExhausted: refused: no room for the task in time; it never ran (1000 ms)"},
		{"rejected with a token", withToken(responseStatus(rejected), []byte("t")),
			"ResourceExhausted: refused: no room for the task in time; it never ran (2500 ms) [t]"},
		{"rejected without keys", withToken(responseStatus(rejected), nil),
			"ResourceExhausted: refused: no room for the task in time; it never ran (2500 ms)"},
		{"failed", responseStatus(dispatch.Response{Kind: dispatch.Failed}), "Unknown: failed: the task may have started"},
		{"cancelled", responseStatus(dispatch.Response{Kind: dispatch.Cancelled}), "Canceled: its owner withdrew the offer"},
		{"completed", responseStatus(dispatch.Response{Kind: dispatch.Completed}),
			"AlreadyExists: the offer was bound and its task is over"},
		{"migrated", responseStatus(dispatch.Response{Kind: dispatch.Migrated}),
			"AlreadyExists: the offer was bound and its task is over"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := formatStatus(test.err); got != test.want {
				t.Errorf("status: got %q, want %q", got, test.want)
			}
		})
	}
}

package client

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"ravenhitch/internal/grpcfront/edgepb"
)

// scriptedOrchestrator returns the responses that a test specifies, and records the offers and their times.
type scriptedOrchestrator struct {
	edgepb.OrchestratorClient
	responses []error // responses to the offers in order, nil for a binding; the last one repeats
	offers    []*edgepb.Offer
	offeredAt []time.Duration // time of each offer, relative to started
	started   time.Time
}

// Place implements edgepb.OrchestratorClient.
func (s *scriptedOrchestrator) Place(_ context.Context, offer *edgepb.Offer, _ ...grpc.CallOption) (*edgepb.Binding, error) {
	s.offers = append(s.offers, offer)
	s.offeredAt = append(s.offeredAt, time.Since(s.started))
	err := s.responses[min(len(s.offers), len(s.responses))-1]
	if err != nil {
		return nil, err
	}
	return &edgepb.Binding{OfferId: offer.GetOfferId(), Node: "a"}, nil
}

// rejection returns the status of a rejection with a delay and a retry token.
func rejection(t *testing.T, after time.Duration, token string) error {
	t.Helper()
	s, err := status.New(codes.ResourceExhausted, "refused").WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(after)},
		&edgepb.ReturnTicket{Ticket: []byte(token)})
	if err != nil {
		t.Fatal(err)
	}
	return s.Err()
}

// newScripted returns a client and its only orchestrator, which returns the given responses.
func newScripted(options Options, answers ...error) (*Client, *scriptedOrchestrator) {
	c := New(options, nil)
	orchestrator := &scriptedOrchestrator{responses: answers, started: time.Now()}
	c.orchestrators = []edgepb.OrchestratorClient{orchestrator}
	return c, orchestrator
}

// A rejected task is offered again at its reserved slot and not earlier, with its last retry token and a new
// offer ID. This uses no retry budget, regardless of the number of rejections.
func TestComesBackAtItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answers := []error{rejection(t, 3*time.Second, "one"), rejection(t, 0, "two")}
		for range 50 {
			answers = append(answers, rejection(t, time.Second, "more"))
		}
		c, orchestrator := newScripted(Options{Reserve: 1}, append(answers, nil)...)
		binding, err := c.Place(t.Context(), Task{Name: "x", Class: "live-relay"}, nil)
		offers, at := orchestrator.offers, orchestrator.offeredAt
		if err != nil || binding.Worker != "a" || len(offers) != 53 {
			t.Fatalf("Place returned %+v, %v after %d offers, want worker a after 53 offers", binding, err, len(offers))
		}
		if at[1] != 3*time.Second || at[2] != 3*time.Second || at[3] != 4*time.Second {
			t.Errorf("first four offers at %v, want 0s, 3s, 3s and 4s", at[:4])
		}
		if string(offers[1].GetTicket()) != "one" || string(offers[2].GetTicket()) != "two" || offers[0].GetTicket() != nil {
			t.Errorf("the first three offers have tokens %q, %q and %q, want none, \"one\" and \"two\"",
				offers[0].GetTicket(), offers[1].GetTicket(), offers[2].GetTicket())
		}
		if offers[0].GetOfferId() == offers[1].GetOfferId() || len(offers[0].GetOfferId()) != 16 || offers[1].GetTask() != "x" {
			t.Errorf("offers have IDs %q and %q, want different IDs of 16 digits; the second is for task %q, want x",
				offers[0].GetOfferId(), offers[1].GetOfferId(), offers[1].GetTask())
		}
	})
}

// If the reserved slot is after the deadline, Place returns the time of the slot and the token at once.
func TestSlotBeyondDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, orchestrator := newScripted(Options{}, rejection(t, time.Minute, "later"))
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err := c.Place(ctx, Task{Name: "x"}, nil)
		var rejected *RejectedError
		if !errors.As(err, &rejected) || string(rejected.Token) != "later" || time.Until(rejected.RetryAt) != time.Minute ||
			time.Since(orchestrator.started) != 0 || rejected.Attempts != 1 {
			t.Errorf("Place returned %v after %s, want a RejectedError at once with a retry in 1m0s, token \"later\" and 1 attempt",
				err, time.Since(orchestrator.started))
		}
	})
}

// An offer that reached no orchestrator is repeated under the same ID within the retry budget, with growing
// delays.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, orchestrator := newScripted(Options{Reserve: 4}, status.Error(codes.Unavailable, "away"))
		_, err := c.Place(t.Context(), Task{Name: "x"}, nil)
		offers, at := orchestrator.offers, orchestrator.offeredAt
		var rejected *RejectedError
		if !errors.As(err, &rejected) || len(offers) != 5 || offers[0].GetOfferId() != offers[4].GetOfferId() {
			t.Fatalf("Place returned %v after %d offers, want a RejectedError after 5 offers with the same ID", err, len(offers))
		}
		for i := 1; i < 5; i++ {
			pause := 100 * time.Millisecond << (i - 1)
			if d := at[i] - at[i-1]; d < pause/2 || d > pause {
				t.Errorf("delay before retry %d is %s, want between %s and %s", i, d, pause/2, pause)
			}
		}
		_, err = c.Place(t.Context(), Task{Name: "y"}, nil)
		if !errors.As(err, &rejected) || len(orchestrator.offers) != 6 {
			t.Errorf("with an exhausted budget, Place returned %v after %d offers, want a RejectedError after 1 offer",
				err, len(orchestrator.offers)-5)
		}
	})
}

// If an offer is invalid or its task may have started, Place does not repeat the offer and returns the status of
// the only attempt. If Task.Once is set, the same applies to an offer whose response is missing or late.
func TestNeverOfferedAgain(t *testing.T) {
	for name, test := range map[string]struct {
		once bool
		err  error
	}{
		"may have started":              {false, status.Error(codes.Unknown, "failed")},
		"invalid":                       {false, status.Error(codes.InvalidArgument, "cores")},
		"no response, must not rerun":   {true, status.Error(codes.Unavailable, "reset")},
		"late response, must not rerun": {true, status.Error(codes.DeadlineExceeded, "late")},
	} {
		synctest.Test(t, func(t *testing.T) {
			c, orchestrator := newScripted(Options{}, test.err)
			_, err := c.Place(t.Context(), Task{Name: "x", Once: test.once}, nil)
			if !errors.Is(err, test.err) || len(orchestrator.offers) != 1 {
				t.Errorf("%s: Place returned %v after %d offers, want %v after 1 offer", name, err, len(orchestrator.offers), test.err)
			}
		})
	}
}

// If an orchestrator did not accept an offer and advises when to retry, the client repeats the offer under the
// same ID at that time. The retry uses no retry budget.
func TestUnavailableWithAdvice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unavailable, err := status.New(codes.Unavailable, "ended").WithDetails(
			&errdetails.RetryInfo{RetryDelay: durationpb.New(time.Second)})
		if err != nil {
			t.Fatal(err)
		}
		c, orchestrator := newScripted(Options{Reserve: 1}, unavailable.Err(), unavailable.Err(), unavailable.Err(), nil)
		if _, err := c.Place(t.Context(), Task{Name: "x", Once: true}, []byte("token")); err != nil {
			t.Fatal(err)
		}
		offers, at := orchestrator.offers, orchestrator.offeredAt
		if len(offers) != 4 || at[3] != 3*time.Second || offers[0].GetOfferId() != offers[3].GetOfferId() ||
			string(offers[3].GetTicket()) != "token" {
			t.Errorf("%d offers at %v with IDs from %q to %q, want 4 with the same ID and token, the last one at 3s",
				len(offers), at, offers[0].GetOfferId(), offers[len(offers)-1].GetOfferId())
		}
	})
}

// If the context is cancelled during a wait, Place returns the context's error at once.
func TestCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, orchestrator := newScripted(Options{}, rejection(t, time.Hour, ""))
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		_, err := c.Place(ctx, Task{Name: "x"}, nil)
		if !errors.Is(err, context.Canceled) || time.Since(orchestrator.started) != time.Second {
			t.Errorf("Place returned %v after %s, want %v after 1s", err, time.Since(orchestrator.started), context.Canceled)
		}
	})
}

// A client without connections returns errNoOrchestrator.
func TestNoOrchestrator(t *testing.T) {
	if _, err := New(Options{}).Place(t.Context(), Task{Name: "x"}, nil); !errors.Is(err, errNoOrchestrator) {
		t.Errorf("Place returned %v, want %v", err, errNoOrchestrator)
	}
}

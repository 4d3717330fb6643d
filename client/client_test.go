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

// scriptedOrchestrator answers as a test says, and notes which offers came and when.
type scriptedOrchestrator struct {
	edgepb.OrchestratorClient
	answers []error // nil for a binding; the last one repeats
	offers  []*edgepb.Offer
	at      []time.Duration // of the offers, from the start
	started time.Time
}

// Place implements edgepb.OrchestratorClient.
func (s *scriptedOrchestrator) Place(_ context.Context, offer *edgepb.Offer, _ ...grpc.CallOption) (*edgepb.Binding, error) {
	s.offers = append(s.offers, offer)
	s.at = append(s.at, time.Since(s.started))
	err := s.answers[min(len(s.offers), len(s.answers))-1]
	if err != nil {
		return nil, err
	}
	return &edgepb.Binding{OfferId: offer.GetOfferId(), Node: "a"}, nil
}

// rejection is the status of a rejection with a delay and a token.
func rejection(t *testing.T, after time.Duration, token string) error {
	t.Helper()
	s, err := status.New(codes.ResourceExhausted, "refused").WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(after)},
		&edgepb.ReturnTicket{Ticket: []byte(token)})
	if err != nil {
		t.Fatal(err)
	}
	return s.Err()
}

// newScripted returns a client of an orchestrator that answers as given.
func newScripted(options Options, answers ...error) (*Client, *scriptedOrchestrator) {
	c := New(options, nil)
	orchestrator := &scriptedOrchestrator{answers: answers, started: time.Now()}
	c.orchestrators = []edgepb.OrchestratorClient{orchestrator}
	return c, orchestrator
}

// A rejected task comes back at its slot and not before, with its token and a new ID. That costs no budget,
// however often it happens.
func TestComesBackAtItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answers := []error{rejection(t, 3*time.Second, "one"), rejection(t, 0, "two")}
		for range 50 {
			answers = append(answers, rejection(t, time.Second, "more"))
		}
		c, orchestrator := newScripted(Options{Reserve: 1}, append(answers, nil)...)
		binding, err := c.Place(t.Context(), Task{Name: "x", Class: "live-relay"}, nil)
		offers, at := orchestrator.offers, orchestrator.at
		if err != nil || binding.Worker != "a" || len(offers) != 53 {
			t.Fatalf("%+v, %v after %d offers", binding, err, len(offers))
		}
		if at[1] != 3*time.Second || at[2] != 3*time.Second || at[3] != 4*time.Second {
			t.Errorf("it came back at %v", at[:4])
		}
		if string(offers[1].GetTicket()) != "one" || string(offers[2].GetTicket()) != "two" || offers[0].GetTicket() != nil {
			t.Error("it presented another token than its last")
		}
		if offers[0].GetOfferId() == offers[1].GetOfferId() || len(offers[0].GetOfferId()) != 16 || offers[1].GetTask() != "x" {
			t.Error("a rejected offer was repeated under its ID, or its task under another name")
		}
	})
}

// Where its slot lies beyond the deadline, the caller learns at once when that is.
func TestSlotBeyondDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, orchestrator := newScripted(Options{}, rejection(t, time.Minute, "later"))
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err := c.Place(ctx, Task{Name: "x"}, nil)
		var rejected *RejectedError
		if !errors.As(err, &rejected) || string(rejected.Token) != "later" || time.Until(rejected.RetryAt) != time.Minute ||
			time.Since(orchestrator.started) != 0 || rejected.Attempts != 1 {
			t.Errorf("got %v after %s", err, time.Since(orchestrator.started))
		}
	})
}

// An offer that reached nobody is repeated under its ID within a budget, with growing pauses.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, orchestrator := newScripted(Options{Reserve: 4}, status.Error(codes.Unavailable, "away"))
		_, err := c.Place(t.Context(), Task{Name: "x"}, nil)
		offers, at := orchestrator.offers, orchestrator.at
		var rejected *RejectedError
		if !errors.As(err, &rejected) || len(offers) != 5 || offers[0].GetOfferId() != offers[4].GetOfferId() {
			t.Fatalf("%v after %d offers", err, len(offers))
		}
		for i := 1; i < 5; i++ {
			pause := 100 * time.Millisecond << (i - 1)
			if d := at[i] - at[i-1]; d < pause/2 || d > pause {
				t.Errorf("the pause before offer %d was %s", i, d)
			}
		}
		_, err = c.Place(t.Context(), Task{Name: "y"}, nil)
		if !errors.As(err, &rejected) || len(orchestrator.offers) != 6 {
			t.Errorf("with no budget left: %v after %d offers", err, len(orchestrator.offers)-5)
		}
	})
}

// A task that may have started is never offered again.
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
				t.Errorf("%s: %v after %d offers", name, err, len(orchestrator.offers))
			}
		})
	}
}

// An orchestrator that accepted nothing and says when to try again is followed: the same offer comes back
// then, and costs no budget.
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
		offers, at := orchestrator.offers, orchestrator.at
		if len(offers) != 4 || at[3] != 3*time.Second || offers[0].GetOfferId() != offers[3].GetOfferId() ||
			string(offers[3].GetTicket()) != "token" {
			t.Errorf("%d offers at %v", len(offers), at)
		}
	})
}

// A caller that stops waiting gets its context's error at once.
func TestCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, orchestrator := newScripted(Options{}, rejection(t, time.Hour, ""))
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		_, err := c.Place(ctx, Task{Name: "x"}, nil)
		if !errors.Is(err, context.Canceled) || time.Since(orchestrator.started) != time.Second {
			t.Errorf("%v after %s", err, time.Since(orchestrator.started))
		}
	})
}

// A client without orchestrators says so.
func TestNoOrchestrator(t *testing.T) {
	if _, err := New(Options{}).Place(t.Context(), Task{Name: "x"}, nil); !errors.Is(err, errNoOrchestrator) {
		t.Errorf("got %v", err)
	}
}

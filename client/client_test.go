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

// script is an orchestrator that answers as written, and notes what came when.
type script struct {
	edgepb.OrchestratorClient
	answers []error // nil binds; the last one goes on
	offers  []*edgepb.Offer
	at      []time.Duration
	began   time.Time
}

func (s *script) Place(_ context.Context, o *edgepb.Offer, _ ...grpc.CallOption) (*edgepb.Binding, error) {
	s.offers = append(s.offers, o)
	s.at = append(s.at, time.Since(s.began))
	err := s.answers[min(len(s.offers), len(s.answers))-1]
	if err != nil {
		return nil, err
	}
	return &edgepb.Binding{OfferId: o.GetOfferId(), Node: "a"}, nil
}

func refusal(after time.Duration, ticket string) error {
	st, err := status.New(codes.ResourceExhausted, "refused").WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(after)},
		&edgepb.ReturnTicket{Ticket: []byte(ticket)})
	if err != nil {
		panic(err)
	}
	return st.Err()
}

func play(o Options, answers ...error) (*Client, *script) {
	c := New(o, nil)
	s := &script{answers: answers, began: time.Now()}
	c.to = []edgepb.OrchestratorClient{s}
	return c, s
}

// A refused task comes back at its time, not before, with its ticket and a new id, and
// that costs no budget however often it happens.
func TestComesBackAtItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answers := []error{refusal(3*time.Second, "one"), refusal(0, "two")}
		for range 50 {
			answers = append(answers, refusal(time.Second, "more"))
		}
		c, s := play(Options{Reserve: 1}, append(answers, nil)...)
		b, err := c.Place(t.Context(), Task{Name: "x", Class: "live-relay"}, nil)
		if err != nil || b.Node != "a" || len(s.offers) != 53 {
			t.Fatalf("%+v, %v after %d offers", b, err, len(s.offers))
		}
		if s.at[1] != 3*time.Second || s.at[2] != 3*time.Second || s.at[3] != 4*time.Second {
			t.Errorf("it came back at %v", s.at[:4])
		}
		if string(s.offers[1].GetTicket()) != "one" || string(s.offers[2].GetTicket()) != "two" || s.offers[0].GetTicket() != nil {
			t.Error("it brought another ticket than its last")
		}
		if s.offers[0].GetOfferId() == s.offers[1].GetOfferId() || len(s.offers[0].GetOfferId()) != 16 || s.offers[1].GetTask() != "x" {
			t.Error("a refused offer was repeated under its id, or its task under another")
		}
	})
}

// Where its time lies beyond the deadline, the caller hears at once when that is.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, s := play(Options{}, refusal(time.Minute, "later"))
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err := c.Place(ctx, Task{Name: "x"}, nil)
		var r *Refused
		if !errors.As(err, &r) || string(r.Ticket) != "later" || time.Until(r.At) != time.Minute || time.Since(s.began) != 0 || r.Tries != 1 {
			t.Errorf("got %v after %s", err, time.Since(s.began))
		}
	})
}

// What reached nobody is repeated under its id within a budget, with growing pauses.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, s := play(Options{Reserve: 4}, status.Error(codes.Unavailable, "away"))
		_, err := c.Place(t.Context(), Task{Name: "x"}, nil)
		var r *Refused
		if !errors.As(err, &r) || len(s.offers) != 5 || s.offers[0].GetOfferId() != s.offers[4].GetOfferId() {
			t.Fatalf("%v after %d offers", err, len(s.offers))
		}
		for i := 1; i < 5; i++ {
			pause := 100 * time.Millisecond << (i - 1)
			if d := s.at[i] - s.at[i-1]; d < pause/2 || d > pause {
				t.Errorf("the pause before offer %d was %s", i, d)
			}
		}
		_, err = c.Place(t.Context(), Task{Name: "y"}, nil)
		if !errors.As(err, &r) || len(s.offers) != 6 {
			t.Errorf("with no budget left: %v after %d offers", err, len(s.offers)-5)
		}
	})
}

// What may have started is never offered again.
func TestNeverAgain(t *testing.T) {
	for name, x := range map[string]struct {
		once bool
		err  error
	}{
		"may have started":          {false, status.Error(codes.Unknown, "failed")},
		"bad":                       {false, status.Error(codes.InvalidArgument, "cores")},
		"no answer, must not rerun": {true, status.Error(codes.Unavailable, "reset")},
		"too late, must not rerun":  {true, status.Error(codes.DeadlineExceeded, "late")},
	} {
		synctest.Test(t, func(t *testing.T) {
			c, s := play(Options{}, x.err)
			if _, err := c.Place(t.Context(), Task{Name: "x", Once: x.once}, nil); !errors.Is(err, x.err) || len(s.offers) != 1 {
				t.Errorf("%s: %v after %d offers", name, err, len(s.offers))
			}
		})
	}
}

// A caller that stops waiting is let go at once.
func TestCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, s := play(Options{}, refusal(time.Hour, ""))
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		if _, err := c.Place(ctx, Task{Name: "x"}, nil); !errors.Is(err, context.Canceled) || time.Since(s.began) != time.Second {
			t.Errorf("%v after %s", err, time.Since(s.began))
		}
	})
}

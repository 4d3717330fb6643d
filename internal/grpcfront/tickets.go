package grpcfront

// This file owns return tickets on this front: those given with refusals, and those
// brought back. Proofs are made and read beside the loop where calls come in; what
// was used is the loop's. A ticket with any fault counts as none, and its bearer is
// not told.

import (
	"errors"
	"math/rand/v2"
	"time"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/grpcfront/edgepb"
	"ravenhitch/internal/retrytoken"
)

// TokenCounts counts those that were brought.
type TokenCounts struct{ Good, Early, Expired, Used, Bad int64 }

// SetKeys sets the keys from now on. It may be called from any goroutine.
func (f *Front) SetKeys(k *retrytoken.Keys) { f.keys.Store(k) }

// TokenCounts is what was brought so far; on the loop only.
func (f *Front) TokenCounts() TokenCounts { return f.tickets }

// proof is what an offer's ticket proves: nothing where none was brought.
type proof struct {
	retrytoken.Token
	brought bool
	err     error
}

// proof reads an offer's ticket. It runs outside the loop.
func (f *Front) proof(o *edgepb.Offer) proof {
	keys := f.keys.Load()
	if len(o.GetTicket()) == 0 || !keys.IsSet() {
		return proof{}
	}
	t, err := keys.Verify(o.GetTicket())
	if err == nil {
		err = t.Check(time.Now().UnixMicro(), o.GetTask(), o.GetClass())
	}
	return proof{t, true, err}
}

// admit lets a set-up stand in line since when its ticket proves. It runs on the loop.
func (f *Front) admit(s *dispatch.Submission, p proof) {
	if !p.brought {
		return
	}
	if p.err == nil {
		p.err = f.used.Redeem(&p.Token)
	}
	switch {
	case p.err == nil:
		f.tickets.Good++
		s.QueuedSinceUs, s.Rejections = p.QueuedSinceUs, int(p.Rejections)
	case errors.Is(p.err, retrytoken.ErrEarly):
		f.tickets.Early++
	case errors.Is(p.err, retrytoken.ErrExpired):
		f.tickets.Expired++
	case errors.Is(p.err, retrytoken.ErrUsed):
		f.tickets.Used++
	default:
		f.tickets.Bad++
	}
}

// issue writes the ticket that goes with a refusal, or nothing.
func (f *Front) issue(a dispatch.Response, task, class string) []byte {
	keys := f.keys.Load()
	if a.Kind != dispatch.Rejected || !keys.IsSet() {
		return nil
	}
	now := time.Now().UnixMicro()
	return keys.Issue(retrytoken.Token{Task: task, Class: class, IssuedUs: now, SlotUs: now + max(0, a.RetryAfterUs),
		QueuedSinceUs: min(now, a.QueuedSinceUs), Rejections: uint16(min(a.Rejections, 1<<16-1)), Nonce: rand.Uint64()})
}

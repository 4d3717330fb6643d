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

// Tickets counts those that were brought.
type Tickets struct{ Good, Early, Expired, Used, Bad int64 }

// Keys sets the keys from now on. It may be called from any goroutine.
func (f *Front) Keys(k *retrytoken.Keys) { f.keys.Store(k) }

// Tickets is what was brought so far; on the loop only.
func (f *Front) Tickets() Tickets { return f.tickets }

// proof is what an offer's ticket proves: nothing where none was brought.
type proof struct {
	retrytoken.Ticket
	brought bool
	err     error
}

// proof reads an offer's ticket. It runs outside the loop.
func (f *Front) proof(o *edgepb.Offer) proof {
	keys := f.keys.Load()
	if len(o.GetTicket()) == 0 || !keys.Held() {
		return proof{}
	}
	t, err := keys.Open(o.GetTicket())
	if err == nil {
		err = t.Check(time.Now().UnixMicro(), o.GetTask(), o.GetClass())
	}
	return proof{t, true, err}
}

// admit lets a set-up stand in line since when its ticket proves. It runs on the loop.
func (f *Front) admit(s *dispatch.Setup, p proof) {
	if !p.brought {
		return
	}
	if p.err == nil {
		p.err = f.used.Take(&p.Ticket)
	}
	switch {
	case p.err == nil:
		f.tickets.Good++
		s.SinceUs, s.Tries = p.SinceUs, int(p.Tries)
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
func (f *Front) issue(a dispatch.Answer, task, class string) []byte {
	keys := f.keys.Load()
	if a.Kind != dispatch.Refused || !keys.Held() {
		return nil
	}
	now := time.Now().UnixMicro()
	return keys.Issue(retrytoken.Ticket{Task: task, Class: class, IssuedUs: now, SlotUs: now + max(0, a.WaitUs),
		SinceUs: min(now, a.SinceUs), Tries: uint16(min(a.Tries, 1<<16-1)), Nonce: rand.Uint64()})
}

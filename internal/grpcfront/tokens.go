package grpcfront

// This file owns the retry tokens of this front: those issued with rejections, and those that offers
// present. Signatures are made and verified beside the loop, where calls come in; what was redeemed belongs
// to the loop. An invalid token counts as none, and its client must never learn that.

import (
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/grpcfront/edgepb"
	"ravenhitch/internal/retrytoken"
)

// TokenCounts counts the tokens that offers presented: those that were good, and the others by what was
// wrong. Bad are those that are not in any other count.
type TokenCounts struct{ Good, Early, Expired, Used, Bad int64 }

// SetKeys sets the keys from now on. It may be called from any goroutine.
func (f *Front) SetKeys(keys *retrytoken.Keys) { f.keys.Store(keys) }

// TokenCounts is what was presented so far. It is for the loop only.
func (f *Front) TokenCounts() TokenCounts { return f.tokenCounts }

// presentedToken is the token of an offer. The zero value is that of an offer without one.
type presentedToken struct {
	retrytoken.Token
	presented bool
	err       error // why the token is invalid
}

// verifyToken reads the token of an offer. It runs outside the loop.
func (f *Front) verifyToken(offer *edgepb.Offer) presentedToken {
	keys := f.keys.Load()
	if len(offer.GetTicket()) == 0 || !keys.IsSet() {
		return presentedToken{}
	}
	token, err := keys.Verify(offer.GetTicket())
	if err == nil {
		err = token.Check(time.Now().UnixMicro(), offer.GetTask(), offer.GetClass())
	}
	return presentedToken{token, true, err}
}

// redeem puts a submission on the waitlist since the time that its token proves. It runs on the loop.
func (f *Front) redeem(submission *dispatch.Submission, token presentedToken) {
	if !token.presented {
		return
	}
	err := token.err
	if err == nil {
		err = f.redeemed.Redeem(&token.Token)
	}
	if err == nil {
		submission.QueuedSinceUs, submission.Rejections = token.QueuedSinceUs, int(token.Rejections)
	}
	f.tokenCounts.count(err)
}

// count counts a token by why it is invalid, nil where it is good.
func (c *TokenCounts) count(err error) {
	switch {
	case err == nil:
		c.Good++
	case errors.Is(err, retrytoken.ErrEarly):
		c.Early++
	case errors.Is(err, retrytoken.ErrExpired):
		c.Expired++
	case errors.Is(err, retrytoken.ErrUsed):
		c.Used++
	default:
		c.Bad++
	}
}

// issueToken writes the token that goes with a rejection. It is nil for other responses and without keys.
func (f *Front) issueToken(response dispatch.Response, task, class string) []byte {
	keys := f.keys.Load()
	if response.Kind != dispatch.Rejected || !keys.IsSet() {
		return nil
	}
	now := time.Now().UnixMicro()
	return keys.Issue(retrytoken.Token{
		Task:          task,
		Class:         class,
		IssuedUs:      now,
		SlotUs:        now + max(0, response.RetryAfterUs),
		QueuedSinceUs: min(now, response.QueuedSinceUs),
		Rejections:    uint16(min(response.Rejections, math.MaxUint16)),
		Nonce:         rand.Uint64(),
	})
}

package grpcfront

// This file owns the retry tokens of the front. If the front has keys, it issues a token with each rejection by the
// dispatcher, and the client presents the token with its next offer of the task. Tokens are verified outside the
// event loop, on the goroutine that receives the offer. A token in the status of a rejected Place call is signed
// outside the event loop too, on the goroutine of the call. A token in a Rejection message of a session is signed on
// the event loop. The set of redeemed tokens is accessed on the event loop only. An offer with an invalid token is
// treated like an offer without one, and the client must never learn that the token was invalid.

import (
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/grpcfront/edgepb"
	"ravenhitch/internal/retrytoken"
)

// TokenCounts counts the tokens that redeem has handled. Good counts the valid tokens. Early and Expired count the
// tokens that were presented too long before or after their slot, which is the time at which the client was to
// return. Used counts the tokens that had been redeemed before. Bad counts all other invalid tokens.
type TokenCounts struct{ Good, Early, Expired, Used, Bad int64 }

// SetKeys replaces the keys that sign and verify tokens. It may be called from any goroutine.
func (f *Front) SetKeys(keys *retrytoken.Keys) { f.keys.Store(keys) }

// TokenCounts returns the counts of the tokens handled so far. It must be called on the event loop only.
func (f *Front) TokenCounts() TokenCounts { return f.tokenCounts }

// presentedToken is the result of the verification of the token of an offer. The zero value stands for an offer
// that has no token, or whose token is ignored because the front has no keys.
type presentedToken struct {
	retrytoken.Token
	presented bool
	err       error // the reason why the token is invalid, nil if it is valid
}

// verifyToken decodes and verifies the token of an offer. If the front has no keys, it ignores the token. It runs
// outside the event loop.
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

// redeem counts the token of an offer, if there is one. If the token is valid and was not redeemed before, redeem
// records it as redeemed and copies two values from it to the submission: the time since which the client has been
// on the waitlist, and the number of rejections. redeem runs on the event loop.
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

// count increments the counter for err, the reason why a token is invalid; nil stands for a valid token.
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

// issueToken returns a signed retry token for a rejection. It returns nil for other responses, and if the front
// has no keys.
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

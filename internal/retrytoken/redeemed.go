package retrytoken

// This file records which tokens were redeemed, in bounded memory. It does not check whether a token is
// valid.

// maxRedeemed is the maximum number of tokens that a Redeemed remembers.
const maxRedeemed = 16 << 10

// Redeemed remembers the most recently redeemed tokens. The zero value remembers none. Its size is bounded:
// once it remembers maxRedeemed tokens, each new one replaces the oldest of them. If the replaced token
// is still valid, it could be redeemed again at this orchestrator. That only restores the client's place on
// the waitlist again, and does not make the task run a second time.
type Redeemed struct {
	nonces map[uint64]struct{} // nonces of the remembered tokens
	order  []uint64            // nonces in the order of redemption; a ring buffer once it is full
	oldest int                 // index into order of the oldest nonce
}

// Redeem remembers a token as redeemed. It returns ErrUsed if the token is already remembered.
func (r *Redeemed) Redeem(t *Token) error {
	if r.nonces == nil {
		r.nonces = map[uint64]struct{}{}
	}
	if _, used := r.nonces[t.Nonce]; used {
		return ErrUsed
	}
	if len(r.order) < maxRedeemed {
		r.order = append(r.order, t.Nonce)
	} else {
		delete(r.nonces, r.order[r.oldest])
		r.order[r.oldest] = t.Nonce
		r.oldest = (r.oldest + 1) % maxRedeemed
	}
	r.nonces[t.Nonce] = struct{}{}
	return nil
}

package retrytoken

// This file owns which tokens were redeemed. It must never judge whether a token
// is valid, nor grow without bound.

// maxRedeemed bounds the tokens that are remembered.
const maxRedeemed = 16 << 10

// Redeemed remembers the tokens that were redeemed last; the zero value remembers none. It is of bounded
// size: where more tokens are valid at once, the oldest is forgotten and could be redeemed again here;
// its task still runs at most once.
type Redeemed struct {
	nonces map[uint64]struct{}
	order  []uint64 // a ring, once it is full
	oldest int      // index into order
}

// Redeem remembers a token, or returns ErrUsed where it was redeemed before.
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

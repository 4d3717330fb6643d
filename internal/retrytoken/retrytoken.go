// Package ticket owns the form of return tickets and the keys that prove them. A
// ticket says of a refused task when its caller is to come back and since when it
// stands in line, so that any orchestrator with the key, one just started included,
// gives the caller its place without having heard of it. It is pure: the time is
// passed in and nothing is opened. It must never tell a ticket's fault to whoever
// brings it, and a ticket with any fault must be worth no more than none.
package retrytoken

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"

	"ravenhitch/internal/config"
)

// The faults of tickets. With each the offer counts as one without a ticket.
var (
	ErrForm    = errors.New("ticket: not in the form of one")
	ErrKey     = errors.New("ticket: of a key that is not held")
	ErrProof   = errors.New("ticket: forged or altered")
	ErrForeign = errors.New("ticket: of another task or class")
	ErrEarly   = errors.New("ticket: brought too early")
	ErrExpired = errors.New("ticket: expired")
	ErrUsed    = errors.New("ticket: used before")
)

const (
	version  = 1
	proofLen = 16 // of HMAC-SHA256, cut as RFC 2104 allows
	keyMin   = 16 // bytes
	keyMax   = 64
	nameMost = 64
	headLen  = 1 + 4 + 8 + 8 + 8 + 4 + 2
	// TicketMost is the longest ticket.
	TicketMost = headLen + 2*(1+nameMost) + proofLen
	// EarlyUs is how much too early a ticket may be brought: clocks and links differ.
	EarlyUs = 250_000
	// LateUs is how long after its time it is still good.
	LateUs = 10_000_000
	// waitMost bounds what a ticket may claim: a day.
	waitMost = int64(86_400_000_000)
)

// Token is what one says.
type Token struct {
	Task, Class string
	IssuedUs    int64  // Unix time
	SlotUs      int64  // when its caller is to come back
	SinceUs     int64  // since when it stands in line
	Tries       uint16 // refusals so far
	Nonce       uint64 // tells tickets of one task apart
}

// key is a secret and its name.
type key struct {
	id     uint32
	secret []byte
}

// Keys are the keys held. The first proves new tickets, all are good for those
// brought. The zero value holds none: it neither issues tickets nor takes any.
type Keys struct{ keys []key }

// IsSet reports whether there is a key.
func (k *Keys) IsSet() bool { return k != nil && len(k.keys) > 0 }

// ParseKeys reads a file of keys: a section [keys], and in it a line "key NAME HEX"
// for each, the one for new tickets first. To rotate, add the new key last at every
// orchestrator, then put it first at every one, then drop the old one.
func ParseKeys(file string, text []byte) (*Keys, error) {
	sections, err := config.ParseLines(file, text)
	if err != nil {
		return nil, err
	}
	out := &Keys{}
	names := map[string]int{}
	for _, s := range sections {
		if s.Name.Text != "keys" {
			return nil, s.Name.Wrong("the section keys")
		}
		for _, d := range s.Directives {
			if d.Name.Text != "key" {
				return nil, d.Name.Wrong("key")
			}
			if len(d.Args) != 2 {
				return nil, d.Name.Wrong("key followed by a name and a secret in hex")
			}
			name, secret := d.Args[0], d.Args[1]
			b, err := hex.DecodeString(secret.Text)
			if err != nil || len(b) < keyMin || len(b) > keyMax {
				secret.Text = "" // a secret must not reach a log
				return nil, secret.Wrong(fmt.Sprintf("a secret of %d to %d hex digits", 2*keyMin, 2*keyMax))
			}
			id := keyID(name.Text)
			if line := names[name.Text]; line > 0 || slices.ContainsFunc(out.keys, func(k key) bool { return k.id == id }) {
				return nil, name.Wrong("a name that no other key has")
			}
			names[name.Text] = name.Line
			out.keys = append(out.keys, key{id, b})
		}
	}
	if len(out.keys) == 0 {
		return nil, fmt.Errorf("%w: %s: expected a section [keys] with at least one key", config.ErrConf, file)
	}
	return out, nil
}

// keyID is a short name of a key.
func keyID(name string) uint32 {
	h := sha256.Sum256([]byte(name))
	return binary.BigEndian.Uint32(h[:])
}

func (k *key) proof(b []byte) []byte {
	h := hmac.New(sha256.New, k.secret)
	h.Write(b)
	return h.Sum(nil)[:proofLen]
}

// Issue writes a ticket, or nothing where no key is held.
func (k *Keys) Issue(t Token) []byte {
	if !k.IsSet() || len(t.Task) > nameMost || len(t.Class) > nameMost {
		return nil
	}
	first := &k.keys[0]
	b := make([]byte, 0, TicketMost)
	b = append(b, version)
	b = binary.BigEndian.AppendUint32(b, first.id)
	b = binary.BigEndian.AppendUint64(b, uint64(t.IssuedUs))
	b = binary.BigEndian.AppendUint64(b, uint64(t.SinceUs))
	b = binary.BigEndian.AppendUint64(b, t.Nonce)
	b = binary.BigEndian.AppendUint32(b, uint32(min(max(0, t.SlotUs-t.IssuedUs), waitMost)/1000))
	b = binary.BigEndian.AppendUint16(b, t.Tries)
	for _, s := range []string{t.Task, t.Class} {
		b = append(b, byte(len(s)))
		b = append(b, s...)
	}
	return append(b, first.proof(b)...)
}

// Verify reads a ticket and its proof. What it says is true then, and nothing more.
func (k *Keys) Verify(b []byte) (Token, error) {
	var t Token
	if len(b) < headLen+2+proofLen || len(b) > TicketMost || b[0] != version {
		return t, ErrForm
	}
	body, proof := b[:len(b)-proofLen], b[len(b)-proofLen:]
	id := binary.BigEndian.Uint32(b[1:])
	i := slices.IndexFunc(k.held(), func(k key) bool { return k.id == id })
	if i < 0 {
		return t, ErrKey
	}
	if !hmac.Equal(k.keys[i].proof(body), proof) {
		return t, ErrProof
	}
	t.IssuedUs = int64(binary.BigEndian.Uint64(body[5:]))
	t.SinceUs = int64(binary.BigEndian.Uint64(body[13:]))
	t.Nonce = binary.BigEndian.Uint64(body[21:])
	t.SlotUs = t.IssuedUs + int64(binary.BigEndian.Uint32(body[29:]))*1000
	t.Tries = binary.BigEndian.Uint16(body[33:])
	rest := body[headLen:]
	for _, s := range []*string{&t.Task, &t.Class} {
		if len(rest) == 0 || len(rest) < 1+int(rest[0]) {
			return Token{}, ErrForm
		}
		*s = string(rest[1 : 1+int(rest[0])])
		rest = rest[1+int(rest[0]):]
	}
	if len(rest) > 0 {
		return Token{}, ErrForm
	}
	return t, nil
}

func (k *Keys) held() []key {
	if k == nil {
		return nil
	}
	return k.keys
}

// Check says whether a ticket is good for a task now.
func (t *Token) Check(now int64, task, class string) error {
	switch {
	case t.Task != task || t.Class != class:
		return ErrForeign
	case t.SinceUs > t.IssuedUs || t.IssuedUs-t.SinceUs > waitMost:
		return ErrForm
	case now < t.SlotUs-EarlyUs:
		return ErrEarly
	case now > t.SlotUs+LateUs:
		return ErrExpired
	}
	return nil
}

// Redeemed remembers the tickets that were taken last. It is of fixed size: where more are
// good at once than fit, the oldest are forgotten, and could be brought again here;
// their tasks still stand at most once.
type Redeemed struct {
	nonces map[uint64]struct{}
	order  []uint64
	head   int
}

// usedMost bounds what is remembered.
const usedMost = 16 << 10

// Redeem takes a ticket, or reports that it was taken before.
func (u *Redeemed) Redeem(t *Token) error {
	if u.nonces == nil {
		u.nonces = map[uint64]struct{}{}
	}
	if _, ok := u.nonces[t.Nonce]; ok {
		return ErrUsed
	}
	if len(u.order) < usedMost {
		u.order = append(u.order, t.Nonce)
	} else {
		delete(u.nonces, u.order[u.head])
		u.order[u.head] = t.Nonce
		u.head = (u.head + 1) % usedMost
	}
	u.nonces[t.Nonce] = struct{}{}
	return nil
}

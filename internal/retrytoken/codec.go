package retrytoken

// This file owns the form of tokens on the wire, and their signature. It must never return what a token
// says before its signature was verified.
//
// A token is a head of fixed size, the names of its task and of its class with their lengths in a byte
// before each, and the signature of all that. Numbers are big-endian:
//
//	offset  bytes  field
//	0       1      version
//	1       4      ID of the key
//	5       8      IssuedUs
//	13      8      QueuedSinceUs
//	21      8      Nonce
//	29      4      milliseconds from IssuedUs to SlotUs
//	33      2      Rejections

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
)

const (
	version       = 1
	keyIDAt       = 1
	issuedAt      = 5
	queuedSinceAt = 13
	nonceAt       = 21
	waitAt        = 29
	rejectionsAt  = 33
	headSize      = 35

	maxName       = 64 // bytes of the name of a task or a class
	signatureSize = 16 // of HMAC-SHA256, truncated as RFC 2104 allows

	minTokenSize = headSize + 2 + signatureSize
	// MaxTokenSize is the size of the longest token, in bytes.
	MaxTokenSize = headSize + 2*(1+maxName) + signatureSize
)

// sign returns the signature of the bytes before it in a token.
func (k *key) sign(body []byte) []byte {
	mac := hmac.New(sha256.New, k.secret)
	mac.Write(body)
	return mac.Sum(nil)[:signatureSize]
}

// Issue writes and signs a token. It returns nil where there is no key, or a name is too long.
func (k *Keys) Issue(t Token) []byte {
	if !k.IsSet() || len(t.Task) > maxName || len(t.Class) > maxName {
		return nil
	}
	signer := &k.keys[0]
	waitMs := min(max(0, t.SlotUs-t.IssuedUs), maxWaitUs) / millisecond
	b := make([]byte, 0, MaxTokenSize)
	b = append(b, version)
	b = binary.BigEndian.AppendUint32(b, signer.id)
	b = binary.BigEndian.AppendUint64(b, uint64(t.IssuedUs))
	b = binary.BigEndian.AppendUint64(b, uint64(t.QueuedSinceUs))
	b = binary.BigEndian.AppendUint64(b, t.Nonce)
	b = binary.BigEndian.AppendUint32(b, uint32(waitMs))
	b = binary.BigEndian.AppendUint16(b, t.Rejections)
	b = appendName(b, t.Task)
	b = appendName(b, t.Class)
	return append(b, signer.sign(b)...)
}

// Verify reads a token and verifies its signature. The error is ErrMalformed, ErrUnknownKey or
// ErrSignature. Whether the token is valid now is for Token.Check to say.
func (k *Keys) Verify(b []byte) (Token, error) {
	if len(b) < minTokenSize || len(b) > MaxTokenSize || b[0] != version {
		return Token{}, ErrMalformed
	}
	signer := k.find(binary.BigEndian.Uint32(b[keyIDAt:]))
	if signer == nil {
		return Token{}, ErrUnknownKey
	}
	body, signature := b[:len(b)-signatureSize], b[len(b)-signatureSize:]
	if !hmac.Equal(signer.sign(body), signature) {
		return Token{}, ErrSignature
	}
	return decode(body)
}

// decode reads a token without its signature, of the size of a head at least.
func decode(body []byte) (Token, error) {
	issuedUs := int64(binary.BigEndian.Uint64(body[issuedAt:]))
	t := Token{
		IssuedUs:      issuedUs,
		SlotUs:        issuedUs + int64(binary.BigEndian.Uint32(body[waitAt:]))*millisecond,
		QueuedSinceUs: int64(binary.BigEndian.Uint64(body[queuedSinceAt:])),
		Rejections:    binary.BigEndian.Uint16(body[rejectionsAt:]),
		Nonce:         binary.BigEndian.Uint64(body[nonceAt:]),
	}
	rest := body[headSize:]
	for _, name := range []*string{&t.Task, &t.Class} {
		var ok bool
		if *name, rest, ok = cutName(rest); !ok {
			return Token{}, ErrMalformed
		}
	}
	if len(rest) > 0 {
		return Token{}, ErrMalformed
	}
	return t, nil
}

// appendName writes a name behind its length.
func appendName(b []byte, name string) []byte {
	return append(append(b, byte(len(name))), name...)
}

// cutName reads a name behind its length. It reports whether there is one.
func cutName(b []byte) (name string, rest []byte, ok bool) {
	if len(b) == 0 {
		return "", nil, false
	}
	end := 1 + int(b[0])
	if len(b) < end {
		return "", nil, false
	}
	return string(b[1:end]), b[end:], true
}

package retrytoken

// This file implements the wire format of retry tokens and their signature. It never returns the contents
// of a token before the signature is verified.
//
// A token consists of a header of fixed size, the name of the task, the name of the class, and the signature
// of all bytes before it. Each name is preceded by its length in one byte. Numbers in the header are
// big-endian:
//
//	offset  bytes  field
//	0       1      version
//	1       4      key ID
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
	version           = 1
	keyIDOffset       = 1
	issuedOffset      = 5
	queuedSinceOffset = 13
	nonceOffset       = 21
	waitOffset        = 29
	rejectionsOffset  = 33
	headerSize        = 35

	maxNameSize   = 64 // maximum length of a task or class name in bytes
	signatureSize = 16 // in bytes; an HMAC-SHA256 is truncated to this size, as RFC 2104 allows

	minTokenSize = headerSize + 2 + signatureSize
	// MaxTokenSize is the maximum size of a token in bytes.
	MaxTokenSize = headerSize + 2*(1+maxNameSize) + signatureSize
)

// sign returns the signature of body, the bytes of a token before its signature.
func (k *key) sign(body []byte) []byte {
	mac := hmac.New(sha256.New, k.secret)
	mac.Write(body)
	return mac.Sum(nil)[:signatureSize]
}

// Issue encodes and signs a token with the first key. It returns nil if there is no key or a name is too long. The
// time from IssuedUs to SlotUs is clamped to the range from 0 to a day and rounded down to whole milliseconds.
func (k *Keys) Issue(t Token) []byte {
	if !k.IsSet() || len(t.Task) > maxNameSize || len(t.Class) > maxNameSize {
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

// Verify verifies the signature of a token and decodes the token. The error is ErrMalformed, ErrUnknownKey
// or ErrSignature. Verify does not check whether the token is valid at the current time; Token.Check does.
func (k *Keys) Verify(b []byte) (Token, error) {
	if len(b) < minTokenSize || len(b) > MaxTokenSize || b[0] != version {
		return Token{}, ErrMalformed
	}
	signer := k.find(binary.BigEndian.Uint32(b[keyIDOffset:]))
	if signer == nil {
		return Token{}, ErrUnknownKey
	}
	body, signature := b[:len(b)-signatureSize], b[len(b)-signatureSize:]
	if !hmac.Equal(signer.sign(body), signature) {
		return Token{}, ErrSignature
	}
	return decode(body)
}

// decode decodes body, a token without its signature. The body must have at least headerSize bytes.
func decode(body []byte) (Token, error) {
	issuedUs := int64(binary.BigEndian.Uint64(body[issuedOffset:]))
	t := Token{
		IssuedUs:      issuedUs,
		SlotUs:        issuedUs + int64(binary.BigEndian.Uint32(body[waitOffset:]))*millisecond,
		QueuedSinceUs: int64(binary.BigEndian.Uint64(body[queuedSinceOffset:])),
		Rejections:    binary.BigEndian.Uint16(body[rejectionsOffset:]),
		Nonce:         binary.BigEndian.Uint64(body[nonceOffset:]),
	}
	rest := body[headerSize:]
	for _, name := range []*string{&t.Task, &t.Class} {
		var ok bool
		if *name, rest, ok = readName(rest); !ok {
			return Token{}, ErrMalformed
		}
	}
	if len(rest) > 0 {
		return Token{}, ErrMalformed
	}
	return t, nil
}

// appendName appends the length of a name in one byte, and the name.
func appendName(b []byte, name string) []byte {
	return append(append(b, byte(len(name))), name...)
}

// readName reads a name that follows its length in one byte. It returns the name and the remaining bytes,
// and reports whether b holds a complete name.
func readName(b []byte) (name string, rest []byte, ok bool) {
	if len(b) == 0 {
		return "", nil, false
	}
	end := 1 + int(b[0])
	if len(b) < end {
		return "", nil, false
	}
	return string(b[1:end]), b[end:], true
}

// Package retrytoken issues and verifies retry tokens and parses the keys that sign them. The retry token of
// a rejected task states when its client is to return and since when the client has been on the waitlist.
// With the token, any orchestrator that has the key restores the client's place on the waitlist, even if the
// orchestrator has just started and never served the client before.
//
// The package is pure: the caller passes in the time, and the package opens no file or connection. An
// invalid token must never have more effect than no token.
//
// The wire protocol calls a retry token a return ticket.
package retrytoken

// This file defines the contents of a token and the rules of its validity. It does not look at signatures,
// because codec.go verifies them first.

import "errors"

// Reasons why a token is invalid. A submission with an invalid token is treated like one without a
// token. The reason is not sent to the client, because an attacker who forges tokens must not learn from
// the errors.
var (
	ErrMalformed  = errors.New("retrytoken: malformed token")
	ErrUnknownKey = errors.New("retrytoken: token signed with an unknown key")
	ErrSignature  = errors.New("retrytoken: invalid signature, token forged or altered")
	ErrMismatch   = errors.New("retrytoken: token issued for another task or class")
	ErrEarly      = errors.New("retrytoken: token presented too early")
	ErrExpired    = errors.New("retrytoken: token expired")
	ErrUsed       = errors.New("retrytoken: token already redeemed")
)

// Units of time in microseconds.
const (
	millisecond = 1_000
	second      = 1_000 * millisecond
	day         = 24 * 60 * 60 * second
)

const (
	// EarlyUs is the time before a token's slot (Token.SlotUs) at which the token becomes valid, in microseconds. It
	// allows for differences between clocks and between network latencies.
	EarlyUs = 250 * millisecond
	// LateUs is the time after a token's slot until which the token stays valid, in microseconds.
	LateUs = 10 * second
	// maxWaitUs is the maximum time for which a token may claim that its client was on the waitlist, and the
	// maximum time from the issue of a token to its slot.
	maxWaitUs = int64(day)
)

// Token holds the contents of a retry token.
type Token struct {
	Task, Class   string // names of the task and of its class
	IssuedUs      int64  // time of issue, as Unix time in microseconds
	SlotUs        int64  // time at which the client is to return, as Unix time in microseconds
	QueuedSinceUs int64  // time since which the client has been on the waitlist, as Unix time in microseconds
	Rejections    uint16 // number of rejections of the task so far
	Nonce         uint64 // random number that identifies the token; see Redeemed
}

// Check returns nil if the token is valid for a task of a class at now, a Unix time in microseconds. Otherwise
// the error is ErrMismatch, ErrMalformed, ErrEarly or ErrExpired. The signature of the token must have been verified.
func (t *Token) Check(now int64, task, class string) error {
	switch {
	case t.Task != task || t.Class != class:
		return ErrMismatch
	case t.QueuedSinceUs > t.IssuedUs || t.IssuedUs-t.QueuedSinceUs > maxWaitUs:
		return ErrMalformed
	case now < t.SlotUs-EarlyUs:
		return ErrEarly
	case now > t.SlotUs+LateUs:
		return ErrExpired
	}
	return nil
}

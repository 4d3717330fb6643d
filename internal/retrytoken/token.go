// Package retrytoken owns retry tokens and the keys that sign them. A token says of a rejected task when
// its client is to come back and since when it is on the waitlist, so that any orchestrator with the key,
// one just started included, restores the client's place on the waitlist without having served it before.
// The package is pure: the time is passed in and nothing is opened. It must never make an invalid token
// worth more than none.
//
// On the wire a token is called a return ticket.
package retrytoken

// This file owns what a token says, and when it is valid. It must never look at a signature: codec.go has
// verified it before.

import "errors"

// The reasons why a token is invalid. With each the offer counts as one without a token, and its client does
// not learn of it: who forges tokens must not learn from the errors.
var (
	ErrMalformed  = errors.New("retrytoken: malformed")
	ErrUnknownKey = errors.New("retrytoken: signed with an unknown key")
	ErrSignature  = errors.New("retrytoken: forged or altered")
	ErrMismatch   = errors.New("retrytoken: of another task or class")
	ErrEarly      = errors.New("retrytoken: presented too early")
	ErrExpired    = errors.New("retrytoken: expired")
	ErrUsed       = errors.New("retrytoken: redeemed before")
)

// The units of the times of tokens, which are in microseconds.
const (
	millisecond = 1_000
	second      = 1_000 * millisecond
	day         = 24 * 60 * 60 * second
)

const (
	// EarlyUs is how much too early a token may be presented: clocks differ, and so do links.
	EarlyUs = 250 * millisecond
	// LateUs is how long after its slot a token is still valid.
	LateUs = 10 * second
	// maxWaitUs bounds how long a token may claim that its client was on the waitlist, and how far ahead
	// its slot may lie.
	maxWaitUs = int64(day)
)

// Token is what a token says.
type Token struct {
	Task, Class   string
	IssuedUs      int64  // Unix time
	SlotUs        int64  // when the client is to come back, as Unix time
	QueuedSinceUs int64  // since when its client is on the waitlist, as Unix time
	Rejections    uint16 // of the task so far
	Nonce         uint64 // differs between tokens of one task
}

// Check returns an error unless a token whose signature was verified is valid for a task now. The time is
// a Unix time in microseconds.
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

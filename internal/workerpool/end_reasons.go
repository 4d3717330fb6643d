package workerpool

// This file owns the reasons for which a connection to a worker ends, and what they say of the worker. It must
// never take a reason that does not say whether the worker is alive for one that does.

import (
	"errors"
	"fmt"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/jsonlines"
)

// The reasons for which this side closes a connection.
var (
	errUnresponsive   = errors.New("nothing came in since an offer was cancelled")
	errWorkerDead     = errors.New("the worker is dead")
	errAddressChanged = errors.New("the worker's address changed")
	errUnlisted       = errors.New("the worker is no longer listed")
	errSuperseded     = errors.New("a newer connection replaced it")
	errIdle           = errors.New("the connection is idle")
	errTooManyConns   = fmt.Errorf("more than %d connections to one worker", maxConns)
)

// errPartialMessage is the reason for closing a connection on which the rest of a message did not come. The
// operators' page names its text.
var errPartialMessage = fmt.Errorf("%w: it stops short", jsonlines.ErrMessage)

// errNoDescription is the reason for closing a connection on which an accepted offer came without its description.
var errNoDescription = fmt.Errorf("%w: an answer without a description", jsonlines.ErrMessage)

// isUnreachable reports whether this side closed a connection because its messages did not seem to reach the worker:
// then the close may not reach it either.
func isUnreachable(err error) bool {
	return errors.Is(err, errUnresponsive) || errors.Is(err, errWorkerDead)
}

// isDisconnect reports whether a connection ended in a way that does not say whether another one would
// come up.
func isDisconnect(err error) bool {
	return isReset(err) || errors.Is(err, eventloop.ErrEOF) || errors.Is(err, jsonlines.ErrMessage)
}

// isReset reports whether a connection was reset, which is what a dying process leaves.
func isReset(err error) bool {
	return errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE)
}

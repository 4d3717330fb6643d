package workerpool

// This file owns the reasons for which a connection to a worker ends, and what each reason proves about the worker.
// It must never conclude that a worker is alive or dead from a reason that may have another cause.

import (
	"errors"
	"fmt"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/jsonlines"
)

// Reasons for which this side closes a connection.
var (
	errUnresponsive   = errors.New("the cancel of an offer could not be confirmed")
	errWorkerDead     = errors.New("the worker is dead")
	errAddressChanged = errors.New("the worker's address changed")
	errUnlisted       = errors.New("the worker is no longer listed")
	errSuperseded     = errors.New("replaced by a newer connection")
	errIdle           = errors.New("the connection is idle")
	errRetired        = errors.New("the process ends")
	errTooManyConns   = fmt.Errorf("more than %d connections to one worker", maxConns)
)

// errPartialMessage is the reason for closing a connection on which the rest of a message did not arrive in time. Its
// text is documented for operators.
var errPartialMessage = fmt.Errorf("%w: it stops short", jsonlines.ErrMessage)

// errNoDescription is the reason for closing a connection on which a worker accepted an offer without sending its
// description of the task.
var errNoDescription = fmt.Errorf("%w: an acceptance without a description of the task", jsonlines.ErrMessage)

// isUnreachable reports whether this side closed a connection because a cancel could not be confirmed or because the
// worker was considered dead. The worker then counts as unreachable, and the close may not reach it.
func isUnreachable(err error) bool {
	return errors.Is(err, errUnresponsive) || errors.Is(err, errWorkerDead)
}

// isDisconnect reports whether a connection ended by a reset, a close by the worker or a malformed message. The worker
// may still accept another connection.
func isDisconnect(err error) bool {
	return isReset(err) || errors.Is(err, eventloop.ErrEOF) || errors.Is(err, jsonlines.ErrMessage)
}

// isReset reports whether a connection was reset, for example because the process on the other side died.
func isReset(err error) bool {
	return errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE)
}

package workerpool

// This file owns the reasons for which a connection to a worker ends, and what each reason proves about the worker.
// It must never treat a reason as proof that the worker is alive or dead if the reason does not prove that.

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
	errTooManyConns   = fmt.Errorf("more than %d connections to one worker", maxConns)
)

// errPartialMessage is the reason for closing a connection on which the rest of a message did not arrive in time. Its
// text is documented for operators.
var errPartialMessage = fmt.Errorf("%w: it stops short", jsonlines.ErrMessage)

// errNoDescription is the reason for closing a connection on which a worker accepted an offer without sending its
// description of the task.
var errNoDescription = fmt.Errorf("%w: an acceptance without a description of the task", jsonlines.ErrMessage)

// isUnreachable reports whether this side closed a connection because its messages apparently did not reach the
// worker. In that case the close may not reach the worker either.
func isUnreachable(err error) bool {
	return errors.Is(err, errUnresponsive) || errors.Is(err, errWorkerDead)
}

// isDisconnect reports whether a connection ended in a way that does not show whether another connection could be
// established.
func isDisconnect(err error) bool {
	return isReset(err) || errors.Is(err, eventloop.ErrEOF) || errors.Is(err, jsonlines.ErrMessage)
}

// isReset reports whether a connection was reset, for example because the process on the other side died.
func isReset(err error) bool {
	return errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE)
}

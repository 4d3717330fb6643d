package eventloop

// This file contains the errors that users of the package may match.

import "errors"

// Errors of connections. The loop closes a connection with [ErrTimeout], [ErrEOF] or [ErrOverflow].
// [Loop.Dial] returns [ErrNoDescriptor] if the budget has no descriptor left.
var (
	ErrTimeout      = errors.New("eventloop: connection not established in time")
	ErrEOF          = errors.New("eventloop: closed by the other side")
	ErrOverflow     = errors.New("eventloop: too much unsent output: the other side does not read")
	ErrNoDescriptor = errors.New("eventloop: no descriptor left in the budget")
)

// ErrNotListening means that an inherited descriptor is not a listening socket. It is wrapped in an [OpError], whose
// text names the package.
var ErrNotListening = errors.New("expected a listening socket")

// OpError reports a failed operation. It wraps the cause, which is a [unix.Errno] if a system call failed.
type OpError struct {
	Op     string // operation that failed, such as "dial" or "read"
	Target string // object of the operation, such as an address; "" if the operation needs none
	Err    error
}

// Error implements error.
func (e *OpError) Error() string {
	if e.Target == "" {
		return "eventloop: " + e.Op + ": " + e.Err.Error()
	}
	return "eventloop: " + e.Op + " " + e.Target + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *OpError) Unwrap() error { return e.Err }

package eventloop

// This file owns the errors that users of the loop may match.

import "errors"

// The errors for which the loop itself ends a connection, or opens none.
var (
	ErrTimeout  = errors.New("loop: connection not established in time")
	ErrEOF      = errors.New("loop: closed by the other side")
	ErrOverflow = errors.New("loop: the other side does not read")
	ErrBudget   = errors.New("loop: no descriptor left in the budget")
)

// ErrNotListening says that an inherited descriptor is no listening socket.
var ErrNotListening = errors.New("expected a listening socket")

// OpError is an operation on a descriptor that failed. It wraps the error of the system call, as a [unix.Errno].
type OpError struct {
	Op     string // what failed, such as "dial" or "read"
	Target string // on what, such as an address; "" for the connection that is notified of it
	Err    error
}

// Error implements error.
func (e *OpError) Error() string {
	if e.Target == "" {
		return "loop: " + e.Op + ": " + e.Err.Error()
	}
	return "loop: " + e.Op + " " + e.Target + ": " + e.Err.Error()
}

// Unwrap returns the error of the system call.
func (e *OpError) Unwrap() error { return e.Err }

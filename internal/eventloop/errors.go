package eventloop

// This file owns the errors that users of the loop may match.

import "errors"

// The errors for which the loop itself ends a connection, or opens none.
var (
	ErrTimeout  = errors.New("eventloop: connection not established in time")
	ErrEOF      = errors.New("eventloop: closed by the other side")
	ErrOverflow = errors.New("eventloop: the other side does not read")
	ErrBudget   = errors.New("eventloop: no descriptor left in the budget")
)

// ErrNotListening says that an inherited descriptor is no listening socket. It comes in an [OpError], whose text
// names the package.
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
		return "eventloop: " + e.Op + ": " + e.Err.Error()
	}
	return "eventloop: " + e.Op + " " + e.Target + ": " + e.Err.Error()
}

// Unwrap returns the error of the system call.
func (e *OpError) Unwrap() error { return e.Err }

package eventloop

// This file contains the errors that users of the package may match.

import "errors"

// Errors of connections. [Handler.Closed] receives [ErrTimeout], [ErrEOF], [ErrOverflow], an [OpError] if a system
// call failed, or the error that [Handler.Data] returned. [Loop.Dial] returns [ErrNoDescriptor] if the budget has no
// descriptor left. [Conn.CloseWrite] returns [ErrNotEstablished] or [ErrOutputLeft] if it cannot end the output.
var (
	ErrTimeout        = errors.New("eventloop: connection not established in time")
	ErrEOF            = errors.New("eventloop: closed by the other side")
	ErrOverflow       = errors.New("eventloop: too much unsent output: the other side does not read fast enough")
	ErrNotEstablished = errors.New("eventloop: connection not established")
	ErrOutputLeft     = errors.New("eventloop: the kernel has not accepted all output")
	ErrNoDescriptor   = errors.New("eventloop: no descriptor left in the budget")
)

// ErrNotListening means that an inherited descriptor is not a listening socket. Its text does not begin with
// "eventloop: ", because it is wrapped in an [OpError], whose text begins with this prefix.
var ErrNotListening = errors.New("expected a listening socket")

// OpError reports a failed operation. It wraps the cause, such as the [unix.Errno] of a failed system call.
type OpError struct {
	Op     string // operation that failed, such as "dial" or "read"
	Target string // object of the operation, such as an address; "" if none is given
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

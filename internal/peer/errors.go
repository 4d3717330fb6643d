package peer

// This file owns the errors about messages between orchestrators. The errors of Peers.Send are in stream.go.

import (
	"errors"
	"fmt"
)

// Reasons why a message between orchestrators is rejected.
var (
	ErrMalformed       = errors.New("peer: malformed message")
	ErrOtherCluster    = errors.New("peer: message from another cluster")
	ErrNoCommonVersion = errors.New("peer: no common protocol version")
)

// MessageError reports an invalid message from another orchestrator, or an outgoing message that is too long.
type MessageError struct {
	Reason error  // ErrMalformed, ErrOtherCluster or ErrNoCommonVersion
	Detail string // what is wrong or which message could not be decoded; may be empty if Cause is set
	Cause  error  // the error of the protobuf decoder, nil if the message is invalid for another reason
}

// Error returns the reason, followed by the detail, the cause or both.
func (e *MessageError) Error() string {
	switch {
	case e.Cause == nil:
		return fmt.Sprintf("%v: %s", e.Reason, e.Detail)
	case e.Detail == "":
		return fmt.Sprintf("%v: %v", e.Reason, e.Cause)
	}
	return fmt.Sprintf("%v: %s: %v", e.Reason, e.Detail, e.Cause)
}

// Unwrap returns the reason, and the cause if there is one.
func (e *MessageError) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Reason}
	}
	return []error{e.Reason, e.Cause}
}

// malformed returns a MessageError for ErrMalformed.
func malformed(format string, args ...any) error {
	return &MessageError{Reason: ErrMalformed, Detail: fmt.Sprintf(format, args...)}
}

// otherCluster returns a MessageError for ErrOtherCluster.
func otherCluster(want, got, sender string) error {
	return &MessageError{Reason: ErrOtherCluster, Detail: fmt.Sprintf("expected %q, got %.40q from %s", want, got, sender)}
}

// noCommonVersion returns a MessageError for ErrNoCommonVersion.
func noCommonVersion(format string, args ...any) error {
	return &MessageError{Reason: ErrNoCommonVersion, Detail: fmt.Sprintf(format, args...)}
}

package peer

// This file owns the errors about messages of other orchestrators. Those of Send are in stream.go.

import (
	"errors"
	"fmt"
)

// Why a message of another orchestrator is not taken.
var (
	ErrMalformed       = errors.New("peer: malformed message")
	ErrOtherCluster    = errors.New("peer: of another cluster")
	ErrNoCommonVersion = errors.New("peer: no version in common")
)

// MessageError says what is wrong with a message of another orchestrator.
type MessageError struct {
	Reason error  // ErrMalformed, ErrOtherCluster or ErrNoCommonVersion
	Detail string // what was expected, and what came
	Cause  error  // of the decoder, nil where it took the bytes
}

// Error is the reason, and the detail or the cause.
func (e *MessageError) Error() string {
	switch {
	case e.Cause == nil:
		return fmt.Sprintf("%v: %s", e.Reason, e.Detail)
	case e.Detail == "":
		return fmt.Sprintf("%v: %v", e.Reason, e.Cause)
	}
	return fmt.Sprintf("%v: %s: %v", e.Reason, e.Detail, e.Cause)
}

// Unwrap is the reason, and the cause.
func (e *MessageError) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Reason}
	}
	return []error{e.Reason, e.Cause}
}

// malformed is a MessageError for ErrMalformed.
func malformed(format string, args ...any) error {
	return &MessageError{Reason: ErrMalformed, Detail: fmt.Sprintf(format, args...)}
}

// otherCluster is a MessageError for ErrOtherCluster.
func otherCluster(want, got, sender string) error {
	return &MessageError{Reason: ErrOtherCluster, Detail: fmt.Sprintf("expected %q, got %.40q from %s", want, got, sender)}
}

// noCommonVersion is a MessageError for ErrNoCommonVersion.
func noCommonVersion(format string, args ...any) error {
	return &MessageError{Reason: ErrNoCommonVersion, Detail: fmt.Sprintf(format, args...)}
}

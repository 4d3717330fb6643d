package discovery

// This file owns the errors of responses of discovery.

import (
	"errors"
	"fmt"
)

// ErrResponse is wrapped by every error about a response of discovery.
var ErrResponse = errors.New("malformed response")

// ResponseError is the error of a response that is not in the form of HTTP/1.1, or beyond what is
// accepted of it. It wraps ErrResponse.
type ResponseError struct {
	Part   string // of the response, such as "status line" or "content-length"
	Reason string // what is wrong with it
	Value  string // what came, empty where it is the length that is wrong
}

// Error implements error. Of a long value it prints the beginning.
func (e *ResponseError) Error() string {
	if e.Value == "" {
		return fmt.Sprintf("%v: %s: %s", ErrResponse, e.Part, e.Reason)
	}
	return fmt.Sprintf("%v: %s: %s: %.40q", ErrResponse, e.Part, e.Reason, e.Value)
}

// Unwrap returns ErrResponse.
func (e *ResponseError) Unwrap() error { return ErrResponse }

// StatusError is the error of a response with another status than 200. It wraps ErrResponse.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%v: the command channel answered %d", ErrResponse, e.Status)
}

// Unwrap returns ErrResponse.
func (e *StatusError) Unwrap() error { return ErrResponse }

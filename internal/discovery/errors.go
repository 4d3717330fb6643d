package discovery

// This file owns the errors for invalid responses of discovery.

import (
	"errors"
	"fmt"
)

// ErrResponse is wrapped by every error of this package for an invalid response of discovery. If only the content of
// the body is invalid, the error is one of package config and does not wrap ErrResponse.
var ErrResponse = errors.New("invalid response")

// ResponseError is the error for a response that is malformed HTTP/1.1, exceeds a limit, or uses an unsupported
// feature of HTTP/1.1. It wraps ErrResponse.
type ResponseError struct {
	Part   string // the invalid part of the response, such as "status line" or "content-length"
	Reason string // the reason why the part is invalid
	Value  string // the invalid value; empty if the part is too long or missing
}

// Error implements error. It truncates the value to its first 40 characters.
func (e *ResponseError) Error() string {
	if e.Value == "" {
		return fmt.Sprintf("%v: %s: %s", ErrResponse, e.Part, e.Reason)
	}
	return fmt.Sprintf("%v: %s: %s: %.40q", ErrResponse, e.Part, e.Reason, e.Value)
}

// Unwrap returns ErrResponse.
func (e *ResponseError) Unwrap() error { return ErrResponse }

// StatusError is the error for a response whose status is not 200. It wraps ErrResponse.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%v: unexpected HTTP status %d from discovery", ErrResponse, e.Status)
}

// Unwrap returns ErrResponse.
func (e *StatusError) Unwrap() error { return ErrResponse }

package dispatch

// This file owns the content of a submission and its limits. It must never depend on the state of workers.

import (
	"fmt"
	"strings"
)

// Submission is the content of a request. Description and IdempotencyKey are opaque.
type Submission struct {
	RequestID, Class, Key string
	IdempotencyKey        string // "" if the client sent none
	Tenant                string // "" if the client named none
	ExpectedRunUs         int64  // expected run time in microseconds, 0 if unknown
	Retry                 bool   // the client states that it submitted the task before
	// Resumable is true if the client may repeat the submission when it has not read the response. A repeat
	// gets the response to the first submission and does not start the task again (see resume).
	Resumable     bool
	TimeoutUs     int64  // timeout of the client, measured from ReceivedAtUs
	ReceivedAtUs  int64  // earliest time at which the submission can have arrived; 0 means the time of the Submit call
	QueuedSinceUs int64  // time since which the client has been on the waitlist, proved by a retry token; 0 without one
	Rejections    int    // number of earlier rejections, proved by a retry token; 0 without one
	Connection    uint64 // number of the connection or session of the client, 0 if unknown
	Cores, Memory float64
	Program       uint64
	RunningOn     string // the worker that runs the task already, or ""
	Description   string
}

// The limits of a submission. A timeout of more than a day, a run time of more than a year or an amount of
// 1e9 or more is a mistake or an attack.
const (
	maxTimeoutUs     = int64(24 * 60 * 60 * second)
	maxExpectedRunUs = 366 * maxTimeoutUs
	maxResource      = 1e9 // exclusive upper bound of the number of cores, and of the memory in the settings' unit
	maxNameLength    = 64  // in bytes
	requestIDLength  = 16  // number of hexadecimal digits
)

const hexDigits = "0123456789abcdefABCDEF"

// ValidationError reports an invalid field of a submission. The name of the field does not depend on the front through
// which the submission arrived. Package clientfront uses the name in the text of its error, and package grpcfront uses
// it to look up the name of the field in its own protocol.
type ValidationError struct {
	Field string // name of the field, as set by Validate
	Want  string // description of a valid value
}

// Error returns a text with the field and what was expected of it.
func (e *ValidationError) Error() string {
	return fmt.Sprintf("dispatch: invalid %s: expected %s", e.Field, e.Want)
}

// Validate returns an error for the first invalid field of a submission, or nil. Fronts call it before Submit. Without
// this check, a worker would answer the offer of an invalid task with an error, and the scheduler would count this
// error against the worker.
func (s *Submission) Validate() *ValidationError {
	switch {
	case len(s.RequestID) != requestIDLength || strings.Trim(s.RequestID, hexDigits) != "":
		return &ValidationError{"tag", "16 hex digits"}
	case s.Key == "" || len(s.Key) > maxNameLength:
		return &ValidationError{"task", "a name of 1 to 64 bytes"}
	case s.Class == "" || len(s.Class) > maxNameLength:
		return &ValidationError{"class", "a name of 1 to 64 bytes"}
	case len(s.IdempotencyKey) > maxNameLength:
		return &ValidationError{"idem", "a key of 64 bytes at most"}
	case len(s.Tenant) > maxNameLength:
		return &ValidationError{"tenant", "a name of 64 bytes at most"}
	case s.ExpectedRunUs < 0 || s.ExpectedRunUs > maxExpectedRunUs:
		return &ValidationError{"hint", "a time of 0 or more, a year at most"}
	case !isValidResource(s.Cores):
		return &ValidationError{"cores", "a number above 0"}
	case !isValidResource(s.Memory):
		return &ValidationError{"memory", "a number above 0"}
	case s.RunningOn == "" && (s.TimeoutUs <= 0 || s.TimeoutUs > maxTimeoutUs):
		return &ValidationError{"wait", "a time above 0, a day at most"}
	}
	return nil
}

// isValidResource reports whether a task may request an amount of cores or memory. NaN is not valid.
func isValidResource(amount float64) bool { return amount > 0 && amount < maxResource }

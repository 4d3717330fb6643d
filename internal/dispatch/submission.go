package dispatch

// This file owns what a client may ask for, and its bounds. It must never look at a worker.

import (
	"fmt"
	"strings"
)

// Submission is the content of a request. Description and IdempotencyKey are opaque.
type Submission struct {
	RequestID, Class, Key string
	IdempotencyKey        string // the idempotency key, "" where workers of the class know none
	Tenant                string // "" where the deployment has none
	ExpectedRunUs         int64  // how long the task is expected to run, 0 where unknown
	Retry                 bool   // the client says that it submitted the task before
	// Resumable says that the client repeats a submission whose response it has not read: a
	// repeat of an open request or a running task gets that one's response.
	Resumable     bool
	TimeoutUs     int64  // how long the client waits from ReceivedAtUs on
	ReceivedAtUs  int64  // the earliest time at which it can have arrived, 0 for now
	QueuedSinceUs int64  // since when the client proved to be on the waitlist, 0 where it did not
	Rejections    int    // how often it was rejected before, as proved
	Connection    uint64 // the connection or session by which it came, 0 where unknown
	Cores, Memory float64
	Program       uint64
	RunningOn     string // the worker that runs the task already, or ""
	Description   string
}

// The bounds of what a client may ask for. A timeout longer than a day, a task of more than a year,
// or an amount above a thousand million, is a mistake or worse.
const (
	maxTimeoutUs     = int64(24 * 60 * 60 * second)
	maxExpectedRunUs = 366 * maxTimeoutUs
	maxResource      = 1e9 // cores, and memory in the unit of the settings
	maxNameLength    = 64  // bytes
	requestIDLength  = 16  // hexadecimal digits
)

const hexDigits = "0123456789abcdefABCDEF"

// ValidationError is a field of a submission that makes no sense. Fields go by fixed names that no single
// wire follows: both fronts take them from here, clientfront as the text of its error and grpcfront as the
// key of its own field.
type ValidationError struct {
	Field string // as Validate names it
	Want  string // what was expected of it
}

// Error returns the field and what was expected of it.
func (e *ValidationError) Error() string {
	return fmt.Sprintf("dispatch: invalid %s: expected %s", e.Field, e.Want)
}

// Validate returns the first field of a submission that makes no sense, or nil. Fronts ask before they
// submit: what no worker could use must reach none, as its error would count against the worker.
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

// isValidResource reports whether a task may ask for an amount; NaN it may not.
func isValidResource(amount float64) bool { return amount > 0 && amount < maxResource }

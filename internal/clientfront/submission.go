package clientfront

// This file owns the parsing of submission messages. It must never guess the meaning of a field: a value that it
// cannot parse is an error.

import (
	"math"
	"strconv"
	"strings"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/jsonlines"
)

// maxTimeMs is the upper bound, in milliseconds, to which longer times are clamped. Converted to microseconds, the
// bound fits into an int64. It also exceeds the longest time that the dispatcher accepts, so the dispatcher still
// rejects a clamped time.
const maxTimeMs = 1e12

// parseSubmission parses a client's submission. A non-nil error is a *fieldError.
func parseSubmission(message *jsonlines.Message) (dispatch.Submission, error) {
	submission := dispatch.Submission{
		RequestID:      message.Tag,
		Class:          message.Opt("class"),
		Key:            message.Opt("key"),
		IdempotencyKey: message.Opt("idem"),
		Tenant:         message.Opt("tenant"),
		Description:    message.Blob,
	}
	if err := parseExtras(&submission, message.Opt("extras")); err != nil {
		return submission, err
	}
	if err := parseHint(&submission, message.Opt("hint")); err != nil {
		return submission, err
	}
	if err := parseRetry(&submission, message.Opt("retry")); err != nil {
		return submission, err
	}
	// A submission for a task that is already running has no timeout, because its client does not wait for a response.
	if submission.RunningOn == "" {
		if err := parseTimeout(&submission, message.Opt("left")); err != nil {
			return submission, err
		}
	}
	if err := submission.Validate(); err != nil {
		return submission, &fieldError{Field: err.Field, Want: err.Want}
	}
	if !message.HasBlob {
		return submission, &fieldError{Field: "blob", Want: "a description"}
	}
	return submission, nil
}

// parseExtras parses name-value pairs such as "cores:1.5;memory:2". It ignores pairs with an unknown name.
func parseExtras(submission *dispatch.Submission, extras string) error {
	for pair := range strings.SplitSeq(extras, ";") {
		name, value, _ := strings.Cut(pair, ":")
		var err error
		switch name {
		case "cores":
			submission.Cores, err = strconv.ParseFloat(value, 64)
		case "memory":
			submission.Memory, err = strconv.ParseFloat(value, 64)
		case "service":
			submission.Program, err = strconv.ParseUint(value, 16, 64)
		case "at":
			submission.RunningOn = value
		}
		if err != nil {
			return &fieldError{Field: name, Value: value, Want: "a number"}
		}
	}
	return nil
}

// parseHint parses the expected run time of the task, in milliseconds. A time below -1 ms is clamped to -1 ms,
// which the dispatcher's validation still rejects.
func parseHint(submission *dispatch.Submission, hint string) error {
	if hint == "" {
		return nil
	}
	ms, err := strconv.ParseFloat(hint, 64)
	if err != nil || math.IsNaN(ms) {
		return &fieldError{Field: "hint", Value: hint, Want: "a number of milliseconds"}
	}
	submission.ExpectedRunUs = int64(min(max(ms, -1), maxTimeMs) * millisecond)
	return nil
}

// parseRetry parses the number of times that the client has submitted the task before.
func parseRetry(submission *dispatch.Submission, retry string) error {
	if retry == "" {
		return nil
	}
	count, err := strconv.ParseUint(retry, 10, 32)
	if err != nil {
		return &fieldError{Field: "retry", Value: retry, Want: "the number of earlier submissions"}
	}
	submission.Retry = count > 0
	return nil
}

// parseTimeout parses the timeout of the request, in milliseconds. A negative timeout is clamped to 0, which the
// dispatcher's validation rejects.
func parseTimeout(submission *dispatch.Submission, left string) error {
	ms, err := strconv.ParseFloat(left, 64)
	if err != nil || math.IsNaN(ms) {
		return &fieldError{Field: "left", Value: left, Want: "a number of milliseconds"}
	}
	submission.TimeoutUs = int64(min(max(ms, 0), maxTimeMs) * millisecond)
	return nil
}

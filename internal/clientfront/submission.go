package clientfront

// This file owns how the message of a submission is read. It must never guess what the client meant: what it can't
// read is an error.

import (
	"math"
	"strconv"
	"strings"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/jsonlines"
)

// maxTimeMs is what a longer time, in milliseconds, is read as: it fits the dispatcher's clock and is
// still longer than the dispatcher allows.
const maxTimeMs = 1e12

// parseSubmission reads what a client requests. The error is a *fieldError.
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
	if submission.RunningOn == "" { // else no response is waited for
		if err := parseLeft(&submission, message.Opt("left")); err != nil {
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

// parseExtras reads pairs such as "cores:1.5;memory:2". Those of unknown names are passed over.
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

// parseHint reads how long the task is expected to run.
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

// parseRetry reads how often the client submitted the task before.
func parseRetry(submission *dispatch.Submission, retry string) error {
	if retry == "" {
		return nil
	}
	count, err := strconv.ParseUint(retry, 10, 32)
	if err != nil {
		return &fieldError{Field: "retry", Value: retry, Want: "a number of submissions"}
	}
	submission.Retry = count > 0
	return nil
}

// parseLeft reads the timeout of the request.
func parseLeft(submission *dispatch.Submission, left string) error {
	ms, err := strconv.ParseFloat(left, 64)
	if err != nil || math.IsNaN(ms) {
		return &fieldError{Field: "left", Value: left, Want: "a number of milliseconds"}
	}
	submission.TimeoutUs = int64(min(max(ms, 0), maxTimeMs) * millisecond)
	return nil
}

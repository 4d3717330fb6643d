package grpcfront

// This file owns how an offer becomes a submission. It must never pass on an offer with an invalid field.

import (
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"

	"google.golang.org/grpc/codes"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/grpcfront/edgepb"
)

// maxDescription bounds the description of a task, in bytes; maxEscaped bounds it in a message to a worker,
// whose messages are bounded too.
const (
	maxDescription = 8 << 10
	maxEscaped     = maxDescription * 3 / 2
)

// protocolFields are the names in the protocol of the fields that dispatch.Submission checks.
var protocolFields = map[string]string{"tag": "offer_id", "task": "task", "class": "class", "cores": "cores",
	"memory": "memory", "wait": "wait_ms"}

// parseOffer reads an offer. It runs outside the loop and must not use the dispatcher. The error is a
// status.
func parseOffer(offer *edgepb.Offer) (dispatch.Submission, error) {
	submission := dispatch.Submission{
		RequestID:   offer.GetOfferId(),
		Class:       offer.GetClass(),
		Key:         offer.GetTask(),
		Cores:       offer.GetCores(),
		Memory:      offer.GetMemory(),
		Description: offer.GetDescription(),
		TimeoutUs:   int64(offer.GetWaitMs()) * 1000,
		Resumable:   true,
	}
	if err := checkSubmission(submission); err != nil {
		return submission, err
	}
	if !isDescription(submission.Description) {
		return submission, fieldStatus("description",
			fmt.Sprintf("expected at most %d bytes of UTF-8, few of them control characters", maxDescription))
	}
	if program := offer.GetService(); program != "" {
		var err error
		if submission.Program, err = strconv.ParseUint(program, 16, 64); err != nil {
			return submission, fieldStatus("service", "expected up to 16 hex digits")
		}
	}
	return submission, nil
}

// checkSubmission returns a status where a field of the submission is invalid.
func checkSubmission(submission dispatch.Submission) error {
	if submission.TimeoutUs == 0 {
		submission.TimeoutUs = 1 // the class's own timeout, or the call's deadline, comes in its place
	}
	if err := submission.Validate(); err != nil {
		return fieldStatus(protocolFields[err.Field], "expected "+err.Want)
	}
	return nil
}

// isDescription reports whether a text can be passed on to a worker.
func isDescription(text string) bool {
	return utf8.ValidString(text) && len(text) <= maxDescription && escapedLen(text) <= maxEscaped
}

// escapedLen is how long a text may become in a message to a worker, in bytes.
func escapedLen(text string) int {
	const escapedControl, escapedQuote = len(`\u0000`), len(`\"`)
	length := len(text)
	for i := 0; i < len(text); i++ {
		switch {
		case text[i] < ' ':
			length += escapedControl - 1
		case text[i] == '"' || text[i] == '\\':
			length += escapedQuote - 1
		}
	}
	return length
}

// submit hands a submission to the dispatcher. It runs on the loop. The error is a status.
func (f *Front) submit(client dispatch.Client, submission dispatch.Submission) error {
	class, known := f.dispatcher.Class(submission.Class)
	if !known {
		return fieldStatus("class", "unknown class")
	}
	if submission.TimeoutUs <= 0 {
		submission.TimeoutUs = class.TimeoutUs
	}
	switch err := f.dispatcher.Submit(f.loop.Now(), client, submission); {
	case err == nil:
		return nil
	case errors.Is(err, dispatch.ErrTerminating):
		return retryStatus(codes.Unavailable, "the task is just being ended", defaultRetryAfter)
	default:
		return errNameInUse
	}
}

package grpcfront

// This file owns the validation of offers and their conversion to submissions. Invariant: an offer with an
// invalid field never reaches the dispatcher.

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"

	"google.golang.org/grpc/codes"

	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/grpcfront/edgepb"
)

const (
	// maxDescription is the maximum size of the description of a task, in bytes.
	maxDescription = 8 << 10
	// maxEscaped is the maximum size of the description after JSON escaping, in bytes. It is limited because the
	// escaped description is part of a message to a worker, and the size of such a message is limited.
	maxEscaped = maxDescription * 3 / 2
)

// protocolFields maps the field names in the errors of dispatch.Submission.Validate to the names of the
// corresponding fields of edgepb.Offer.
var protocolFields = map[string]string{"tag": "offer_id", "task": "task", "class": "class", "cores": "cores",
	"memory": "memory", "wait": "wait_ms", "idem": "idempotency_key"}

// parseOffer validates an offer and converts it to a submission. It runs outside the event loop, so it must not
// use the dispatcher. The error is a gRPC status error.
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

		IdempotencyKey: offer.GetIdempotencyKey(),
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

// checkSubmission returns a gRPC status error if a field of the submission is invalid.
func checkSubmission(submission dispatch.Submission) error {
	if submission.TimeoutUs == 0 {
		// A timeout of 0 is valid in an offer but not for Validate, so it is replaced in this copy of the submission.
		// The caller's submission keeps the 0 until submitPlace sets the time left until the deadline of the call. If
		// there is no such deadline, the function submit sets the timeout of the class.
		submission.TimeoutUs = 1
	}
	if err := submission.Validate(); err != nil {
		return fieldStatus(protocolFields[err.Field], "expected "+err.Want)
	}
	return nil
}

// isDescription reports whether text is a valid description of a task: it is UTF-8, and its size is within
// the limits both before and after escaping.
func isDescription(text string) bool {
	return utf8.ValidString(text) && len(text) <= maxDescription && escapedLen(text) <= maxEscaped
}

// escapedLen returns an upper bound, in bytes, for the length of text after JSON escaping in a message to a worker. It
// counts six bytes for each control character, although some have a shorter escape sequence.
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

// derivedKey returns the idempotency key of a task whose client gives none. It is the same for all offers of the task, at any
// orchestrator and over time: a change of it would let a task run twice.
func derivedKey(class, task string) string {
	const bytes = 16 // as many as the keys of other clients have
	hash := sha256.Sum256([]byte("ravenhitch.edge.v1\x00" + class + "\x00" + task))
	return hex.EncodeToString(hash[:bytes])
}

// submit passes a submission to the dispatcher. If the submission has no timeout, it gets the timeout of its
// class. If it has no idempotency key and its class needs one, it gets one. submit runs on the event loop. The error is a gRPC status error.
func (f *Front) submit(client dispatch.Client, submission dispatch.Submission) error {
	class, known := f.dispatcher.Class(submission.Class)
	if !known {
		return fieldStatus("class", "unknown class")
	}
	if submission.TimeoutUs <= 0 {
		submission.TimeoutUs = class.TimeoutUs
	}
	if class.Keyed && submission.IdempotencyKey == "" {
		submission.IdempotencyKey = derivedKey(submission.Class, submission.Key)
	}
	switch err := f.dispatcher.Submit(f.loop.Now(), client, submission); {
	case err == nil:
		return nil
	case errors.Is(err, dispatch.ErrTerminating):
		return retryStatus(codes.Unavailable, "the task is just being ended", defaultRetryAfter)
	case errors.Is(err, dispatch.ErrTooManyRequests):
		return retryStatus(codes.ResourceExhausted, "too many requests and running tasks", defaultRetryAfter)
	default:
		return errNameInUse
	}
}

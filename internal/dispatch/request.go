package dispatch

// This file owns what is known of one request. It must never act on it.

import (
	"hash/fnv"
	"strconv"

	"ravenhitch/internal/backpressure"
	"ravenhitch/placement"
)

// request is one request, and the task that it started.
type request struct {
	Submission
	client     Client
	responseID string // the request ID under which its client knows it
	state      state
	keyHash    uint64
	classIndex int // in the settings, the last where the class is not there
	units      float64
	effect     placement.Effect
	deadline   int64
	wakeAt     int64 // when the dispatcher itself acts, or 0
	heapIndex  int   // in the deadline heap, or -1

	// The attempt that is open, or was last.
	attemptCount  int // of the request so far
	attemptNumber int // of this one, from 0
	worker        string
	sentAt        int64
	abandonAt     int64
	cancelOutcome placement.Outcome // cancelling: what the attempt counts as once the cancel is confirmed

	mayHaveRun bool // an attempt may have started
	firstRun   firstAttempt

	// The running task.
	startDescription string // what the worker said of the start, for a repeated submission
	adoptedAt        int64  // when it was submitted as already running, or 0
	// unaccountedSince is since when nobody accounts for the task, or 0: while it runs, since its worker
	// is unlisted; once it is unresponsive, since the end should have been reported.
	unaccountedSince int64
	claimedOutcome   placement.Outcome // adopted: of the completion that came before, where one did
	claimedCause     placement.Cause
}

// firstAttempt is the first attempt of a request that may have started, and when it was offered.
type firstAttempt struct {
	worker, zone string
	cell         int
	at           int64
}

// newRequest returns the request of a submission, not in the table yet.
func (d *Dispatcher) newRequest(client Client, s *Submission) *request {
	receivedAt := d.now
	if s.ReceivedAtUs > 0 {
		receivedAt = min(d.now, s.ReceivedAtUs)
	}
	r := &request{
		Submission: *s,
		client:     client,
		responseID: s.RequestID,
		state:      stateNew,
		keyHash:    keyHash(s.Key),
		classIndex: len(d.settings.Classes) - 1,
		units:      d.settings.Units(s.Cores, s.Memory),
		effect:     placement.Unsafe,
		deadline:   d.pacer.scheduleResponse(d.now, receivedAt+s.TimeoutUs),
		heapIndex:  -1,
	}
	if effect, ok := d.effects[s.Class]; ok {
		r.effect = effect
	}
	if i, ok := d.classIndex[s.Class]; ok {
		r.classIndex = i
	}
	return r
}

// keyHash is the number by which the scheduler knows a key: its value where it is hexadecimal.
func keyHash(key string) uint64 {
	if value, err := strconv.ParseUint(key, 16, 64); err == nil {
		return value
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(key)) // a hash never fails
	return h.Sum64()
}

// task is the request as the scheduler sees it.
func (r *request) task() placement.Task {
	return placement.Task{
		RequestID:     r.RequestID,
		KeyHash:       r.keyHash,
		DeadlineUs:    r.deadline,
		Cores:         r.Cores,
		Memory:        r.Memory,
		Class:         r.Class,
		Program:       r.Program,
		Tenant:        r.Tenant,
		ExpectedRunUs: r.ExpectedRunUs,
		HasRunHint:    r.ExpectedRunUs > 0,
		Retry:         r.Retry,
	}
}

// backpressureRequest is the request as the advisor sees it.
func (r *request) backpressureRequest() backpressure.Request {
	return backpressure.Request{
		Key:           r.keyHash,
		Program:       r.Program,
		Class:         r.classIndex,
		Units:         r.units,
		TimeoutUs:     r.TimeoutUs,
		QueuedSinceUs: r.QueuedSinceUs,
		Connection:    r.Connection,
	}
}

// runningSince is the earliest time at which the task may have started: when it was offered, or
// submitted as already running.
func (r *request) runningSince() int64 { return max(r.sentAt, r.adoptedAt) }

package dispatch

// This file owns the data of one request. Acting on requests is left to other files.

import (
	"hash/fnv"
	"strconv"

	"ravenhitch/internal/backpressure"
	"ravenhitch/placement"
)

// request is an entry of the request table: a submission, its state, its latest attempt and the task that this attempt
// started. A task that was submitted as already running also has an entry.
type request struct {
	Submission
	submitters
	state      state
	keyHash    uint64
	classIndex int     // index of the class in the settings; the last index if the class is not in them
	units      float64 // size of the task in units (see placement.Settings.Units)
	effect     placement.Effect
	deadline   int64 // time by which the final response is sent, in microseconds
	wakeAt     int64 // time at which the dispatcher acts on the request, in microseconds, 0 for never
	heapIndex  int   // index in the deadline heap, or -1

	// The open attempt, or the latest one if none is open.
	attemptCount  int          // attempts of the request so far, including blocked offers
	attemptNumber int          // number of the open or latest attempt, starting at 0
	priorOffers   []priorOffer // offers with this request ID that workers may have received
	worker        string
	sentAt        int64             // time of the offer, in microseconds
	abandonAt     int64             // time at which the attempt is cancelled if it is still open, in microseconds
	cancelOutcome placement.Outcome // in stateCancelling: outcome to report when the attempt ends

	mayHaveRun bool // the task may have started
	firstRun   firstAttempt

	// The running task.
	startDescription string // the worker's description of the task, for repeated submissions
	adoptedAt        int64  // time at which the task was submitted as already running, in microseconds, or 0
	// unaccountedSince is a time in microseconds. For a running task, it is the time since which lostTasks has found
	// the worker unlisted, or 0 if the worker was listed at the last check. If the worker is already unlisted when the
	// task is adopted, adopt sets a time after the adoption instead (see adoptedUnlistedTimeout). For an unresponsive
	// task, it is the time since which the report of the task's end is overdue.
	unaccountedSince int64
	// claimedOutcome is, for an adopted task, the outcome of a completion that its worker reported before the
	// adoption.
	claimedOutcome placement.Outcome
	claimedCause   placement.Cause
}

// firstAttempt describes the attempt that may have started the task. If there are several, it describes the first.
type firstAttempt struct {
	worker, zone string
	cell         int
	at           int64 // time of the offer, in microseconds
}

// newRequest returns the request of a submission. The caller inserts it into the table.
func (d *Dispatcher) newRequest(s *Submission) *request {
	receivedAt := d.now
	if s.ReceivedAtUs > 0 {
		receivedAt = min(d.now, s.ReceivedAtUs)
	}
	r := &request{
		Submission:  *s,
		state:       stateNew,
		keyHash:     keyHash(s.Key),
		classIndex:  len(d.settings.Classes) - 1,
		units:       d.settings.Units(s.Cores, s.Memory),
		effect:      placement.Unsafe,
		deadline:    d.pacer.scheduleResponse(d.now, receivedAt+s.TimeoutUs),
		heapIndex:   -1,
		priorOffers: d.history.offersOf(s.RequestID),
	}
	if effect, ok := d.effects[s.Class]; ok {
		r.effect = effect
	}
	if r.effect == placement.Keyed && s.IdempotencyKey == "" {
		r.effect = placement.Unsafe // workers recognise a repeat by the key alone
	}
	if i, ok := d.classIndex[s.Class]; ok {
		r.classIndex = i
	}
	return r
}

// keyHash returns the number by which the scheduler and the advisor identify a key: the value of the key if it is a
// hexadecimal number of at most 64 bits, and a hash of the key otherwise.
func keyHash(key string) uint64 {
	if value, err := strconv.ParseUint(key, 16, 64); err == nil {
		return value
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(key)) // Write on a hash never returns an error
	return h.Sum64()
}

// task returns the properties of the request for the scheduler, except QueuedSinceUs (see enqueue).
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
		Unkeyed:       r.IdempotencyKey == "",
	}
}

// backpressureRequest returns the properties of the request for the advisor.
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

// predates reports whether the task was started in an earlier process of its worker than the one that started at startUs.
// No skew is allowed for an adopted task: its client hands it over only after the orchestrator that offered it has ended,
// which takes longer than any skew.
func (r *request) predates(startUs int64) bool {
	if r.adoptedAt > 0 {
		return r.adoptedAt < startUs
	}
	return r.sentAt < startUs-restartSkew
}

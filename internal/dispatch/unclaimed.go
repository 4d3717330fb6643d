package dispatch

// This file owns the unclaimed completions: those of tasks which are not known here. A client submits
// a running task again after its orchestrator has gone, and a worker reports the completion on any
// connection meanwhile, once: one that comes first would leave the task running for ever in the table.
// It must never end a task that its worker did not name by its request ID.

import "ravenhitch/placement"

const (
	// unclaimedRetention is how long such a completion is remembered: longer than clients take to
	// notice that an orchestrator is gone.
	unclaimedRetention = 60 * second
	// maxUnclaimed bounds them: the oldest are evicted.
	maxUnclaimed = 4096
)

// unclaimedCompletion is the completion of a task that nobody has submitted here.
type unclaimedCompletion struct {
	worker  string
	outcome placement.Outcome
	cause   placement.Cause
	at      int64
}

// unclaimedCompletions are such completions by request ID.
type unclaimedCompletions struct {
	byRequestID map[string]unclaimedCompletion
	order       []string // request IDs, oldest first
}

func newUnclaimedCompletions() unclaimedCompletions {
	return unclaimedCompletions{byRequestID: map[string]unclaimedCompletion{}}
}

// UnknownTaskEnded takes a worker's report that a task has ended which is not known here.
func (d *Dispatcher) UnknownTaskEnded(now int64, worker, requestID string, outcome placement.Outcome, cause placement.Cause) {
	if isTaskOutcome(outcome) {
		d.unclaimed.add(requestID, unclaimedCompletion{worker, outcome, cause, now})
	}
}

// add remembers a completion; the first of a request ID counts.
func (u *unclaimedCompletions) add(requestID string, completion unclaimedCompletion) {
	if _, known := u.byRequestID[requestID]; known {
		return
	}
	u.evict(completion.at)
	u.byRequestID[requestID] = completion
	u.order = append(u.order, requestID)
}

// evict drops what is too old, and the oldest where the limit is reached.
func (u *unclaimedCompletions) evict(now int64) {
	evicted := 0
	for evicted < len(u.order) {
		oldest := u.order[evicted]
		isFull := len(u.order)-evicted >= maxUnclaimed
		if !isFull && now-u.byRequestID[oldest].at <= unclaimedRetention {
			break
		}
		delete(u.byRequestID, oldest)
		evicted++
	}
	u.order = u.order[evicted:]
}

// claimCompletion ends an adopted task, at the next turn, where its worker has reported its
// completion before.
func (d *Dispatcher) claimCompletion(r *request) {
	completion, ok := d.unclaimed.byRequestID[r.RequestID]
	if !ok || completion.worker != r.worker || d.now-completion.at > unclaimedRetention {
		return
	}
	d.log.Info("adopted task already completed", "request_id", r.RequestID, "worker", r.worker)
	r.claimedOutcome, r.claimedCause = completion.outcome, completion.cause
	d.arm(r, d.now+1)
}

package dispatch

// This file owns the completions that an earlier process of this orchestrator owes to its clients. A task that ends while
// no process runs is reported by its worker to the next one, which does not know it. No client submits it, as its worker no
// longer holds it. Its completion is therefore passed on without a submission. This file must never pass on an end that
// belongs to a request of this process.

import (
	"github.com/cespare/xxhash/v2"

	"ravenhitch/placement"
)

const (
	// inheritedTime is the time after the first list of workers in which workers report the ends of tasks of an earlier
	// process. Later reports are taken for repeats.
	inheritedTime = 12 * second
	// claimTimeout is the time after which an unclaimed completion of a task of an earlier process is passed on. Clients
	// submit their running tasks as soon as the process answers, and are to be notified within 1 s.
	claimTimeout = 300 * millisecond
	// requestFilterBits is the size of a requestFilter. With 2,000 requests, it takes one unknown ID in 1,100 for a known one.
	requestFilterBits = 1 << 17
)

// inheritance holds the completions that are to be passed on, and tells the requests of this process from others.
type inheritance struct {
	clients     Client // gets the completions; nil if there are no clients of an earlier process
	firstListAt int64  // time at which the first list of workers was received, 0 before that
	owed        []owedCompletion
	ownRequests *requestFilter // request IDs that this process has had in its table; nil once inheritedTime is over
	hasEarlier  bool           // a client or a worker named a task of an earlier process
}

// requestFilter is a Bloom filter of request IDs, in memory of fixed size. It may take an unknown ID for a known one.
type requestFilter [requestFilterBits / 64]uint64

// positions returns the numbers of the two bits of a request ID.
func (f *requestFilter) positions(requestID string) [2]uint64 {
	hash := xxhash.Sum64String(requestID)
	return [2]uint64{hash % requestFilterBits, hash >> 32 % requestFilterBits}
}

func (f *requestFilter) add(requestID string) {
	for _, bit := range f.positions(requestID) {
		f[bit/64] |= 1 << (bit % 64)
	}
}

func (f *requestFilter) has(requestID string) bool {
	for _, bit := range f.positions(requestID) {
		if f[bit/64]&(1<<(bit%64)) == 0 {
			return false
		}
	}
	return true
}

// owedCompletion is a completion that is passed on at a time.
type owedCompletion struct {
	workerTask
	at int64
}

// SetEarlierClients sets the client that gets the completions of tasks that clients of an earlier process believe to run.
func (d *Dispatcher) SetEarlierClients(clients Client) { d.inherited.clients = clients }

// recordOwn records that a request of this process has a request ID.
func (h *inheritance) recordOwn(requestID string) {
	if h.ownRequests != nil {
		h.ownRequests.add(requestID)
	}
}

// isOwn reports whether a request ID may belong to a request of this process.
func (h *inheritance) isOwn(requestID string) bool {
	return h.ownRequests == nil || h.ownRequests.has(requestID)
}

// isOver reports whether the time is over in which workers report the ends of tasks of an earlier process.
func (h *inheritance) isOver(now int64) bool {
	return h.firstListAt > 0 && now-h.firstListAt > inheritedTime
}

// observe records that a client or a worker named a task that is running or has run. If no request of this process has its
// request ID, an earlier process placed it.
func (h *inheritance) observe(requestID string) {
	h.hasEarlier = h.hasEarlier || !h.isOwn(requestID)
}

// InheritsTasks reports whether workers may keep completions that an earlier process of this orchestrator owes to its clients:
// a client or a worker has named a task of such a process, and this process started inheritedTime ago at most.
func (d *Dispatcher) InheritsTasks(now int64) bool {
	return d.inherited.hasEarlier && d.inherited.firstListAt > 0 && !d.inherited.isOver(now)
}

// expire forgets the requests of this process once inheritedTime is over.
func (h *inheritance) expire(now int64) {
	if h.isOver(now) {
		h.ownRequests = nil
	}
}

// add adds a completion that a worker has reported, unless it belongs to a request of this process or is owed to nobody: the
// end of a task that an orchestrator has cancelled or released.
func (h *inheritance) add(task workerTask, completion unclaimedCompletion) {
	h.expire(completion.at)
	if h.clients != nil && completion.outcome != placement.Cancelled && !h.isOwn(task.requestID) {
		h.owed = append(h.owed, owedCompletion{task, completion.at + claimTimeout})
	}
}

// nextAt returns the time at which the next completion is passed on, or 0 if there is none.
func (h *inheritance) nextAt() int64 {
	if len(h.owed) == 0 {
		return 0
	}
	return h.owed[0].at
}

// passOn passes on the completions whose tasks no client has claimed in time. They are still kept for claims.
func (d *Dispatcher) passOn() {
	h := &d.inherited
	for len(h.owed) > 0 && h.owed[0].at <= d.now {
		owed := h.owed[0]
		h.owed = h.owed[1:]
		completion := d.unclaimed.byTask[owed.workerTask]
		if completion == nil || h.isOwn(owed.requestID) { // it was evicted, or its task was submitted
			continue
		}
		h.recordOwn(owed.requestID) // several workers may report ends for one request ID
		d.log.Info("passing on completion of an earlier process", "request_id", owed.requestID, "worker", owed.worker)
		d.inherited.clients.Respond(Response{Kind: Completed, RequestID: owed.requestID, Outcome: completion.outcome,
			Cause: completion.cause, Worker: owed.worker})
	}
}

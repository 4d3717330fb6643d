package dispatch

// This file owns the interface to the worker pool. It must not contain behaviour.

// Offer is the content of an offer to a worker.
type Offer struct {
	RequestID, Class, Key, IdempotencyKey string
	TimeoutUs                             int64 // time for the worker to answer, in microseconds
	Description                           string
	// AfterConnection is the number of the latest connection on which the worker rejected an earlier offer of the
	// request, or 0. The offer must be sent on a connection with a higher number.
	AfterConnection uint64
}

// CancelState states what is known of an attempt once its cancel was requested.
type CancelState int

// The states of a cancel.
const (
	CancelUnconfirmed CancelState = iota // the attempt may still be open
	CancelConfirmed                      // the attempt is over
	OfferWithdrawn                       // the attempt is over, and its offer never left this process
)

// WorkerPool sends offers, cancels, releases and probes to workers. It reports the results by calls of methods of
// Dispatcher, such as AttemptAccepted, TaskEnded, CancelConfirmed and ProbeAnswered, but must not do so during a call
// of one of its own methods.
type WorkerPool interface {
	Offer(worker string, offer Offer)
	// CancelAttempt cancels an offer that was not answered, and returns what is known of the attempt then. The cancel is
	// sent before any later offer. mayRetry states that another attempt may follow. In a deployment that does not allow
	// pings, nothing confirms a cancel. In such a deployment, the result is CancelConfirmed once the cancel is sent, if
	// mayRetry is false. If the result is CancelUnconfirmed, Dispatcher.CancelConfirmed or Dispatcher.TaskEnded is called
	// once the attempt is over.
	CancelAttempt(worker, requestID string, mayRetry bool) CancelState
	// Release requests a worker to end a running task.
	Release(worker, requestID string)
	// CancelRelease withdraws the release of a task that its client wants to run on, unless the worker has received it.
	CancelRelease(worker, requestID string)
	// Probe asks a worker to respond. ProbeAnswered receives the result.
	Probe(worker string)
}

package placement

// This file defines the actions that a scheduler returns. It must not carry them out.

// Action is an output of a [Scheduler]; its dynamic type is one of the types below.
type Action interface{ action() }

// The types of Action. The caller carries actions out in the order in which they are returned.
type (
	// Place offers a task to a worker. The caller abandons the attempt if the worker has not answered by
	// the time AbandonAtUs, in microseconds.
	Place struct {
		RequestID, Worker string
		AbandonAtUs       int64
	}
	// Reject is the final response to a request whose client may safely submit it again. The caller
	// determines the Retry-After, if any.
	Reject struct{ RequestID string }
	// Fail is the final response to a request whose client cannot safely submit it again, because the
	// task may have run.
	Fail struct{ RequestID string }
	// Migrate ends a running task and lets its client submit it again.
	Migrate struct{ RequestID string }
	// Abandon ends a running task that has probably ended, because nobody may ever report its end.
	Abandon struct{ RequestID, Reason string }
	// Probe asks a worker for its load.
	Probe struct{ Worker string }
	// WatchWorkers requests changes to the list of workers from discovery. A scheduler always sets Active.
	WatchWorkers struct{ Active bool }
	// RefreshWorkers requests a complete list of workers from discovery.
	RefreshWorkers struct{}
	// CancelAttempt cancels an attempt of a request. Attempts are numbered from 0.
	CancelAttempt struct {
		RequestID string
		Attempt   int
	}
	// SetTimer requests a [TimerFired] with the same Ref after OffsetUs microseconds.
	SetTimer struct {
		OffsetUs int64
		Ref      string
	}
	// Log writes a line to the log.
	Log struct{ Text string }
)

func (Place) action()          {}
func (Reject) action()         {}
func (Fail) action()           {}
func (Migrate) action()        {}
func (Abandon) action()        {}
func (Probe) action()          {}
func (WatchWorkers) action()   {}
func (RefreshWorkers) action() {}
func (CancelAttempt) action()  {}
func (SetTimer) action()       {}
func (Log) action()            {}

package placement

// This file owns the actions that a scheduler returns. It must never carry one out.

// Action is something that the scheduler does; one of the types below.
type Action interface{ action() }

// Actions, to be taken in the order in which they are returned.
type (
	// Place sends an offer to a worker, and abandons the attempt at a time.
	Place struct {
		RequestID, Worker string
		AbandonAtUs       int64
	}
	// Reject responds that a retry is harmless. The caller adds the Retry-After.
	Reject struct{ RequestID string }
	// Fail responds that the task may have run.
	Fail struct{ RequestID string }
	// Migrate ends a running task, whose client submits it again.
	Migrate struct{ RequestID string }
	// Probe asks a worker for its load.
	Probe struct{ Worker string }
	// WatchWorkers polls discovery for changes of the list.
	WatchWorkers struct{ Active bool }
	// RefreshWorkers asks discovery for a complete list.
	RefreshWorkers struct{}
	// CancelAttempt calls an attempt off.
	CancelAttempt struct {
		RequestID string
		Attempt   int
	}
	// SetTimer asks for a TimerFired after a time.
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
func (Probe) action()          {}
func (WatchWorkers) action()   {}
func (RefreshWorkers) action() {}
func (CancelAttempt) action()  {}
func (SetTimer) action()       {}
func (Log) action()            {}

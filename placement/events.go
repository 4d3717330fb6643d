package placement

// This file owns the events that a scheduler is given, and what they say of workers and tasks. It must
// never decide anything.

// WorkerState is what the list says of a worker.
type WorkerState int

// The states of a worker.
const (
	Ready WorkerState = iota
	Draining
	Removed
	// Foreign is listed and ready, and assigned to another orchestrator: it gets no offer here,
	// and tasks that run there stay.
	Foreign
)

// Entry is one worker of a list.
type Entry struct {
	Worker                string
	Kind, Zone            string
	Cell                  int
	StartedAtUs           int64 // 0: long ago
	State                 WorkerState
	FreeCores, FreeMemory float64 // not requested; below 0 where more was accepted; may be old if Foreign
	// Uncordoned says that operators uncordoned it just now: it is to be used again.
	Uncordoned bool
}

// ListKind says how a [WorkerList] changes the present list.
type ListKind int

// The kinds of list.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // complete
	ListCached                 // complete, from a cache, perhaps stale
	ListFailed                 // a poll failed or the subscription broke
)

// Outcome is how an attempt, or a probe, ended.
type Outcome int

// The outcomes.
const (
	Completed     Outcome = iota + 1 // the task has ended
	Failed                           // an error; it may have started
	Rejected                         // it never ran
	TimedOut                         // no answer; it may have been accepted
	ConnectFailed                    // the worker was never reached
	Reset                            // lost, or the answer was cut off
	Cancelled                        // by this orchestrator
	NeverSent                        // the offer did not leave
)

// neverStarted reports whether the outcome of an attempt says that the task never ran.
func (o Outcome) neverStarted() bool { return o == Rejected || o == ConnectFailed || o == NeverSent }

// Cause is why an attempt ended, as the worker says.
type Cause int

// The causes.
const (
	CauseUnknown Cause = iota
	CauseCores
	CauseMemory
	CauseQueue
	CauseWrongWorker
	CauseEvicted
	CausePreempted
	CauseDrained
)

// EndsTask reports whether only a task that its worker had accepted can end for the cause.
func (c Cause) EndsTask() bool { return c == CauseEvicted || c == CausePreempted || c == CauseDrained }

// ReportKind is what a [TaskReport] says of a running task.
type ReportKind int

// The kinds of report.
const (
	ReportRunning        ReportKind = iota + 1
	ReportCores                     // cores it uses
	ReportMemory                    // memory it uses
	ReportService                   // part of full service that it gets
	ReportMemoryPressure            // part of its worker's memory in use
)

// Load is a worker's report of itself. A value that was not reported is NaN.
type Load struct {
	FreeCores, FreeMemory, Utilization, Queued float64
}

// Task is what a request, or an adopted task, says of itself.
type Task struct {
	RequestID     string
	KeyHash       uint64
	DeadlineUs    int64
	Cores, Memory float64
	Class         string
	ExpectedRunUs int64 // expected run time; meaningful if HasRunHint
	HasRunHint    bool
	Retry         bool  // it came again after a rejection, failure, migration or loss
	QueuedSinceUs int64 // since when its client waits; 0: since now
	Tenant        string
	Program       uint64
}

// Event is something that happened; one of the types below.
type Event interface{ event() }

// Events.
type (
	// WorkerList is a list of workers from discovery, or a change of one.
	WorkerList struct {
		Kind    ListKind
		Entries []Entry
	}
	// Request is a request that arrived.
	Request struct{ Task }
	// Adopted is a running task that its client registered again after a restart.
	Adopted struct {
		Task
		Worker string
	}
	// Accepted says that a worker accepted an attempt.
	Accepted struct {
		RequestID string
		Attempt   int
		Worker    string
		RTTUs     int64
	}
	// AttemptEnded says that an attempt ended, or the running task that it became. No further
	// attempt follows if it is final.
	AttemptEnded struct {
		RequestID string
		Attempt   int
		Worker    string
		Outcome   Outcome
		Cause     Cause
		Final     bool
		RTTUs     int64
	}
	// TaskReport is a report of a running task.
	TaskReport struct {
		RequestID string
		Attempt   int
		Worker    string
		Kind      ReportKind
		Value     float64
	}
	// ProbeResult is the answer to a [Probe], or says that there is none.
	ProbeResult struct {
		Worker  string
		Outcome Outcome
		RTTUs   int64
		Load    Load
	}
	// WorkerReachable says that a worker took a connection after one to it had failed or got no
	// answer.
	WorkerReachable struct{ Worker string }
	// WorkerUnreachable says that no connection to a worker is up and that the last one failed: it was
	// refused or reset, did not come up in time, or carried nothing back. WorkerReachable follows once
	// one is up.
	WorkerUnreachable struct{ Worker string }
	// Backpressure says at what rate capacity becomes free while tasks wait for it, in units a
	// second (see Settings.Units), 0 where that is not known or nothing waits; and how many units
	// each class is to leave to those of more weight that are on their way.
	Backpressure struct {
		ReleaseRate float64
		Reserved    []float64 // by class, or nil
	}
	// TimerFired says that the time of a [SetTimer] has come.
	TimerFired struct{ Ref string }
	// ClientCancelled says that a client no longer wants its request.
	ClientCancelled struct{ RequestID string }
)

func (WorkerList) event()        {}
func (Request) event()           {}
func (Adopted) event()           {}
func (Accepted) event()          {}
func (AttemptEnded) event()      {}
func (TaskReport) event()        {}
func (ProbeResult) event()       {}
func (WorkerReachable) event()   {}
func (WorkerUnreachable) event() {}
func (Backpressure) event()      {}
func (TimerFired) event()        {}
func (ClientCancelled) event()   {}

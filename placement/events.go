package placement

// This file defines the events that a scheduler takes, and the data about workers and tasks in these
// events. It must not make decisions.

// WorkerState is the state of a worker in a list.
type WorkerState int

// The states of a worker.
const (
	Ready WorkerState = iota
	Draining
	Removed
	// Foreign is the state of a worker that is ready but assigned to another orchestrator. A foreign
	// worker gets no offers from this orchestrator, and the tasks that run on the worker stay there.
	Foreign
)

// Entry is the entry of one worker in a list.
type Entry struct {
	Worker      string
	Kind, Zone  string
	Cell        int
	StartedAtUs int64 // time of the worker's start; 0 if it started long ago
	State       WorkerState
	// FreeCores and FreeMemory are the part of the worker's capacity that its tasks have not requested.
	// They are negative if the worker is overcommitted, and may be outdated if State is Foreign.
	FreeCores, FreeMemory float64
	// Uncordoned is true in the first ready entry of a worker after operators uncordoned it.
	Uncordoned bool
}

// ListKind is the kind of a [WorkerList], which determines how it changes the current list.
type ListKind int

// The kinds of list.
const (
	ListDelta  ListKind = iota // contains only changed entries
	ListFull                   // complete
	ListCached                 // complete, from a cache, possibly stale
	ListFailed                 // no list: a poll failed or the subscription broke
)

// Outcome is the result of an attempt or a probe.
type Outcome int

// The outcomes.
const (
	Completed     Outcome = iota + 1 // the task completed, or the probe succeeded
	Failed                           // the attempt or probe ended with an error; the task may have started
	Rejected                         // the worker rejected the offer; the task never ran
	TimedOut                         // no answer; the worker may have accepted the task
	ConnectFailed                    // no connection to the worker; the task never ran
	Reset                            // the task ended early (see Cause), or its connection was lost
	Cancelled                        // cancelled or released by this orchestrator
	NeverSent                        // the offer did not leave this orchestrator
)

// neverStarted reports whether the outcome of an attempt implies that the task never ran.
func (o Outcome) neverStarted() bool { return o == Rejected || o == ConnectFailed || o == NeverSent }

// Cause is the reason that a worker gives for the end of an attempt or of a running task.
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

// EndsTask reports whether the cause applies only to tasks that their worker had accepted.
func (c Cause) EndsTask() bool { return c == CauseEvicted || c == CausePreempted || c == CauseDrained }

// ReportKind is the kind of a [TaskReport], which determines the meaning of its value.
type ReportKind int

// The kinds of report.
const (
	ReportRunning        ReportKind = iota + 1 // the task started to run; no value
	ReportCores                                // cores that the task uses
	ReportMemory                               // memory that the task uses
	ReportService                              // fraction of full service that the task gets
	ReportMemoryPressure                       // used fraction of its worker's memory
)

// Load is the load that a worker reports: its free capacity, the used fraction of its cores, and the number
// of offers and starts in its queue. For the meaning of the free capacity, see Settings.ReportsUsage. A
// value that the worker did not report is NaN.
type Load struct {
	FreeCores, FreeMemory, Utilization, Queued float64
}

// Task holds the properties of a request or of an adopted task.
type Task struct {
	RequestID     string
	KeyHash       uint64
	DeadlineUs    int64
	Cores, Memory float64
	Class         string
	ExpectedRunUs int64 // expected run time; valid if HasRunHint
	HasRunHint    bool
	Retry         bool  // resubmitted after a rejection, failure, migration or loss
	QueuedSinceUs int64 // time at which the client started to wait; 0: now
	Tenant        string
	Program       uint64
	// Unkeyed is true if the client gave no idempotency key. Without one, workers cannot discard repeats of the task, even if its
	// class is Keyed.
	Unkeyed bool
	// MayHaveRunOn names the workers on which an earlier request with this ID may have run.
	MayHaveRunOn []string
}

// Event is an input of a [Scheduler]; its dynamic type is one of the types below.
type Event interface{ event() }

// The types of Event.
type (
	// WorkerList is a complete list of workers from discovery, a list of changes, or the report that no
	// list could be obtained (see ListKind).
	WorkerList struct {
		Kind    ListKind
		Entries []Entry
	}
	// Request reports that a client submitted a request.
	Request struct{ Task }
	// Adopted is a running task that its client registered with this orchestrator, for example after a
	// restart of the orchestrator.
	Adopted struct {
		Task
		Worker string
	}
	// Accepted reports that a worker accepted an attempt.
	Accepted struct {
		RequestID string
		Attempt   int
		Worker    string
		RTTUs     int64
	}
	// AttemptEnded reports the end of an attempt, or of the running task that the attempt became. If
	// Final is true, no further attempt of the request follows.
	AttemptEnded struct {
		RequestID string
		Attempt   int
		Worker    string
		Outcome   Outcome
		Cause     Cause
		Final     bool
		RTTUs     int64
	}
	// TaskReport is a report about a running task.
	TaskReport struct {
		RequestID string
		Attempt   int
		Worker    string
		Kind      ReportKind
		Value     float64
	}
	// ProbeResult is the result of a [Probe]. Load is valid only if Outcome is Completed.
	ProbeResult struct {
		Worker  string
		Outcome Outcome
		RTTUs   int64
		Load    Load
	}
	// WorkerReachable reports that a worker accepted a connection after an earlier connection had failed
	// or had carried no answer.
	WorkerReachable struct{ Worker string }
	// WorkerUnreachable reports that no connection to a worker is open and that the last connection
	// failed: it was refused or reset, was not established in time, or carried no data back.
	// WorkerReachable follows once a connection is open.
	WorkerUnreachable struct{ Worker string }
	// ProcessUncertain reports that the process of a worker may have been replaced by another one, with which its tasks have
	// ended: the process that answers now was first reached at BeforeUs, and no connection shows that it is the one that was
	// last heard at SinceUs. ConnectionsLost is true if connections ended or were refused, as they are when a process ends.
	// Otherwise the worker was only silent.
	ProcessUncertain struct {
		Worker            string
		SinceUs, BeforeUs int64
		ConnectionsLost   bool
	}
	// AdoptionUncertain reports that an adopted task may have ended before its adoption, with an earlier process of its
	// worker.
	AdoptionUncertain struct{ RequestID string }
	// Backpressure reports the release rate and the reserved units. ReleaseRate is the capacity that
	// becomes free while tasks wait for it, in units per second (see Settings.Units). It is 0 if the
	// rate is not known or no task waits. Reserved holds, for each class, the number of units that
	// the class must leave free for expected tasks of classes with more weight.
	Backpressure struct {
		ReleaseRate float64
		Reserved    []float64 // by class, or nil
	}
	// TimerFired reports that the timer of the [SetTimer] with the same Ref has expired.
	TimerFired struct{ Ref string }
	// ClientCancelled reports that a request ended without a final response from the scheduler, usually
	// because its client cancelled it.
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
func (ProcessUncertain) event()  {}
func (AdoptionUncertain) event() {}
func (Backpressure) event()      {}
func (TimerFired) event()        {}
func (ClientCancelled) event()   {}

package placement

// This file owns the interface: settings, events and actions. It must never decide anything.

// Effect says what repeating a task of a class may do.
type Effect int

// The kinds of effect.
const (
	Safe   Effect = iota + 1 // may run any number of times
	Keyed                    // workers of a group discard repeats for a while
	Unsafe                   // must never run twice
)

// Scope names the workers that something holds for: a group that discards repeats, or a
// domain in which tasks of a program are counted.
type Scope int

// The scopes.
const (
	ScopeNone Scope = iota
	ScopeMachine
	ScopeCell
	ScopeZone
	ScopeAll
)

// Class describes one class of tasks.
type Class struct {
	Name            string
	Effect          Effect
	Group           Scope   // Keyed: ScopeAll, ScopeZone or ScopeCell
	WindowUs        int64   // Keyed: how long a group discards repeats
	ObjectiveUs     int64   // latency objective: a start within this time earns the full weight
	DeadlineUs      int64   // how long a client waits
	Weight          float64 // of one second of full service at mean size
	StartBonusS     float64 // a start in time is worth so many seconds of service
	Kind            int     // index of the kind of worker required, or -1
	Spread          Scope   // domain in which tasks of one program are counted, or ScopeNone
	MaxPerDomain    int     // tasks of one program in one such domain
	SaturationLoad  float64 // part of cores in use up to which service is full
	SaturationRange float64 // there is no service at SaturationLoad+SaturationRange
}

// Kind describes one kind of worker.
type Kind struct {
	Name   string
	Cores  float64
	Memory float64
}

// Tenant describes one tenant and its quota of the requested cores.
type Tenant struct {
	Name       string
	QuotaCores float64
}

// Settings are what a scheduler is given when it is created.
type Settings struct {
	SelfIndex, FleetSize int // this scheduler's number, and how many there are
	Zone                 string
	Classes              []Class
	Kinds                []Kind
	Tenants              []Tenant
	OverQuotaWeight      float64 // weight of a task beyond its tenant's quota, as a part

	PollsDiscovery     bool // discovery answers only when polled
	PollWithinUs       int64
	HasView            bool // list entries have the free capacity
	AcceptMeansRunning bool // Accepted means running, not merely accepted
	Probes             bool // Probe is permitted, and reports what the scheduler can use
	Pings              bool // workers may be sent pings at all
	RetryAfter         bool // rejected clients may be given a Retry-After
	Cancel             bool // CancelAttempt is permitted
	ReportsUsage       bool // reports have what is not used rather than what is not requested
	ReportsFree        bool // reports of probes have the free capacity (x0 and x1)

	CoresOvercommit  float64 // workers accept up to this multiple of their cores
	MemoryOvercommit float64 // and of their memory
	UnitCores        float64 // a task's size is the mean of cores over this
	UnitMemory       float64 // and of memory over this
	MaxAttempts      int     // attempts for each request; 0: unlimited

	MigrationCost float64 // of migrating each task once, as a part of all weight

	AnswerSlackUs     int64
	DrainGraceUs      int64
	ColdStartRate     float64 // rate of starts on a worker that just started, over that of a warm one
	WarmUpUs          int64   // a worker is warm so long after its start
	SlowStartWindowUs int64
	SlowStartOffers   float64 // of all schedulers to a worker that warms up, in any such window
	TickUs            int64   // how often the caller looks at the clock
	MaxRetryAfterUs   int64   // longest Retry-After that clients honour
}

// Units is the size of a task in mean tasks, by the larger of cores and memory.
func (s *Settings) Units(cores, memory float64) float64 {
	if s.UnitCores <= 0 || s.UnitMemory <= 0 {
		return 1
	}
	return max(cores/s.UnitCores, memory/s.UnitMemory)
}

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

func (WorkerList) event()      {}
func (Request) event()         {}
func (Adopted) event()         {}
func (Accepted) event()        {}
func (AttemptEnded) event()    {}
func (TaskReport) event()      {}
func (ProbeResult) event()     {}
func (WorkerReachable) event() {}
func (Backpressure) event()    {}
func (TimerFired) event()      {}
func (ClientCancelled) event() {}

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

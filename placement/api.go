// Package ravenhitch decides, for one placer of a cluster scheduler, which
// machine each task goes to. Many placers run side by side and share nothing:
// a [Placer] knows only its [Settings], its seed and the events it was given.
//
// This file is the interface: settings, events and actions. It decides nothing.
// Every time is in microseconds, on the clock that the caller passes to
// [Placer.Handle].
package placement

// Effect says what repeating a task of a class may do.
type Effect int

// The kinds of effect.
const (
	Safe   Effect = iota + 1 // may run any number of times
	Keyed                    // machines of a group discard repeats for a while
	Unsafe                   // must never run twice
)

// Scope names the machines that something holds for: a group that discards
// repeats, or a place in which tasks of a service are counted.
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
	ObjectiveUs     int64   // a start within this time earns its full worth
	DeadlineUs      int64   // how long an owner waits
	Weight          float64 // of one second of full service at mean size
	StartBonusS     float64 // seconds of service that a start in time is worth
	Kind            int     // index of the machine kind required, or -1
	Spread          Scope   // where tasks of one service are counted, or ScopeNone
	MaxPerDomain    int     // tasks of one service in one such place
	SaturationLoad  float64 // share of busy cores up to which service is full
	SaturationRange float64 // service is nothing at Calm+Fade
}

// Kind describes one kind of machine.
type Kind struct {
	Name   string
	Cores  float64
	Memory float64
}

// Tenant describes one tenant and its share of the cores asked for.
type Tenant struct {
	Name       string
	QuotaCores float64
}

// Settings are what a placer is told when it starts.
type Settings struct {
	SelfIndex, FleetSize int // this placer's number, and how many there are
	Zone                 string
	Classes              []Class
	Kinds                []Kind
	Tenants              []Tenant
	OverQuotaWeight      float64 // worth of a task beyond its tenant's share

	PollsDiscovery     bool // discovery answers only when asked
	PollWithinUs       int64
	HasView            bool // list entries carry the room nobody has asked for
	AcceptMeansRunning bool // Accepted means running, not merely accepted
	Probes             bool // Probe is permitted, and tells what the module can use
	Pings              bool // machines may be sent tests at all
	RetryAfter         bool // refused owners may be told when to come again
	Cancel             bool // Cancel is permitted
	ReportsUsage       bool // reports give room not in use rather than room not asked for
	ReportsFree        bool // probe reports carry x0 and x1

	CoresOvercommit  float64 // machines accept up to this multiple of their cores
	MemoryOvercommit float64 // and of their memory
	UnitCores        float64 // a task's size is the mean of cores over this
	UnitMemory       float64 // and of memory over this
	MaxAttempts      int     // attempts for each request; 0 means none is set

	MigrationCost float64 // of moving each task once, as a part of all worth

	AnswerSlackUs     int64
	DrainGraceUs      int64
	ColdStartRate     float64 // pace of starts on a machine that just came up, at least
	WarmUpUs          int64   // it is warm after this
	SlowStartWindowUs int64
	SlowStartOffers   float64
	TickUs            int64
	MaxRetryAfterUs   int64 // longest advice that owners honour
}

// Units is the size of a task in mean tasks, by the larger of cores and memory.
func (s *Settings) Units(cores, memory float64) float64 {
	if s.UnitCores <= 0 || s.UnitMemory <= 0 {
		return 1
	}
	return max(cores/s.UnitCores, memory/s.UnitMemory)
}

// WorkerState is what the list says of a machine.
type WorkerState int

// The states of a machine.
const (
	Ready WorkerState = iota
	Draining
	Removed
	// Foreign is listed and ready, and another placer's: it is offered no task here, and those
	// that stand there stay.
	Foreign
)

// Entry is one line of the machine list.
type Entry struct {
	Worker                string
	Kind, Zone            string
	Cell                  int
	StartedAtUs           int64 // 0: long ago
	State                 WorkerState
	FreeCores, FreeMemory float64 // not asked for; below 0 where more was accepted; may be old if Foreign
	// Uncordoned says that operators put it back by hand just now: it is to be used again.
	Uncordoned bool
}

// ListKind says how a List event changes the list held.
type ListKind int

// The kinds of list.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // complete
	ListCached                 // complete, as last held, perhaps stale
	ListFailed                 // a call failed or the subscription broke
)

// Outcome is how an attempt, or a probe, ended.
type Outcome int

// The outcomes.
const (
	Completed     Outcome = iota + 1 // the task has ended
	Failed                           // an error; it may have started
	Rejected                         // refused; it never ran
	TimedOut                         // no answer; it may have been accepted
	ConnectFailed                    // never reached the machine
	Reset                            // lost, or the answer was cut off
	Cancelled                        // called off
	NeverSent                        // never sent
)

// Cause is the reason that came with an outcome.
type Cause int

// The reasons.
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

// ReportKind is what a Note tells of a running task.
type ReportKind int

// The kinds of note.
const (
	ReportRunning        ReportKind = iota + 1
	ReportCores                     // cores it uses
	ReportMemory                    // memory it uses
	ReportService                   // share of full service that it gets
	ReportMemoryPressure            // share of its machine's memory in use
)

// Load is a machine's report. A value that was not reported is NaN.
type Load struct {
	FreeCores, FreeMemory, Utilization, Queued float64
}

// Task is what a request, or a task found running, says of itself.
type Task struct {
	RequestID     string
	KeyHash       uint64
	DeadlineUs    int64
	Cores, Memory float64
	Class         string
	ExpectedRunUs int64 // expected run time; meaningful if Hinted
	HasRunHint    bool
	Retry         bool  // it came again after a refusal, failure, move or loss
	QueuedSinceUs int64 // since when its owner stands in line; 0: since now
	Tenant        string
	Program       uint64
}

// Event is something that happened; one of the types below.
type Event interface{ event() }

// The events.
type (
	WorkerList struct {
		Kind    ListKind
		Entries []Entry
	}
	Request struct{ Task }
	Adopted struct {
		Task
		Worker string
	}
	Accepted struct {
		RequestID string
		Attempt   int
		Worker    string
		RTTUs     int64
	}
	AttemptEnded struct {
		RequestID string
		Attempt   int
		Worker    string
		Outcome   Outcome
		Cause     Cause
		Final     bool
		RTTUs     int64
	}
	TaskReport struct {
		RequestID string
		Attempt   int
		Worker    string
		Kind      ReportKind
		Value     float64
	}
	ProbeResult struct {
		Worker  string
		Outcome Outcome
		RTTUs   int64
		Load    Load
	}
	// WorkerReachable says that a machine took a connection after one to it had failed or
	// fallen silent.
	WorkerReachable struct{ Worker string }
	// Backpressure says at what pace room comes while tasks wait for it, in units a second
	// (see Settings.Units), 0 where that is not known or nothing waits; and how many
	// units each class is to leave to those of more worth that are on their way.
	Backpressure struct {
		ReleaseRate float64
		Reserved    []float64 // by class, or nil
	}
	TimerFired      struct{ Ref string }
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

// Action is something the placer does; one of the types below.
type Action interface{ action() }

// The actions.
type (
	Place struct {
		RequestID, Worker string
		AbandonAtUs       int64
	}
	// Reject refuses a task. When its owner is to come again is not the module's to say.
	Reject         struct{ RequestID string }
	Fail           struct{ RequestID string }
	Migrate        struct{ RequestID string }
	Probe          struct{ Worker string }
	WatchWorkers   struct{ Active bool }
	RefreshWorkers struct{}
	CancelAttempt  struct {
		RequestID string
		Attempt   int
	}
	SetTimer struct {
		OffsetUs int64
		Ref      string
	}
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

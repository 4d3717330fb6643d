package placement

// This file defines the settings of a scheduler. It must neither check the settings (see settingscheck.go)
// nor make decisions.

// Effect states whether the tasks of a class may run more than once.
type Effect int

// The values of Effect.
const (
	Safe   Effect = iota + 1 // a task may run any number of times
	Keyed                    // the workers of a group discard repeats for a limited time
	Unsafe                   // a task must never run twice
)

// Scope is the set of workers to which a rule applies: a group that discards repeats, or a domain in which
// the tasks of a program are counted.
type Scope int

// The values of Scope.
const (
	ScopeNone Scope = iota
	ScopeWorker
	ScopeCell
	ScopeZone
	ScopeAll
)

// Class holds the settings of one class of tasks.
type Class struct {
	Name            string
	Effect          Effect
	Group           Scope   // if Keyed: ScopeAll, ScopeZone or ScopeCell, whose workers discard repeats
	WindowUs        int64   // if Keyed: time for which the group discards repeats
	ObjectiveUs     int64   // latency objective: a start this soon after the request earns StartBonusS
	DeadlineUs      int64   // timeout of requests that state no timeout; not used by the scheduler
	Weight          float64 // priority weight: value of one second of full service for a task of mean size
	StartBonusS     float64 // value of a start within the objective, in seconds of service
	Kind            int     // index of the required kind of worker in Settings.Kinds, or -1
	Spread          Scope   // domain in which the tasks of a program are counted, or ScopeNone
	MaxPerDomain    int     // maximum number of tasks of a program in one domain of scope Spread
	SaturationLoad  float64 // load (used fraction of the cores) up to which service is full
	SaturationRange float64 // service is 0 at a load of SaturationLoad+SaturationRange
}

// Kind holds the settings of one kind of worker.
type Kind struct {
	Name   string
	Cores  float64
	Memory float64
}

// Tenant holds the name of a tenant and its quota, in requested cores.
type Tenant struct {
	Name       string
	QuotaCores float64
}

// Settings holds the parameters from which [New] creates a scheduler, and some parameters that only the
// caller of New uses. Fields with the suffix Us are in microseconds.
type Settings struct {
	SelfIndex, FleetSize int // index of this scheduler, from 0; number of schedulers
	Zone                 string
	Classes              []Class
	Kinds                []Kind
	Tenants              []Tenant
	OverQuotaWeight      float64 // factor on the priority of the tasks of a tenant that is over its quota

	PollsDiscovery     bool  // discovery answers only when it is polled
	PollWithinUs       int64 // maximum time between two polls while no list arrives; not kept if below 2 s
	HasView            bool  // list entries contain the free capacity
	AcceptMeansRunning bool  // an Accepted event means that the task runs, not only that it was accepted
	Probes             bool  // Probe is permitted, and probe reports contain data that the scheduler can use
	Pings              bool  // workers may be sent pings
	RetryAfter         bool  // rejected clients may get a Retry-After
	Cancel             bool  // CancelAttempt is permitted; not used by the scheduler
	// ReportsUsage is true if the free capacity in the reports of probes is the capacity that tasks do
	// not use. If it is false, the free capacity is the capacity that tasks do not request.
	ReportsUsage bool
	ReportsFree  bool // load reports contain the free capacity, named x0 and x1

	CoresOvercommit  float64 // maximum requested cores that workers accept, as a multiple of their cores
	MemoryOvercommit float64 // maximum requested memory that workers accept, as a multiple of their memory
	// UnitCores and UnitMemory are the size of a mean task. For Class.Weight, the size of a task is the mean
	// of cores/UnitCores and memory/UnitMemory; Units returns the larger of the two.
	UnitCores   float64
	UnitMemory  float64
	MaxAttempts int // maximum number of attempts for each request; 0: unlimited

	MigrationCost float64 // cost of a migration, as a fraction of the remaining run time plus StartBonusS

	AnswerSlackUs     int64   // Rules.AnswerSlackUs of the deployment; not used, but must not be negative
	DrainGraceUs      int64   // time for which a draining worker may still get offers; not used by the scheduler
	ColdStartRate     float64 // rate of task starts on a newly started worker, relative to a warm one
	WarmUpUs          int64   // time from the start of a worker until it is warm
	SlowStartWindowUs int64   // length of the window to which SlowStartOffers applies
	SlowStartOffers   float64 // maximum number of offers of all schedulers to a warming worker in one window
	TickUs            int64   // assumed interval at which the caller checks the clock
	MaxRetryAfterUs   int64   // longest Retry-After that clients honor
}

// Units returns the size of a task as a multiple of a mean task: the larger of its sizes in cores and in
// memory. It returns 1 if the size of a mean task is not set.
func (s *Settings) Units(cores, memory float64) float64 {
	if s.UnitCores <= 0 || s.UnitMemory <= 0 {
		return 1
	}
	return max(cores/s.UnitCores, memory/s.UnitMemory)
}

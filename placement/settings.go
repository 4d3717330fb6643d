package placement

// This file owns the settings of a scheduler. It must never check them (settingscheck.go) nor decide
// anything.

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
	ScopeWorker
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

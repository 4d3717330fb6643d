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
	Name       string
	Effect     Effect
	Group      Scope   // Keyed: ScopeAll, ScopeZone or ScopeCell
	WindowUs   int64   // Keyed: how long a group discards repeats
	AimUs      int64   // a start within this time earns its full worth
	DeadlineUs int64   // how long an owner waits
	Worth      float64 // of one second of full service at mean size
	StartS     float64 // seconds of service that a start in time is worth
	Kind       int     // index of the machine kind required, or -1
	Apart      Scope   // where tasks of one service are counted, or ScopeNone
	Most       int     // tasks of one service in one such place
	Calm       float64 // share of busy cores up to which service is full
	Fade       float64 // service is nothing at Calm+Fade
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
	ShareCores float64
}

// Settings are what a placer is told when it starts.
type Settings struct {
	SelfIndex, FleetSize int // this placer's number, and how many there are
	Zone                 string
	Classes              []Class
	Kinds                []Kind
	Tenants              []Tenant
	OverShareWorth       float64 // worth of a task beyond its tenant's share

	Subscribe   bool // discovery answers only when asked
	AskWithinUs int64
	HasView     bool // list entries carry the room nobody has asked for
	AcksRunning bool // Accepted means running, not merely accepted
	Probes      bool // AskLoad is permitted, and tells what the module can use
	Tests       bool // machines may be sent tests at all
	Advice      bool // refused owners may be told when to come again
	Cancel      bool // Cancel is permitted
	ReportsUsed bool // reports give room not in use rather than room not asked for
	ReportsRoom bool // probe reports carry x0 and x1

	CoresMultiple  float64 // machines accept up to this multiple of their cores
	MemoryMultiple float64 // and of their memory
	UnitCores      float64 // a task's size is the mean of cores over this
	UnitMemory     float64 // and of memory over this
	AttemptsCap    int     // attempts for each request; 0 means none is set

	PriceMoves float64 // of moving each task once, as a part of all worth

	AnswerSlackUs   int64
	DrainGraceUs    int64
	ColdShare       float64 // pace of starts on a machine that just came up, at least
	ColdUs          int64   // it is warm after this
	OverloadForUs   int64
	FreshOffers     float64
	TickUs          int64
	MaxRetryAfterUs int64 // longest advice that owners honour
}

// Units is the size of a task in mean tasks, by the larger of cores and memory.
func (s *Settings) Units(cores, mem float64) float64 {
	if s.UnitCores <= 0 || s.UnitMemory <= 0 {
		return 1
	}
	return max(cores/s.UnitCores, mem/s.UnitMemory)
}

// State is what the list says of a machine.
type State int

// The states of a machine.
const (
	Ready State = iota
	Draining
	Gone
	// Foreign is listed and ready, and another placer's: it is offered no task here, and those
	// that stand there stay.
	Foreign
)

// Entry is one line of the machine list.
type Entry struct {
	Machine              string
	Kind, Zone           string
	Cell                 int
	StartUs              int64 // 0: long ago
	State                State
	SpareCores, SpareMem float64 // not asked for; below 0 where more was accepted; may be old if Foreign
	// Returned says that operators put it back by hand just now: it is to be used again.
	Returned bool
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

// Status is how an attempt, or a probe, ended.
type Status int

// The outcomes.
const (
	OK            Status = iota + 1 // the task has ended
	Failed                          // an error; it may have started
	Full                            // refused; it never ran
	TimedOut                        // no answer; it may have been accepted
	ConnectFailed                   // never reached the machine
	Reset                           // lost, or the answer was cut off
	Cancelled                       // called off
	Moot                            // never sent
)

// Why is the reason that came with an outcome.
type Why int

// The reasons.
const (
	WhyUntold Why = iota
	WhyCores
	WhyMemory
	WhyQueue
	WhyNotHere
	WhyEvicted
	WhyPushedOut
	WhySentAway
)

// NoteKind is what a Note tells of a running task.
type NoteKind int

// The kinds of note.
const (
	NoteRuns     NoteKind = iota + 1
	NoteCores             // cores it uses
	NoteMemory            // memory it uses
	NoteService           // share of full service that it gets
	NotePressure          // share of its machine's memory in use
)

// Load is a machine's report. A value that was not reported is NaN.
type Load struct {
	X0, X1, Util, Queue float64
}

// Task is what a request, or a task found running, says of itself.
type Task struct {
	Ticket     string
	Workload   uint64
	DeadlineUs int64
	Cores, Mem float64
	Class      string
	LastsUs    int64 // expected run time; meaningful if Hinted
	Hinted     bool
	Again      bool  // it came again after a refusal, failure, move or loss
	SinceUs    int64 // since when its owner stands in line; 0: since now
	Tenant     string
	Program    uint64
}

// Event is something that happened; one of the types below.
type Event interface{ event() }

// The events.
type (
	List struct {
		Kind    ListKind
		Entries []Entry
	}
	Request  struct{ Task }
	Existing struct {
		Task
		Machine string
	}
	Accepted struct {
		Ticket  string
		Attempt int
		Machine string
		RTTUs   int64
	}
	Done struct {
		Ticket  string
		Attempt int
		Machine string
		Status  Status
		Why     Why
		Closed  bool
		RTTUs   int64
	}
	Note struct {
		Ticket  string
		Attempt int
		Machine string
		Kind    NoteKind
		Value   float64
	}
	Sampled struct {
		Machine string
		Status  Status
		RTTUs   int64
		Load    Load
	}
	// Reached says that a machine took a connection after one to it had failed or
	// fallen silent.
	Reached struct{ Machine string }
	// Pressure says at what pace room comes while tasks wait for it, in units a second
	// (see Settings.Units), 0 where that is not known or nothing waits; and how many
	// units each class is to leave to those of more worth that are on their way.
	Pressure struct {
		Pace float64
		Keep []float64 // by class, or nil
	}
	Bell       struct{ Ref string }
	ClientGone struct{ Ticket string }
)

func (List) event()       {}
func (Request) event()    {}
func (Existing) event()   {}
func (Accepted) event()   {}
func (Done) event()       {}
func (Note) event()       {}
func (Sampled) event()    {}
func (Reached) event()    {}
func (Pressure) event()   {}
func (Bell) event()       {}
func (ClientGone) event() {}

// Action is something the placer does; one of the types below.
type Action interface{ action() }

// The actions.
type (
	Place struct {
		Ticket, Machine string
		AbandonAtUs     int64
	}
	// Deny refuses a task. When its owner is to come again is not the module's to say.
	Deny    struct{ Ticket string }
	Error   struct{ Ticket string }
	Move    struct{ Ticket string }
	AskLoad struct{ Machine string }
	Observe struct{ Active bool }
	Refresh struct{}
	Cancel  struct {
		Ticket  string
		Attempt int
	}
	SetAlarm struct {
		OffsetUs int64
		Ref      string
	}
	SayLog struct{ Text string }
)

func (Place) action()    {}
func (Deny) action()     {}
func (Error) action()    {}
func (Move) action()     {}
func (AskLoad) action()  {}
func (Observe) action()  {}
func (Refresh) action()  {}
func (Cancel) action()   {}
func (SetAlarm) action() {}
func (SayLog) action()   {}

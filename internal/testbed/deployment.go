package testbed

import (
	"cmp"
	"fmt"
	"time"
)

// This file owns the configuration of the orchestrators that tests and rehearsals start: their classes
// and limits. The names of the settings are defined by the program.

// Deployment is the configuration that all orchestrators of a test or rehearsal share.
type Deployment struct {
	Orchestrators int
	MaxRetryAfter time.Duration // maximum Retry-After that rejected clients get
	Deadline      time.Duration // deadline of all classes; if it is 0, each class has its default of 5 to 10 s
	DrainGrace    time.Duration // time for which a draining worker may get offers, 0 for 2 s
	Sockets       int           // socket limit of each orchestrator, 0 for 1024
	MemoryMB      int           // memory limit of each orchestrator in MB, 0 for 192
}

// Default values for the fields of a Deployment that are zero.
const (
	defaultSockets    = 1024
	defaultMemoryMB   = 192
	defaultDrainGrace = 2 * time.Second
	webDeadline       = 6 * time.Second
	relayDeadline     = 5 * time.Second
	cutDeadline       = 10 * time.Second
)

// deadlineUs returns the deadline of a class in microseconds: the deployment's deadline, or the
// default of the class if the deployment has none.
func (d Deployment) deadlineUs(classDefault time.Duration) int64 {
	return cmp.Or(d.Deadline, classDefault).Microseconds()
}

// zones is the number of zones. Orchestrators are assigned to them round-robin.
const zones = 3

// Settings returns the settings of the orchestrator with the given index as JSON.
func (d Deployment) Settings(index int) string {
	return fmt.Sprintf(`{"SelfIndex":%d,"FleetSize":%d,"Zone":"hall-%c","Discovery":"subscribe","TickUs":2000,
 "Flavors":["node-32","node-64"],"FamilyInfo":{"View":true,"SaysYes":"accepted","CoresMultiple":1.0,"MemoryMultiple":1.0,
 "SizeCores":[28,56],"MemoryByKind":[60,120],"UnitCores":0.83,"UnitMemory":1.78,"Counts":"asked","ApartBy":["none","none","none"],
 "CalmLevel":[0.8,0.8,0.8],"LostAfter":[0.25,0.25,0.25],"KindByClass":[-1,-1,-1],"ClassMost":[0,0,0],"ClassStartS":[10,10,8],
 "FreshOffers":25.0},"Limits":{"AttemptsCap":3,"Probes":true,"RetryAfter":true,"Cancel":true,"DialTimeoutUs":250000,"MaxRetryAfterUs":%d},
 "Report":{"How":"answers","Fields":["x0","x1"]},"Parties":[],
 "Rules":{"AnswerSlackUs":8000,"AskWithinUs":10000000,"ColdShare":0.21,"ColdUs":16000000,"DrainGraceUs":%d,
 "FallMultiple":4.0,"OverloadForUs":3000000},"RequestClasses":[
 {"Name":"guide-web","Semantics":"free","Group":"all","OnTimeUs":1000000,"DeadlineUs":%d,"Importance":1.0,"WindowUs":5000000},
 {"Name":"live-relay","Semantics":"free","Group":"all","OnTimeUs":700000,"DeadlineUs":%d,"Importance":3.0,"WindowUs":5000000},
 {"Name":"archive-cut","Semantics":"single_shot","Group":"all","OnTimeUs":6000000,"DeadlineUs":%d,"Importance":5.0,
  "WindowUs":5000000}]}`, index, d.Orchestrators, 'a'+index%zones, d.MaxRetryAfter.Microseconds(),
		cmp.Or(d.DrainGrace, defaultDrainGrace).Microseconds(),
		d.deadlineUs(webDeadline), d.deadlineUs(relayDeadline), d.deadlineUs(cutDeadline))
}

// Config returns the configuration of the orchestrator with the given index as JSON. The configuration contains the
// current events of discovery as the initial list of workers. The arguments listen, mgmt and channel are addresses: the
// orchestrator serves clients at listen and admin calls at mgmt, and polls for later events at channel. If mgmt is "",
// it serves no admin calls.
func (d Deployment) Config(index int, listen, mgmt, channel string, seed uint64, discovery *Discovery) string {
	return fmt.Sprintf(`{"name":"n%d","listen":%q,"mgmt":%q,"seed":"%x","limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},
		"channel":%q,"known":%s,"settings":%s}`, index, listen, mgmt, seed,
		cmp.Or(d.MemoryMB, defaultMemoryMB), cmp.Or(d.Sockets, defaultSockets), channel, discovery.PollResponse(0), d.Settings(index))
}

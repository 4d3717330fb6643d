package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"ravenhitch/internal/grpcfront/edgepb"
	"ravenhitch/internal/testbed"
)

// keyedSettings are those of a small deployment with a class whose minions recognise repeats by a key within one room, as
// song-hong-main.
const keyedSettings = `{"SelfIndex":0,"FleetSize":2,"Zone":"room-a","Discovery":"subscribe","TickUs":2000,
 "Flavors":["std-node"],"FamilyInfo":{"View":true,"SaysYes":"accepted","CoresMultiple":1.0,"MemoryMultiple":1.0,
 "SizeCores":[56],"MemoryByKind":[140],"UnitCores":1.05,"UnitMemory":2.13,"Counts":"asked","ApartBy":["none","none"],
 "CalmLevel":[1.0,0.8],"LostAfter":[1.0,0.2],"KindByClass":[-1,-1],"ClassMost":[2,2],"ClassStartS":[8,8],"ClassPriority":[0,1],
 "FreshOffers":25.0,"CheckAfterUs":3000000},"Limits":{"AttemptsCap":4,"Probes":true,"RetryAfter":true,"Cancel":true,
 "DialTimeoutUs":250000,"ConnIdleUs":15000000,"MaxRetryAfterUs":3000000},
 "Report":{"How":"probe","Fields":["x0","x1"]},"Parties":[],"Zones":["room-a","room-b"],
 "Rules":{"AnswerSlackUs":8000,"AskWithinUs":10000000,"ColdShare":0.21,"ColdUs":17000000,"DrainGraceUs":2000000,
 "FallMultiple":2.5,"OverloadForUs":3000000},"RequestClasses":[
 {"Name":"web-small","Semantics":"free","Group":"all","OnTimeUs":800000,"DeadlineUs":5000000,"Importance":1.0,"WindowUs":5000000},
 {"Name":"batch-keyed","Semantics":"guarded","Group":"zone","OnTimeUs":5000000,"DeadlineUs":9000000,"Importance":3.0,
  "WindowUs":8000000}]}`

// keyedTwice offers a keyed task whose first answer is lost as its connection is reset. TROUBLE=json hands the same task in as
// a JSON line with its key.
func keyedTwice(h *harness) {
	rooms := map[string]*guard{"room-a": {standing: map[string]bool{}}, "room-b": {standing: map[string]bool{}}}
	var minions []*minion
	var wasReset atomic.Bool
	for i := range 8 {
		room := []string{"room-a", "room-b"}[i%2]
		m := h.newMinion(fmt.Sprint("s-", i), room)
		m.kind, m.cores, m.units, m.guard = "std-node", 56, 140, rooms[room]
		m.resets = func(line testbed.Line) bool {
			return h.trouble && line.Opts["class"] == "batch-keyed" && wasReset.CompareAndSwap(false, true)
		}
		minions = append(minions, m)
	}
	discovery := testbed.NewDiscovery(h)
	var entries []string
	for _, m := range minions {
		entries = append(entries, m.entry(m.listen("n0"), "up"))
	}
	discovery.Add(true, entries...)
	listen, grpcListen := h.freeAddress(), h.freeAddress()
	config := testbed.Deployment{Orchestrators: 2}.Config(0, listen, "", discovery.Server.Listener.Addr().String(), 7, discovery)
	before, _, _ := strings.Cut(config, `"settings":`)
	h.start("n0", listen, before+`"settings":`+keyedSettings+"}", "[grpc]\nlisten "+grpcListen+"\n")
	h.sleep(500 * time.Millisecond)

	const tag = "00000000000beef1"
	if os.Getenv("TROUBLE") == "json" {
		client := h.dialOwner("owner", listen)
		line := testbed.StartLine(tag, "batch-keyed", "check-1", 9000)
		line.Opts["idem"] = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
		line.Opts["extras"] = "cores:12;memory:19;service:00000000b4d65521"
		client.send(line)
		h.sleep(9500 * time.Millisecond)
	} else {
		ctx, cancel := context.WithTimeout(context.Background(), 9*time.Second)
		defer cancel()
		h.note("client -> Place %s, task check-1, class batch-keyed", tag)
		binding, err := h.dialGRPC(grpcListen).Place(ctx, &edgepb.Offer{OfferId: tag, Task: "check-1", Class: "batch-keyed",
			Cores: 12, Memory: 19, Service: "b4d65521", Description: "about check-1"})
		h.note("client <- binding %v, error %v", binding, err)
	}
	h.sleep(time.Second)
	var standing []string
	for _, m := range minions {
		if m.stands(tag) {
			standing = append(standing, m.name+" in "+m.zone)
		}
	}
	h.note("copies of check-1 that stand: %v", standing)
	if len(standing) > 1 {
		h.breaks("the keyed task check-1 runs %d times at once: %v", len(standing), standing)
	}
	if len(standing) == 0 {
		h.cannotRun("the task was never started")
	}
}

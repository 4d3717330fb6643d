package main

// This file provides the configurations of the servers that the tests run.

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"ravenhitch/internal/testbed"
)

const settingsJSON = `{"SelfIndex":0,"FleetSize":1,"Zone":"hall-a","Discovery":"subscribe","TickUs":2000,
 "Flavors":["std"],"FamilyInfo":{"View":true,"SaysYes":"accepted","CoresMultiple":1.0,"MemoryMultiple":1.0,
 "SizeCores":[32],"MemoryByKind":[64.0],"UnitCores":1.0,"UnitMemory":2.0,"Counts":"asked","ApartBy":["none","none"],
 "CalmLevel":[0.8,0.8],"LostAfter":[0.2,0.2],"KindByClass":[-1,-1],"ClassMost":[2,2],"ClassStartS":[10.0,8.0],
 "FreshOffers":50.0},
 "Limits":{"AttemptsCap":3,"Probes":true,"RetryAfter":true,"Cancel":true,"DialTimeoutUs":250000,"MaxRetryAfterUs":3000000},
 "Report":{"How":"answers","Fields":["x0","x1"]},"Parties":[],
 "Rules":{"AnswerSlackUs":8000,"AskWithinUs":10000000,"ColdShare":0.2,"ColdUs":16000000,"DrainGraceUs":2000000,
 "FallMultiple":4.0,"OverloadForUs":3000000},
 "RequestClasses":[{"Name":"guide-web","Semantics":"free","Group":"all","OnTimeUs":1000000,"DeadlineUs":6000000,
 "Importance":1.0,"WindowUs":5000000},{"Name":"archive-cut","Semantics":"single_shot","Group":"all",
 "OnTimeUs":6000000,"DeadlineUs":10000000,"Importance":5.0,"WindowUs":5000000}]}`

// configJSON returns a configuration with the settings in settingsJSON. Its initial list of workers reflects all
// events of discovery so far.
func configJSON(discovery *testbed.Discovery) string { return configWith(discovery, settingsJSON) }

// configWith is configJSON with other settings.
func configWith(discovery *testbed.Discovery, settings string) string {
	return fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"channel":%q,"known":%s,"settings":%s}`,
		discovery.Server.Listener.Addr(), discovery.PollResponse(0), settings)
}

// settingChange replaces the value of the setting at a path of settingsJSON.
type settingChange struct {
	path  string
	value any
}

// changedSettings returns settingsJSON with the given changes.
func changedSettings(t *testing.T, changes ...settingChange) string {
	t.Helper()
	var settings any
	if err := json.Unmarshal([]byte(settingsJSON), &settings); err != nil {
		t.Fatal(err)
	}
	for _, change := range changes {
		steps := strings.Split(change.path, ".")
		parent := settings
		for _, step := range steps[:len(steps)-1] {
			parent = settingAt(t, parent, step)
		}
		parent.(map[string]any)[steps[len(steps)-1]] = change.value
	}
	b, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// settingAt returns the child of parent at one step of a path: a key of an object or an index of a list.
func settingAt(t *testing.T, parent any, step string) any {
	t.Helper()
	list, ok := parent.([]any)
	if !ok {
		return parent.(map[string]any)[step]
	}
	i, err := strconv.Atoi(step)
	if err != nil {
		t.Fatal(err)
	}
	return list[i]
}

// shortDeadlines returns settings whose longest deadline is 500 ms, which makes a shutdown short.
func shortDeadlines(t *testing.T) string {
	t.Helper()
	return changedSettings(t, settingChange{"RequestClasses.0.DeadlineUs", 500 * millisecond},
		settingChange{"RequestClasses.1.DeadlineUs", 500 * millisecond})
}

// longDialTimeout returns settings with a dial timeout of 10 s for connections to workers.
func longDialTimeout(t *testing.T) string {
	t.Helper()
	return changedSettings(t, settingChange{"Limits.DialTimeoutUs", 10 * second})
}

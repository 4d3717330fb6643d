package main

// This file joins a program with the stand-ins of package standin.

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"testing"

	"ravenhitch/internal/config"
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

// configJSON is a configuration that knows all events so far.
func configJSON(discovery *testbed.Discovery) string { return configWith(discovery, settingsJSON) }

func configWith(discovery *testbed.Discovery, settings string) string {
	return fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"channel":%q,"known":%s,"settings":%s}`,
		discovery.Srv.Listener.Addr(), discovery.InitialList(0), settings)
}

// settingChange is one setting of another customer: its path, and its value.
type settingChange struct {
	path  string
	value any
}

// changedSettings is settingsJSON with some of its settings changed.
func changedSettings(t *testing.T, changes ...settingChange) string {
	t.Helper()
	var all any
	if err := json.Unmarshal([]byte(settingsJSON), &all); err != nil {
		t.Fatal(err)
	}
	for _, c := range changes {
		at := all
		steps := strings.Split(c.path, ".")
		for _, step := range steps[:len(steps)-1] {
			if list, ok := at.([]any); ok {
				i, err := strconv.Atoi(step)
				if err != nil {
					t.Fatal(err)
				}
				at = list[i]
				continue
			}
			at = at.(map[string]any)[step]
		}
		at.(map[string]any)[steps[len(steps)-1]] = c.value
	}
	b, err := json.Marshal(all)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// testServer is a program with the stand-ins round it.
type testServer struct {
	*server
	discovery    *testbed.Discovery
	workers []*testbed.Worker
	runResult    chan error
	aged    chan int64 // how old it is by its own clock, where a test asks
}

func newTestServer(t *testing.T, names ...string) *testServer {
	return newServerWithOperators(t, config.Operators{GRPCListen: "127.0.0.1:0"}, names...)
}

func newServerWithOperators(t *testing.T, edge config.Operators, names ...string) *testServer {
	return newServerOf(t, edge, 1024, names...)
}

func newServerWithSockets(t *testing.T, sockets int64, names ...string) *testServer {
	return newServerOf(t, config.Operators{}, sockets, names...)
}

func newServerOf(t *testing.T, edge config.Operators, sockets int64, names ...string) *testServer {
	return newServerBy(t, edge, sockets, slog.New(slog.DiscardHandler), func(*testbed.Worker) {}, names...)
}

// newServerBy hands every minion to by before anything connects to it.
func newServerBy(t *testing.T, edge config.Operators, sockets int64, log *slog.Logger, by func(*testbed.Worker), names ...string) *testServer {
	return newServerSet(t, settingsJSON, edge, sockets, log, by, names...)
}

// newServerSet is the same under other settings.
func newServerSet(t *testing.T, settings string, edge config.Operators, sockets int64, log *slog.Logger, by func(*testbed.Worker),
	names ...string) *testServer {
	server := &testServer{discovery: testbed.NewDiscovery(t), runResult: make(chan error, 1), aged: make(chan int64, 1)}
	var members []string
	for _, n := range names {
		worker := testbed.NewWorker(t, n)
		by(worker)
		server.workers = append(server.workers, worker)
		members = append(members, worker.ListEntry("up"))
	}
	server.discovery.Add(true, members...)
	cfg, err := config.Parse([]byte(configWith(server.discovery, settings)))
	if err != nil {
		t.Fatal(err)
	}
	cfg.Sockets = sockets
	server.server, err = start(cfg, edge, log)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		err := server.Run()
		server.runResult <- err
		close(done)
	}()
	t.Cleanup(func() {
		server.loop.Post(server.loop.Stop)
		<-done
	})
	return server
}

// connect connects a stand-in owner.
func (w *testServer) connect(t *testing.T) *testbed.Client { return testbed.NewClient(t, w.clientAddr) }

// expectCause takes the owner's next line, which must speak of tag with a cause.
func expectCause(t *testing.T, what string, client *testbed.Client, tag string, cause int) {
	t.Helper()
	if line := testbed.Wait(t, what, client.Lines); line.Tag != tag || line.Cause() != cause {
		t.Errorf("%s: got %v", what, line)
	}
}

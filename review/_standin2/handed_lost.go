package main

import (
	"fmt"
	"time"

	"ravenhitch/internal/testbed"
)

const (
	unknownAtOnce = 500 // set-ups with at for ids that no minion knows, "hundreds of requests at once"
	unknownRounds = 14  // and the same again
)

// handedLost hands an archive cut to an orchestrator that did not place it, as after the death of the one that did. A bad client
// names ids that no minion knows.
func handedLost(h *harness) {
	var minions []*minion
	for i := range 12 {
		minions = append(minions, h.newMinion(fmt.Sprint("s-", i), fmt.Sprintf("hall-%c", 'a'+i%3)))
	}
	listens := map[string]string{}
	processes := map[string]*orchestrator{}
	for i := range 2 {
		name := fmt.Sprint("n", i)
		discovery := testbed.NewDiscovery(h)
		var entries []string
		for _, m := range minions {
			entries = append(entries, m.entry(m.listen(name), "up"))
		}
		discovery.Add(true, entries...)
		listens[name] = h.freeAddress()
		processes[name] = h.start(name, listens[name], testbed.Deployment{Orchestrators: 3, MaxRetryAfter: 3 * time.Second}.Config(i,
			listens[name], "", discovery.Server.Listener.Addr().String(), uint64(7+i), discovery), "")
	}
	h.sleep(time.Second)
	first := h.dialOwner("owner at n0", listens["n0"])
	tag := testbed.RequestID(0xa1)
	line := testbed.StartLine(tag, "archive-cut", "cut-1", 10_000)
	line.Opts["extras"] = "cores:4;memory:6;service:00000000b4d65521"
	first.send(line)
	if !h.waitFor(5*time.Second, func() bool { return len(first.messages(tag, "STARTED")) == 1 }) {
		h.cannotRun("the archive cut was not placed")
	}
	var at *minion
	for _, m := range minions {
		if m.stands(tag) {
			at = m
		}
	}
	if h.trouble {
		bad, err := testbed.Dial(listens["n1"])
		if err != nil {
			h.cannotRun("%v", err)
		}
		defer testbed.CloseQuietly(bad)
		for round := range unknownRounds {
			for i := range unknownAtOnce {
				unknown := testbed.StartLine(fmt.Sprintf("bad%013x", round*unknownAtOnce+i), "guide-web", fmt.Sprint("bad-", round, "-", i), 6000)
				unknown.Opts["extras"] = fmt.Sprintf("cores:0.01;memory:0.01;service:bad;at:s-%d", i%len(minions))
				testbed.Send(bad, unknown)
			}
			h.sleep(100 * time.Millisecond)
		}
		h.note("the bad client named %d ids that no minion knows", unknownRounds*unknownAtOnce)
	}
	processes["n0"].End(9)
	h.note("n0 is killed")
	h.sleep(3 * time.Second) // the front notices the death after 2.3 to 4 s
	second := h.dialOwner("owner at n1", listens["n1"])
	h.note("the task stands at %s: %v", at.name, at.stands(tag))
	delete(line.Opts, "left")
	line.Opts["extras"] += ";at:" + at.name
	second.send(line)
	over := h.waitFor(3*time.Second, func() bool { return len(second.messages(tag, "FINISH")) > 0 })
	if over && at.stands(tag) {
		h.breaks("n1 told the owner that the archive cut is over (cause %d), and it stands at %s", second.messages(tag, "FINISH")[0].Code(), at.name)
	}
	at.completed(tag)
	h.note("the archive cut comes to its end")
	told := h.waitFor(releaseLimit, func() bool { return len(second.messages(tag, "FINISH")) > 0 })
	if !told {
		h.breaks("the end of the archive cut was not reported within 8 s")
	}
}

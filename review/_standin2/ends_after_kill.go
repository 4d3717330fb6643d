package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"ravenhitch/internal/testbed"
)

const (
	minionsOfDay  = 400 // "16 orchestrators over 400 minions"
	socketsOfDay  = 256 // "256 to 1,024 descriptors"
	ownersOfDay   = 60  // owners hold a third of the descriptors at most
	setUpPeriod   = 40 * time.Millisecond
	tasksPerGroup = 15               // "about 11 to 20 tasks" of a service
	taskLife      = 15 * time.Second // 8.5 to 21 s on average
	timeDown      = 1400 * time.Millisecond
)

// tracker records the tasks of endsAfterKill.
type tracker struct {
	mu      sync.Mutex
	lines   map[string]testbed.Line // set-ups, by tag
	endedAt map[string]time.Time    // ends at the minions
	owners  []*owner                // all connections so far
	open    []*owner                // those of now
	next    int
}

// load sends 25 set-ups a second for some time.
func (t *tracker) load(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(setUpPeriod) {
		i := t.next
		t.next++
		line := testbed.StartLine(testbed.RequestID(0xb00000+i), "guide-web", fmt.Sprint("web-", i), 6000)
		line.Opts["extras"] = fmt.Sprintf("cores:1;memory:2;service:%016x", 0xb4d60000+i/tasksPerGroup)
		t.mu.Lock()
		t.lines[line.Tag] = line
		t.mu.Unlock()
		t.open[i%len(t.open)].send(line)
	}
}

// connect connects the owners, each of which passes a test.
func (t *tracker) connect(h *harness, listen string) {
	t.open = nil
	for i := range ownersOfDay {
		w := h.dialOwner(fmt.Sprint("owner", i), listen)
		w.send(testbed.CodeLine("ECHO", testbed.RequestID(i), 0))
		if !h.waitFor(5*time.Second, func() bool { return len(w.messages(testbed.RequestID(i), "ECHOED")) == 1 }) {
			h.cannotRun("the test of an owner was not answered")
		}
		t.open = append(t.open, w)
	}
	t.owners = append(t.owners, t.open...)
}

// has reports whether a message with one of the verbs came for a tag on any connection.
func (t *tracker) has(tag string, verbs ...string) bool {
	for _, w := range t.owners {
		for _, verb := range verbs {
			if len(w.messages(tag, verb)) > 0 {
				return true
			}
		}
	}
	return false
}

// endsAfterKill kills an orchestrator and starts it again. Some of its tasks come to their end meanwhile; each minion sends its
// release on the next connection that opens. The tasks that stand are handed over.
func endsAfterKill(h *harness) {
	t := &tracker{lines: map[string]testbed.Line{}, endedAt: map[string]time.Time{}}
	var minions []*minion
	var entries []string
	for i := range minionsOfDay {
		m := h.newMinion(fmt.Sprintf("s-%08x", 0x00c41f7a+i), fmt.Sprintf("hall-%c", 'a'+i%3))
		m.lifetime = func(testbed.Line) time.Duration { return taskLife }
		m.ended = func(tag string) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.endedAt[tag] = time.Now()
		}
		minions, entries = append(minions, m), append(entries, m.entry(m.listen("n0"), "up"))
	}
	events := testbed.NewDiscovery(h)
	events.Add(true, entries...)
	listen := h.freeAddress()
	deployment := testbed.Deployment{Orchestrators: 16, MaxRetryAfter: 3 * time.Second, Sockets: socketsOfDay}
	o := h.start("n0", listen, deployment.Config(0, listen, "", events.Server.Listener.Addr().String(), 7, events), "")
	t.connect(h, listen)
	t.load(20 * time.Second)
	if h.trouble {
		o.End(syscall.SIGKILL)
		h.note("n0 is killed")
		h.sleep(timeDown)
		if err := o.Start(); err != nil {
			h.cannotRun("%v", err)
		}
		if _, err := o.WaitForLog("msg=serving"); err != nil {
			h.cannotRun("%v", err)
		}
		h.note("n0 serves again")
		t.connect(h, listen)
		t.handOver(h, minions)
	}
	t.load(10 * time.Second)
	h.sleep(releaseLimit)

	t.mu.Lock()
	defer t.mu.Unlock()
	due, missing := 0, 0
	for tag, at := range t.endedAt {
		if time.Since(at) < releaseLimit || !t.has(tag, "STARTED") {
			continue
		}
		due++
		if !t.has(tag, "FINISH", "MOVE") {
			missing++
			h.note("%s stood, ended at %.3f, and its owner was told nothing for %.1f s", tag, at.Sub(h.began).Seconds(), time.Since(at).Seconds())
		}
	}
	h.note("%d tasks stood and ended more than 8 s ago, %d of them were never released towards their owner", due, missing)
	if due == 0 {
		h.cannotRun("no task ended")
	}
	if missing > 0 {
		h.breaks("%d of %d tasks that stood and are over were not released towards their owner within 8 s of their end", missing, due)
	}
}

// handOver hands over the tasks that minions hold.
func (t *tracker) handOver(h *harness, minions []*minion) {
	count, holders := 0, 0
	for _, m := range minions {
		m.mu.Lock()
		var tags []string
		for tag := range m.tasks {
			tags = append(tags, tag)
		}
		m.mu.Unlock()
		if len(tags) > 0 {
			holders++
		}
		for _, tag := range tags {
			t.mu.Lock()
			set := t.lines[tag]
			t.mu.Unlock()
			line := testbed.StartLine(tag, "guide-web", set.Opts["key"], 6000)
			delete(line.Opts, "left")
			line.Opts["extras"] = set.Opts["extras"] + ";at:" + m.name
			t.open[count%len(t.open)].send(line)
			count++
		}
	}
	h.note("%d tasks that stand at %d minions are handed over", count, holders)
}

package main

import (
	"fmt"
	"sync"
	"time"

	"ravenhitch/internal/testbed"
)

const (
	cutTime   = 14 * time.Second // a zone cut lasts 6.2 to 19 s
	checkTime = 3 * time.Second  // an owner's wait where a second start could do harm
)

// staleRelease cuts hall-b off from two orchestrators in hall-a. The first one reports an archive cut there as lost; its
// owner waits, finds that it runs and hands it to the second one. Nobody releases it.
func staleRelease(h *harness) {
	deployment := testbed.Deployment{Orchestrators: 4, MaxRetryAfter: 3 * time.Second}
	minions := []*minion{h.newMinion("s-a1", "hall-a"), h.newMinion("s-b1", "hall-b"), h.newMinion("s-b2", "hall-b")}
	var links []*testbed.Proxy // between hall-b and the orchestrators
	var owners []*owner
	for i, index := range []int{0, 3} { // the first and the fourth orchestrator are in hall-a
		name := fmt.Sprint("n", index)
		discovery := testbed.NewDiscovery(h)
		var entries []string
		for _, m := range minions {
			addr := m.listen(name)
			if m.zone == "hall-b" {
				link := testbed.NewProxyTo(h, addr)
				links = append(links, link)
				addr = link.Addr()
			}
			entries = append(entries, m.entry(addr, "up"))
		}
		discovery.Add(true, entries...)
		listen := h.freeAddress()
		config := deployment.Config(index, listen, "", discovery.Server.Listener.Addr().String(), uint64(7+i), discovery)
		h.start(name, listen, config, "")
		owners = append(owners, h.dialOwner("owner at "+name, listen))
	}
	h.sleep(time.Second)

	var tags []string
	where := map[string]*minion{}
	for i := range 12 {
		tag := testbed.RequestID(0xa100 + i)
		line := testbed.StartLine(tag, "archive-cut", fmt.Sprint("cut-", i), 10_000)
		line.Opts["extras"] = "cores:4;memory:6;service:00000000b4d65521"
		owners[0].send(line)
		if !h.waitFor(5*time.Second, func() bool { return len(owners[0].messages(tag, "STARTED")) == 1 }) {
			continue
		}
		for _, m := range minions[1:] {
			if m.stands(tag) {
				tags, where[tag] = append(tags, tag), m
			}
		}
		if len(tags) == 2 {
			break
		}
	}
	if len(tags) == 0 {
		h.cannotRun("no archive cut was placed in hall-b")
	}
	h.sleep(2 * time.Second)

	cutAt := time.Now()
	if h.trouble {
		h.note("hall-b is cut off")
		for _, link := range links {
			link.Partition(h)
		}
	}
	handed := map[string]bool{}
	var handedAt sync.Map // time of the hand-over, by tag
	for time.Since(cutAt) < cutTime {
		for _, tag := range tags {
			if over := owners[0].messages(tag, "FINISH"); len(over) > 0 && !handed[tag] {
				handed[tag] = true
				go func() {
					h.sleep(checkTime)
					if !where[tag].stands(tag) {
						return
					}
					h.note("the owner finds that %s runs at %s, and hands it to n3", tag, where[tag].name)
					line := testbed.StartLine(tag, "archive-cut", "cut-"+tag, 10_000)
					delete(line.Opts, "left")
					line.Opts["extras"] = "cores:4;memory:6;service:00000000b4d65521;at:" + where[tag].name
					handedAt.Store(tag, time.Now())
					owners[1].send(line)
				}()
			}
		}
		h.sleep(20 * time.Millisecond)
	}
	if h.trouble {
		h.note("the cut ends")
		for _, link := range links {
			link.Heal(h)
		}
	}
	h.sleep(8 * time.Second)
	for _, tag := range tags {
		by, at := where[tag].cutBy(tag)
		since, isHanded := handedAt.Load(tag)
		switch {
		case by != "" && (!isHanded || at.Before(since.(time.Time))):
			h.note("%s was cut before a hand-over", tag)
		case by != "" && len(owners[1].messages(tag, "MOVE")) == 0:
			h.breaks("%s was cut at %s by a release of %s, %.1f s after the cut began; its owner had handed it to n3 and released it nowhere (n3 told its owner %d ends)",
				tag, where[tag].name, by, at.Sub(cutAt).Seconds(), len(owners[1].messages(tag, "FINISH")))
		case by != "":
			h.note("%s was moved by n3", tag)
		default:
			h.note("%s stands: %v; handed over: %v", tag, where[tag].stands(tag), handed[tag])
		}
	}
}

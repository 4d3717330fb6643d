package membership

// This file checks the invariants of the simulated cluster: no member is declared dead while it runs and can be
// reached, every killed or vanished member is declared dead, and no path is reported as degraded without a cause. The
// checks use the schedule of faults, which the tables do not know.

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

const (
	// observerGrace is the time after a member's deathAllowedUntil during which it may still list dead members as
	// alive or suspected, in microseconds. A long pause and a restart of the member set its deathAllowedUntil.
	observerGrace = 6 * second
	// minReportableLoss is the probability of loss above which a member may report a path as degraded.
	minReportableLoss = 0.2
	// pathReportGrace is the time after the end of a fault during which a member may still report a path as degraded,
	// in microseconds.
	pathReportGrace = 4 * second
)

// checkDead asserts that no running member still lists a killed or vanished process as alive or suspected. It
// does not check the tables of members that are joining, and of those whose observerGrace is not over.
func (c *cluster) checkDead(f fault, nonce uint64) {
	for i, observer := range c.members {
		if !observer.up || i == f.target || observer.deathAllowedUntil > c.now-observerGrace || observer.joining {
			continue
		}
		if m := observer.members[memberName(f.target)]; m != nil && m.Nonce == nonce && m.State <= Suspect {
			c.violations = append(c.violations, fmt.Sprintf("%s still lists %s as %s, %s after its death",
				memberName(i), memberName(f.target), m.State, formatMilliseconds(c.now-f.start)))
		}
	}
}

// checkEvents records and counts the events that a member reported, and checks them against the faults.
func (c *cluster) checkEvents(i int) {
	process := c.members[i]
	for _, e := range process.Events() {
		c.record(i, e)
		if process.eventCounts == nil {
			process.eventCounts = map[EventKind]int{}
		}
		process.eventCounts[e.Kind]++
		switch e.Kind {
		case PathDegraded:
			c.checkPathDegraded(i, e)
			c.recordOneWayFound(i, e)
		case Died:
			c.checkDeath(i, e)
		}
	}
}

// checkPathDegraded asserts that a fault may explain a member's report that one direction of a path is down.
func (c *cluster) checkPathDegraded(reporter int, e Event) {
	for _, f := range c.faults {
		if (f.kind != faultLoss || f.probability > minReportableLoss) && f.start <= c.now && c.now < f.end+pathReportGrace {
			return // this fault may be the cause
		}
	}
	c.violations = append(c.violations, fmt.Sprintf("%.2f s: %s reports the path to %s as degraded without a cause: %s",
		float64(c.now)/second, memberName(reporter), e.Name, e.Evidence))
}

// recordOneWayFound handles a member's report that a path is degraded. It records as found the one-way faults between
// the two ends of the path that are active or ended less than a second ago.
func (c *cluster) recordOneWayFound(reporter int, e Event) {
	for index, f := range c.faults {
		sameEnds := memberName(f.target) == e.Name && f.other == reporter || memberName(f.other) == e.Name && f.target == reporter
		if f.kind == faultOneWay && f.start < c.now && c.now < f.end+second && sameEnds {
			c.oneWayFound[index] = true
		}
	}
}

// checkDeath asserts that an observer did not declare a running and reachable process dead. It accepts the declaration
// while the process is joining, while the process and the observer count as partitioned, and until deathAllowedUntil of
// either of them. If the process ended without leaving, the declaration is correct, and recordDetection counts it.
func (c *cluster) checkDeath(observer int, e Event) {
	declared, err := strconv.Atoi(strings.TrimPrefix(e.Name, "n"))
	if err != nil {
		c.violations = append(c.violations, fmt.Sprintf("%s declared an unknown member dead: %v",
			memberName(observer), err))
		return
	}
	process := c.members[declared]
	switch {
	case process.Self.Nonce != e.Nonce:
	case !process.up && !process.left:
		c.recordDetection(declared)
	case process.up && !process.joining && !c.partitioned(observer, declared) &&
		process.deathAllowedUntil < c.now && c.members[observer].deathAllowedUntil < c.now:
		c.violations = append(c.violations, fmt.Sprintf("%.2f s: %s declared %s dead, which is alive and reachable: %s",
			float64(c.now)/second, memberName(observer), memberName(declared), e.Evidence))
	}
}

// recordDetection counts a declaration of a member's death. For the first declaration after a kill or vanish fault, it
// also records the time since the fault.
func (c *cluster) recordDetection(member int) {
	process := c.members[member]
	key := [2]uint64{uint64(member), process.starts}
	c.deathDeclarations[key]++
	if c.deathDeclarations[key] > 1 || process.diedAt == 0 {
		return
	}
	kind := "killed"
	if process.hostDown {
		kind = "vanished"
	}
	c.detectionTimes[kind] = append(c.detectionTimes[kind], c.now-process.diedAt)
}

// disagreement describes the first table of a running member that does not list exactly the running members as alive or
// suspected. It returns "" if there is none.
func (c *cluster) disagreement() string {
	var want []string
	for i, process := range c.members {
		if process.up {
			want = append(want, memberName(i))
		}
	}
	slices.Sort(want)
	for i, process := range c.members {
		if !process.up {
			continue
		}
		got := []string{}
		for _, m := range process.Members() {
			if m.State <= Suspect {
				got = append(got, m.Name)
			}
		}
		slices.Sort(got)
		if !slices.Equal(got, want) {
			return fmt.Sprintf("the table of %s lists %v, want %v", memberName(i), got, want)
		}
	}
	return ""
}

// listedBy returns the number of running members whose tables list a process, given by name and nonce, as alive or
// suspected.
func (c *cluster) listedBy(name string, nonce uint64) (count int) {
	for _, process := range c.members {
		if m := process.members[name]; process.up && m != nil && m.Nonce == nonce && m.State <= Suspect {
			count++
		}
	}
	return count
}

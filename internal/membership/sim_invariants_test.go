package membership

// This file owns what must hold of the simulated members, by what the faults did, which no table sees: no
// running member that can be reached is declared dead, each dead one is, and no path is blamed without cause.

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

const (
	// observerGrace is how long ago an observer's own fault must be for its belief to count.
	observerGrace = 6 * second
	// minReportableLoss is from which loss on a path may rightly be blamed.
	minReportableLoss = 0.2
	// pathReportGrace is how long after a fault a path may rightly be blamed.
	pathReportGrace = 4 * second
)

// checkDead asserts that all declared a member dead by now.
func (c *cluster) checkDead(f fault, nonce uint64) {
	for i, observer := range c.members {
		if !observer.up || i == f.target || observer.deathAllowedUntil > c.now-observerGrace || observer.joining {
			continue
		}
		if m := observer.members[memberName(f.target)]; m != nil && m.Nonce == nonce && m.State <= Suspect {
			c.violations = append(c.violations, fmt.Sprintf("%s still believes %s to be %s, %s after its end",
				memberName(i), memberName(f.target), m.State, formatMilliseconds(c.now-f.start)))
		}
	}
}

// checkEvents looks at what a member reports.
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

// checkPathDegraded asserts that a member that reports a path as working in one direction only has cause.
func (c *cluster) checkPathDegraded(reporter int, e Event) {
	for _, f := range c.faults {
		if (f.kind != faultLoss || f.probability > minReportableLoss) && f.start <= c.now && c.now < f.end+pathReportGrace {
			return // there is a cause, or may be one
		}
	}
	c.violations = append(c.violations, fmt.Sprintf("%.2f s: %s blames the path to %s: %s",
		float64(c.now)/second, memberName(reporter), e.Name, e.Evidence))
}

// recordOneWayFound notes the one-way faults that a member's report is right about.
func (c *cluster) recordOneWayFound(reporter int, e Event) {
	for index, f := range c.faults {
		ends := memberName(f.target) == e.Name && f.other == reporter || memberName(f.other) == e.Name && f.target == reporter
		if f.kind == faultOneWay && f.start < c.now && c.now < f.end+second && ends {
			c.oneWayFound[index] = true
		}
	}
}

// checkDeath asserts that a member that is declared dead is: it is down, disturbed or partitioned off.
func (c *cluster) checkDeath(observer int, e Event) {
	declared, err := strconv.Atoi(strings.TrimPrefix(e.Name, "n"))
	if err != nil {
		c.violations = append(c.violations, fmt.Sprintf("%s declares an unknown member dead: %v", memberName(observer), err))
		return
	}
	process := c.members[declared]
	switch {
	case process.Self.Nonce != e.Nonce:
	case !process.up && !process.left:
		c.recordDetection(declared)
	case process.up && !process.joining && !c.partitioned(observer, declared) &&
		process.deathAllowedUntil < c.now && c.members[observer].deathAllowedUntil < c.now:
		c.violations = append(c.violations, fmt.Sprintf("%.2f s: %s declares %s dead, which is alive: %s",
			float64(c.now)/second, memberName(observer), memberName(declared), e.Evidence))
	}
}

// recordDetection notes how long it took until the first member declared a dead one dead.
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

// disagreement says how the table of a member that runs differs from who runs, "" where none does.
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
			return fmt.Sprintf("%s believes in %v of %v", memberName(i), got, want)
		}
	}
	return ""
}

// listedBy says how many members believe a process, by its nonce, to be in the cluster under a name.
func (c *cluster) listedBy(of string, nonce uint64) (count int) {
	for _, process := range c.members {
		if m := process.members[of]; process.up && m != nil && m.Nonce == nonce && m.State <= Suspect {
			count++
		}
	}
	return count
}

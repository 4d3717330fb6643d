package hollow

import "math/rand/v2"

// This file contains the simulated network.

// One-way delays in microseconds, before jitter. The jitter is random and less than 1/jitterDivisor of the delay.
const (
	delayWithinZone     = 300
	delayWithinRegion   = 1_000
	delayBetweenRegions = 40_000
	jitterDivisor       = 4
)

// network simulates the zones and regions of the members, the delays between them, and a cut that separates
// one region from the others.
type network struct {
	regions, zones int
	random         *rand.Rand
	cutRegion      int
	cutFrom        int64 // start of the cut, in microseconds of virtual time
	cutUntil       int64 // end of the cut; no cut is active from this time on
}

func (n *network) zone(i int) int   { return i % n.zones }
func (n *network) region(i int) int { return n.zone(i) % n.regions }

// inCutRegion reports whether member i is in the region that a cut separates. All cuts separate the same region.
func (n *network) inCutRegion(i int) bool { return n.region(i) == n.cutRegion }

// delivers reports whether the network delivers traffic between two members at the given time.
func (n *network) delivers(i, j int, moment int64) bool {
	isCut := n.cutFrom <= moment && moment < n.cutUntil
	return !isCut || n.inCutRegion(i) == n.inCutRegion(j)
}

// wasCutSince reports whether a cut separated two members at any time between since and now. It considers
// only the current or the last cut.
func (n *network) wasCutSince(i, j int, since, now int64) bool {
	overlaps := n.cutFrom <= now && since < n.cutUntil
	return overlaps && n.inCutRegion(i) != n.inCutRegion(j)
}

// delay draws the one-way delay between two members in microseconds.
func (n *network) delay(i, j int) int64 {
	d := int64(delayBetweenRegions)
	switch {
	case n.zone(i) == n.zone(j):
		d = delayWithinZone
	case n.region(i) == n.region(j):
		d = delayWithinRegion
	}
	return d + n.random.Int64N(d/jitterDivisor)
}

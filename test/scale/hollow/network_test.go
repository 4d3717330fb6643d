package hollow

import "math/rand/v2"

// This file owns the simulated network.

// Delays of one direction, in microseconds. A datagram takes up to a quarter longer.
const (
	delayWithinZone     = 300
	delayWithinRegion   = 1_000
	delayBetweenRegions = 40_000
	jitterDivisor       = 4
)

// network has the zones and regions of the members, the delays between them, and one region
// that may be cut from the others.
type network struct {
	regions, zones int
	random         *rand.Rand
	cutRegion      int
	cutFrom        int64
	cutUntil       int64 // the cut is over, or there was none, once this has passed
}

func (n *network) zone(i int) int   { return i % n.zones }
func (n *network) region(i int) int { return n.zone(i) % n.regions }

// inCutRegion reports whether a member is in the region that is cut off, or was last.
func (n *network) inCutRegion(i int) bool { return n.region(i) == n.cutRegion }

// carries reports whether the network carries between two members at a moment.
func (n *network) carries(i, j int, moment int64) bool {
	isCut := n.cutFrom <= moment && moment < n.cutUntil
	return !isCut || n.inCutRegion(i) == n.inCutRegion(j)
}

// wasCutSince reports whether the network did not carry between two members at some time since
// a moment.
func (n *network) wasCutSince(i, j int, since, now int64) bool {
	overlaps := n.cutFrom <= now && since < n.cutUntil
	return overlaps && n.inCutRegion(i) != n.inCutRegion(j)
}

// delay draws how long a datagram takes.
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

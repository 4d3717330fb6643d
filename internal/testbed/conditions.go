package testbed

import "time"

// This file owns the conditions of a direction between two processes: the faults that are
// injected into what passes.

// Conditions are those of one direction. The zero value is a healthy network.
type Conditions struct {
	Cut                      bool          // nothing passes, and nobody is notified
	Refuse                   bool          // connections are refused, datagrams lost
	Delay, Jitter            time.Duration // of what passes
	Loss, Duplicate, Reorder float64       // shares of datagrams: lost, sent twice, delayed past later ones
	Bandwidth                int           // bytes a second, 0: no limit
	Flap                     time.Duration // cut for so long, open for so long, from FlapSince on
	FlapSince                time.Time
}

// isCut reports whether nothing passes at a time.
func (c Conditions) isCut(now time.Time) bool {
	return c.Cut || c.Flap > 0 && now.Sub(c.FlapSince)/c.Flap%2 == 0
}

// extraDelay is what a reordered datagram is delayed beyond its delay.
func (c Conditions) extraDelay() time.Duration { return 2*c.Delay + 20*time.Millisecond }

package testbed

import "time"

// This file owns the conditions of one direction between two processes: the faults that are
// injected into its traffic.

// Conditions are the network conditions of one direction. The zero value is a healthy network.
type Conditions struct {
	Cut                      bool          // datagrams are lost and connections stall, without an error on either side
	Refuse                   bool          // new connections are refused, open ones are reset, and datagrams are lost
	Delay, Jitter            time.Duration // the delay is Delay plus a random time of at most Jitter
	Loss, Duplicate, Reorder float64       // fractions of datagrams that are lost, sent twice, or overtaken by later ones
	Bandwidth                int           // in bytes per second, 0 for no limit
	Flap                     time.Duration // length of each cut period and each open period, 0 for no flapping
	FlapSince                time.Time     // start of the first cut period
}

// isCut reports whether the direction is cut at the given time.
func (c Conditions) isCut(now time.Time) bool {
	return c.Cut || c.Flap > 0 && now.Sub(c.FlapSince)/c.Flap%2 == 0
}

// extraDelay returns the additional delay of a datagram that is reordered, so that later datagrams overtake it.
func (c Conditions) extraDelay() time.Duration { return 2*c.Delay + 20*time.Millisecond }

package dispatch

// This file owns the advisor that learns nothing. It must never decide what to reject.

import (
	"time"

	"ravenhitch/internal/backpressure"
)

// FixedRetryAfter is an Advisor that gives every client the same Retry-After, and learns nothing. It
// serves to measure others against.
type FixedRetryAfter time.Duration

// Requested says that every client joined the waitlist just now.
func (FixedRetryAfter) Requested(now int64, _ backpressure.Request) int64 { return now }

// SetPending does nothing.
func (FixedRetryAfter) SetPending(int64, []float64) {}

// Started does nothing.
func (FixedRetryAfter) Started(int64, backpressure.Request) {}

// Ended does nothing.
func (FixedRetryAfter) Ended(int64, backpressure.Request) {}

// Adopted does nothing.
func (FixedRetryAfter) Adopted(int64, backpressure.Request) {}

// Cancelled does nothing.
func (FixedRetryAfter) Cancelled(int64, backpressure.Request) {}

// Rejected is the fixed time to stay away.
func (f FixedRetryAfter) Rejected(int64, backpressure.Request) int64 {
	return time.Duration(f).Microseconds()
}

// ReleaseRate is unknown.
func (FixedRetryAfter) ReleaseRate(int64) float64 { return 0 }

// HigherPriorityDemand is nothing.
func (FixedRetryAfter) HigherPriorityDemand(int64) []float64 { return nil }

// Tick sees no change.
func (FixedRetryAfter) Tick(int64) (change backpressure.Change, changed bool) { return change, false }

// Figures are all zero.
func (FixedRetryAfter) Figures(int64) (figures backpressure.Figures) { return figures }

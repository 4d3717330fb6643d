package dispatch

// This file owns the advisor with a fixed Retry-After. It must never decide which requests are rejected.

import (
	"time"

	"ravenhitch/internal/backpressure"
)

// FixedRetryAfter is an Advisor that gives every client the same Retry-After and ignores all reports. It is
// the baseline for measurements of other advisors.
type FixedRetryAfter time.Duration

// Requested returns now, because there is no waitlist: every client counts as having just started to wait.
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

// Rejected returns the fixed Retry-After, in microseconds.
func (f FixedRetryAfter) Rejected(int64, backpressure.Request) int64 {
	return time.Duration(f).Microseconds()
}

// ReleaseRate returns 0: the rate is unknown.
func (FixedRetryAfter) ReleaseRate(int64) float64 { return 0 }

// HigherPriorityDemand returns nil: no capacity is reserved.
func (FixedRetryAfter) HigherPriorityDemand(int64) []float64 { return nil }

// Tick reports no change.
func (FixedRetryAfter) Tick(int64) (change backpressure.Change, changed bool) { return change, false }

// Figures returns figures that are all zero.
func (FixedRetryAfter) Figures(int64) (figures backpressure.Figures) { return figures }

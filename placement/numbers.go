package placement

import "math"

// This file owns arithmetic that several parts need.

// Lengths of time.
const (
	millisecond = int64(1000)
	second      = 1000 * millisecond
)

// roundingSlack is more than two ways to compute one utilization can differ.
const roundingSlack = 1e-9

// fractions are cores and memory, as parts of what a kind of worker has.
type fractions struct{ cores, memory float64 }

// unlimited is over all fractions.
var unlimited = fractions{math.Inf(1), math.Inf(1)}

// within reports whether neither fraction is over that of a limit.
func (f fractions) within(limit fractions) bool {
	return f.cores <= limit.cores && f.memory <= limit.memory
}

// smaller returns the smaller cores and the smaller memory of two.
func (f fractions) smaller(o fractions) fractions {
	return fractions{min(f.cores, o.cores), min(f.memory, o.memory)}
}

// minus returns the difference, a bit more than that as to rounding.
func (f fractions) minus(o fractions) fractions {
	return fractions{f.cores - o.cores + roundingSlack, f.memory - o.memory + roundingSlack}
}

// inRange reports whether a value is a number from low to high.
func inRange(value, low, high float64) bool { return value >= low && value <= high }

// decayed is what is left of a value after an age, if half of it goes in each halflife.
func decayed(value float64, age, halflife int64) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp2(-float64(age)/float64(halflife))
}

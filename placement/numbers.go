package placement

import (
	"hash/fnv"
	"math"
)

// This file owns arithmetic and hashes that several parts need. It must never know a worker or a task.

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

// hashName is the hash of a worker's name, the same at every scheduler.
func hashName(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name)) // never fails
	return hash.Sum64()
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

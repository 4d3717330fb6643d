package placement

import (
	"hash/fnv"
	"math"
)

// This file contains arithmetic and hashes that several components use. It must not depend on the
// types of workers and tasks.

// Durations in microseconds.
const (
	millisecond = int64(1000)
	second      = 1000 * millisecond
)

// roundingTolerance exceeds the rounding difference between two ways to compute the same utilization.
const roundingTolerance = 1e-9

// fractions holds amounts of cores and memory, as fractions of the size of a kind of worker.
type fractions struct{ cores, memory float64 }

// unlimited exceeds all other fractions.
var unlimited = fractions{math.Inf(1), math.Inf(1)}

// within reports whether neither the cores nor the memory of f exceed the limit.
func (f fractions) within(limit fractions) bool {
	return f.cores <= limit.cores && f.memory <= limit.memory
}

// elementwiseMin returns the minimum of the cores and the minimum of the memory of f and o.
func (f fractions) elementwiseMin(o fractions) fractions {
	return fractions{min(f.cores, o.cores), min(f.memory, o.memory)}
}

// minus returns f minus o, plus roundingTolerance to allow for rounding.
func (f fractions) minus(o fractions) fractions {
	return fractions{f.cores - o.cores + roundingTolerance, f.memory - o.memory + roundingTolerance}
}

// inRange reports whether a value lies between low and high, inclusive. It returns false for NaN.
func inRange(value, low, high float64) bool { return value >= low && value <= high }

// decayed returns a value after its decay during the time age. The value decays by half in each
// halflife.
func decayed(value float64, age, halflife int64) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp2(-float64(age)/float64(halflife))
}

// hashName returns the hash of a worker's name, which is the same at every scheduler.
func hashName(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name)) // never fails
	return hash.Sum64()
}

// mix returns a hash of x: the output of the SplitMix64 generator for the state x.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

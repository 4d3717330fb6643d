// Package stats evaluates what scale tests sample: how a cost grows with a size, and how
// durations are distributed. It must never take a sample itself, and draws nothing: that
// is package plot's.
package stats

// This file owns the least-squares fits.

import "math"

// Exponent returns the exponent e of the power law values = c * sizes^e that fits
// best: the least-squares slope of log values over log sizes. Pairs that are not both
// above zero have no logarithm and are left out. It is NaN with fewer than two
// distinct sizes.
func Exponent(sizes, values []float64) float64 {
	var logSizes, logValues []float64
	for i := range min(len(sizes), len(values)) {
		if sizes[i] > 0 && values[i] > 0 {
			logSizes = append(logSizes, math.Log(sizes[i]))
			logValues = append(logValues, math.Log(values[i]))
		}
	}
	_, slope := Line(logSizes, logValues)
	return slope
}

// Line returns the least-squares line values = intercept + slope * sizes. Both are
// NaN with fewer than two distinct sizes.
func Line(sizes, values []float64) (intercept, slope float64) {
	count := min(len(sizes), len(values))
	var meanSize, meanValue float64
	for i := range count {
		meanSize += sizes[i] / float64(count)
		meanValue += values[i] / float64(count)
	}
	var variance, covariance float64 // times count
	for i := range count {
		deviation := sizes[i] - meanSize
		variance += deviation * deviation
		covariance += deviation * (values[i] - meanValue)
	}
	if variance == 0 {
		return math.NaN(), math.NaN()
	}
	slope = covariance / variance
	return meanValue - slope*meanSize, slope
}

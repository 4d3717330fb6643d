// Package stats evaluates the samples of scale tests: how a cost grows with a size, and how durations are
// distributed. It also writes samples as CSV tables. It must neither take samples nor draw charts; package plot
// draws the charts.
package stats

// This file owns the least-squares fits.

import "math"

// Exponent returns the exponent e of the power law that fits the samples best: values = c * sizes^e. It is the
// least-squares slope of log(values) over log(sizes). Pairs in which a number is zero or negative have no logarithm and
// are left out. The result has no meaning if fewer than two distinct sizes remain: it is usually NaN, but rounding
// errors can make it a number.
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

// Line returns the intercept and the slope of the least-squares line: values = intercept + slope * sizes. Both have no
// meaning if there are fewer than two distinct sizes: they are usually NaN, but rounding errors can make them numbers.
func Line(sizes, values []float64) (intercept, slope float64) {
	count := min(len(sizes), len(values))
	var meanSize, meanValue float64
	for i := range count {
		meanSize += sizes[i] / float64(count)
		meanValue += values[i] / float64(count)
	}
	var variance, covariance float64 // both multiplied by count
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

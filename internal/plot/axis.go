package plot

// This file owns the logarithmic axes: their ends, their ticks, and the mapping of values to pixels.

import (
	"math"
	"strconv"
)

// maxPlainLabel is the upper bound of the values whose labels are written without an exponent. The label of a
// tick at or above this value has an exponent.
const maxPlainLabel = 1e6

// denseDecades is the maximum length, in decades, of an axis that also has ticks between powers of ten. A
// longer axis has ticks only at powers of ten.
const denseDecades = 3.0

// tickSteps are the multiples of a power of ten at which an axis may have ticks.
var tickSteps = []float64{1, 2, 5}

// tickTolerance is the relative tolerance for rounding errors when a value is compared with a tick.
const tickTolerance = 1e-9

// tickLabel returns the label of a tick.
func tickLabel(value float64) string {
	value, _ = strconv.ParseFloat(strconv.FormatFloat(value, 'g', 6, 64), 64) // removes rounding errors
	if value >= 1 && value < maxPlainLabel {
		return strconv.FormatFloat(value, 'f', -1, 64)
	}
	return strconv.FormatFloat(value, 'g', -1, 64)
}

// axis maps values to pixels on a logarithmic scale.
type axis struct {
	low, high float64 // values at the ends of the axis
	from, to  int     // pixels at the ends of the axis
}

// newAxis returns an axis without values.
func newAxis() *axis { return &axis{low: math.Inf(1), high: math.Inf(-1)} }

// include extends the axis, if necessary, so that it contains a value.
func (a *axis) include(value float64) {
	a.low = min(a.low, value)
	a.high = max(a.high, value)
}

// isEmpty reports whether the axis contains no value.
func (a *axis) isEmpty() bool { return a.low > a.high }

// layout extends the axis so that each end is 1, 2 or 5 times a power of ten, and maps the ends to the pixels from and
// to. If both ends are equal, it also extends the axis by one decade at each end.
func (a *axis) layout(from, to int) {
	a.from, a.to = from, to
	a.low, a.high = tickBelow(a.low), tickAbove(a.high)
	if a.low == a.high {
		a.low, a.high = a.low/10, a.high*10
	}
}

// pixel returns the pixel that a value is mapped to.
func (a *axis) pixel(value float64) int {
	fraction := math.Log(value/a.low) / math.Log(a.high/a.low)
	return a.from + int(math.Round(fraction*float64(a.to-a.from)))
}

// contains reports whether a value is within the axis, with a tolerance for rounding errors.
func (a *axis) contains(value float64) bool {
	return value >= a.low*(1-tickTolerance) && value <= a.high*(1+tickTolerance)
}

// ticks returns the powers of ten within the axis. If the axis is at most denseDecades long, ticks also returns
// 2 and 5 times powers of ten.
func (a *axis) ticks() []float64 {
	steps := tickSteps
	if math.Log10(a.high/a.low) > denseDecades {
		steps = tickSteps[:1]
	}
	var ticks []float64
	for exponent := math.Floor(math.Log10(a.low)); exponent <= math.Ceil(math.Log10(a.high)); exponent++ {
		for _, step := range steps {
			if tick := step * math.Pow(10, exponent); a.contains(tick) {
				ticks = append(ticks, tick)
			}
		}
	}
	return ticks
}

// decadeOf returns the largest power of ten that is at most a value.
func decadeOf(value float64) float64 { return math.Pow(10, math.Floor(math.Log10(value))) }

// tickBelow returns the largest tick that is at most a value.
func tickBelow(value float64) float64 {
	decade := decadeOf(value)
	below := decade
	for _, step := range tickSteps {
		if step*decade <= value*(1+tickTolerance) {
			below = step * decade
		}
	}
	return below
}

// tickAbove returns the smallest tick that is at least a value.
func tickAbove(value float64) float64 {
	decade := decadeOf(value)
	for _, step := range tickSteps {
		if step*decade >= value*(1-tickTolerance) {
			return step * decade
		}
	}
	return 10 * decade
}

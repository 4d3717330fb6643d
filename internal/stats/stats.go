// Package measure fits, tabulates and draws what scale tests sample: how a cost
// grows with a size, and how durations are distributed.
package stats

import (
	"encoding/csv"
	"math"
	"os"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Exponent returns the exponent e of the power law values = c * sizes^e that fits
// best: the least-squares slope of log values over log sizes. Pairs that are not both
// above zero have no logarithm and are left out. It is NaN with fewer than two
// distinct sizes.
func Exponent(sizes, values []float64) float64 {
	var x, y []float64
	for i := range min(len(sizes), len(values)) {
		if sizes[i] > 0 && values[i] > 0 {
			x, y = append(x, math.Log(sizes[i])), append(y, math.Log(values[i]))
		}
	}
	_, slope := Line(x, y)
	return slope
}

// Line returns the least-squares line values = intercept + slope * sizes. Both are
// NaN with fewer than two distinct sizes.
func Line(sizes, values []float64) (intercept, slope float64) {
	n := min(len(sizes), len(values))
	var meanX, meanY float64
	for i := range n {
		meanX += sizes[i] / float64(n)
		meanY += values[i] / float64(n)
	}
	var xx, xy float64
	for i := range n {
		dx := sizes[i] - meanX
		xx += dx * dx
		xy += dx * (values[i] - meanY)
	}
	if xx == 0 {
		return math.NaN(), math.NaN()
	}
	slope = xy / xx
	return meanY - slope*meanX, slope
}

// WriteTable writes a CSV file with a header line and one line a row.
func WriteTable(path string, header []string, rows [][]float64) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() {
		if e := f.Close(); err == nil {
			err = e
		}
	}()
	w := csv.NewWriter(f)
	if err := w.Write(header); err != nil {
		return err
	}
	for _, row := range rows {
		record := make([]string, len(row))
		for i, v := range row {
			record[i] = strconv.FormatFloat(v, 'g', -1, 64)
		}
		if err := w.Write(record); err != nil {
			return err
		}
	}
	w.Flush()
	return w.Error()
}

// The range and precision of Durations.
const (
	shortest          = time.Nanosecond
	longest           = time.Hour
	significantDigits = 3
)

// Durations counts durations from a nanosecond to an hour, to three significant
// digits. The zero value is ready for use. It is not safe for concurrent use.
type Durations struct {
	histogram *hdrhistogram.Histogram
}

// Record counts d. What lies outside the range counts as its nearest end.
func (d *Durations) Record(v time.Duration) {
	if d.histogram == nil {
		d.histogram = hdrhistogram.New(int64(shortest), int64(longest), significantDigits)
	}
	// A value within the range that the histogram was made for is never refused.
	_ = d.histogram.RecordValue(int64(min(longest, max(shortest, v))))
}

// Count returns how many durations were recorded.
func (d *Durations) Count() int64 {
	if d.histogram == nil {
		return 0
	}
	return d.histogram.TotalCount()
}

// Percentile returns the duration that q percent of those recorded do not exceed,
// 0 without any.
func (d *Durations) Percentile(q float64) time.Duration {
	if d.histogram == nil {
		return 0
	}
	return time.Duration(d.histogram.ValueAtQuantile(q))
}

// Max returns the longest duration recorded, 0 without any.
func (d *Durations) Max() time.Duration {
	if d.histogram == nil {
		return 0
	}
	return time.Duration(d.histogram.Max())
}

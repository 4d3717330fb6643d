package plot

import (
	"bytes"
	"fmt"
	"math"
	"os"
	"strconv"

	svg "github.com/ajstarks/svgo"
)

// Series is one named line of a chart.
type Series struct {
	Name string
	X, Y []float64
}

// The layout of a chart, in pixels.
const (
	chartWidth   = 900
	chartHeight  = 560
	marginLeft   = 90
	marginRight  = 220 // holds the legend
	marginTop    = 50
	marginBottom = 60
	legendStep   = 20
	pointRadius  = 4
)

// Text and line styles of a chart.
const (
	textStyle  = "font-family:sans-serif;font-size:12px;fill:#222"
	titleStyle = "font-family:sans-serif;font-size:16px;fill:#222"
	gridStyle  = "stroke:#ddd;stroke-width:1"
	axisStyle  = "stroke:#222;stroke-width:1"
)

// palette holds the colours of the series, which repeat after the last.
var palette = []string{"#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#17becf", "#8c564b", "#e377c2", "#7f7f7f", "#bcbd22"}

// Chart draws the series as an SVG file with logarithmic axes, ticks and a legend.
// Points that are not both above zero have no place on such axes and are left out; it
// is an error if none remains.
func Chart(path, title, xLabel, yLabel string, series ...Series) error {
	x, y := newAxis(), newAxis()
	for _, s := range series {
		s.each(func(vx, vy float64) {
			x.include(vx)
			y.include(vy)
		})
	}
	if x.low > x.high {
		return fmt.Errorf("measure: chart %q has no point above zero", title)
	}
	x.place(marginLeft, chartWidth-marginRight)
	y.place(chartHeight-marginBottom, marginTop)

	var b bytes.Buffer
	c := svg.New(&b)
	c.Start(chartWidth, chartHeight)
	c.Rect(0, 0, chartWidth, chartHeight, "fill:#ffffff")
	c.Text(marginLeft, marginTop/2+5, title, titleStyle)
	drawAxes(c, x, y, xLabel, yLabel)
	for i, s := range series {
		s.draw(c, x, y, palette[i%len(palette)], marginTop+10+i*legendStep)
	}
	c.End()
	return os.WriteFile(path, b.Bytes(), 0o644)
}

// each calls f for every point that has a place on logarithmic axes.
func (s Series) each(f func(x, y float64)) {
	for i := range min(len(s.X), len(s.Y)) {
		if s.X[i] > 0 && s.Y[i] > 0 && !math.IsInf(s.X[i], 1) && !math.IsInf(s.Y[i], 1) {
			f(s.X[i], s.Y[i])
		}
	}
}

func (s Series) draw(c *svg.SVG, x, y *axis, colour string, legendY int) {
	var xs, ys []int
	s.each(func(vx, vy float64) {
		xs, ys = append(xs, x.pixel(vx)), append(ys, y.pixel(vy))
	})
	c.Polyline(xs, ys, "fill:none;stroke-width:2;stroke:"+colour)
	for i := range xs {
		c.Circle(xs[i], ys[i], pointRadius, "fill:"+colour)
	}
	legendX := chartWidth - marginRight + 20
	c.Line(legendX, legendY, legendX+20, legendY, "stroke-width:2;stroke:"+colour)
	c.Text(legendX+26, legendY+4, s.Name, textStyle)
}

func drawAxes(c *svg.SVG, x, y *axis, xLabel, yLabel string) {
	left, right, bottom, top := marginLeft, chartWidth-marginRight, chartHeight-marginBottom, marginTop
	for _, v := range x.ticks() {
		c.Line(x.pixel(v), bottom, x.pixel(v), top, gridStyle)
		c.Text(x.pixel(v), bottom+18, tickLabel(v), textStyle+";text-anchor:middle")
	}
	for _, v := range y.ticks() {
		c.Line(left, y.pixel(v), right, y.pixel(v), gridStyle)
		c.Text(left-8, y.pixel(v)+4, tickLabel(v), textStyle+";text-anchor:end")
	}
	c.Line(left, bottom, right, bottom, axisStyle)
	c.Line(left, bottom, left, top, axisStyle)
	c.Text((left+right)/2, chartHeight-15, xLabel, textStyle+";text-anchor:middle")
	c.TranslateRotate(20, (top+bottom)/2, -90)
	c.Text(0, 0, yLabel, textStyle+";text-anchor:middle")
	c.Gend()
}

// plainMost is from where on tick labels are written with an exponent.
const plainMost = 1e6

func tickLabel(v float64) string {
	v, _ = strconv.ParseFloat(strconv.FormatFloat(v, 'g', 6, 64), 64) // without rounding errors
	if v >= 1 && v < plainMost {
		return strconv.FormatFloat(v, 'f', -1, 64)
	}
	return strconv.FormatFloat(v, 'g', -1, 64)
}

// axis maps values to pixels by their logarithm.
type axis struct {
	low, high float64 // of the values
	from, to  int     // their pixels
}

func newAxis() *axis { return &axis{low: math.Inf(1), high: math.Inf(-1)} }

func (a *axis) include(v float64) { a.low, a.high = min(a.low, v), max(a.high, v) }

// place lays the axis between two pixels, with its ends at ticks.
func (a *axis) place(from, to int) {
	a.from, a.to = from, to
	a.low, a.high = tickBelow(a.low), tickAbove(a.high)
	if a.low == a.high {
		a.low, a.high = a.low/10, a.high*10
	}
}

func (a *axis) pixel(v float64) int {
	part := math.Log(v/a.low) / math.Log(a.high/a.low)
	return a.from + int(math.Round(part*float64(a.to-a.from)))
}

// denseDecades is up to how many decades an axis carries ticks within a decade too.
const denseDecades = 3.0

// ticks returns powers of ten within the axis, and on a short axis 2 and 5 times those.
func (a *axis) ticks() (values []float64) {
	dense := math.Log10(a.high/a.low) <= denseDecades
	for e := math.Floor(math.Log10(a.low)); e <= math.Ceil(math.Log10(a.high)); e++ {
		for _, m := range tickSteps {
			v := m * math.Pow(10, e)
			if (m == 1 || dense) && v >= a.low*(1-tickSlack) && v <= a.high*(1+tickSlack) {
				values = append(values, v)
			}
		}
	}
	return values
}

// tickSteps are the places of ticks in a decade; tickSlack absorbs rounding.
var tickSteps = []float64{1, 2, 5}

const tickSlack = 1e-9

// tickBelow returns the largest tick that is at most v.
func tickBelow(v float64) float64 {
	decade := math.Pow(10, math.Floor(math.Log10(v)))
	below := decade
	for _, m := range tickSteps {
		if m*decade <= v*(1+tickSlack) {
			below = m * decade
		}
	}
	return below
}

// tickAbove returns the least tick that is at least v.
func tickAbove(v float64) float64 {
	decade := math.Pow(10, math.Floor(math.Log10(v)))
	for _, m := range tickSteps {
		if m*decade >= v*(1-tickSlack) {
			return m * decade
		}
	}
	return 10 * decade
}

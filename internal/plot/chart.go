// Package plot draws the samples of scale tests as SVG files with logarithmic axes. It must never
// evaluate a sample: package stats does that.
package plot

// This file owns the layout and the drawing of a chart.

import (
	"bytes"
	"fmt"
	"math"
	"os"

	svg "github.com/ajstarks/svgo"
)

// Series is one named line of a chart, through the points (X[i], Y[i]).
type Series struct {
	Name string
	X, Y []float64
}

// The layout of a chart, in pixels.
const (
	chartWidth   = 900
	chartHeight  = 560
	marginLeft   = 90
	marginRight  = 220 // includes the space for the legend
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

// palette lists the colours of the series. A chart with more series reuses the colours.
var palette = []string{"#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#17becf", "#8c564b", "#e377c2", "#7f7f7f", "#bcbd22"}

// Chart writes an SVG file at path that shows the series on logarithmic axes with ticks and a legend.
// Points with a coordinate that is zero, negative, infinite or NaN have no position on logarithmic axes and
// are left out. Chart returns an error if no point remains or the file cannot be written.
func Chart(path, title, xLabel, yLabel string, series ...Series) error {
	x, y := newAxis(), newAxis()
	for _, s := range series {
		s.forEachPoint(func(valueX, valueY float64) {
			x.include(valueX)
			y.include(valueY)
		})
	}
	if x.isEmpty() {
		return fmt.Errorf("plot: chart %q has no point with positive, finite coordinates", title)
	}
	x.layout(marginLeft, chartWidth-marginRight)
	y.layout(chartHeight-marginBottom, marginTop)

	var text bytes.Buffer
	canvas := svg.New(&text)
	canvas.Start(chartWidth, chartHeight)
	canvas.Rect(0, 0, chartWidth, chartHeight, "fill:#ffffff")
	canvas.Text(marginLeft, marginTop/2+5, title, titleStyle)
	drawAxes(canvas, x, y, xLabel, yLabel)
	for i, s := range series {
		s.draw(canvas, x, y, palette[i%len(palette)], marginTop+10+i*legendStep)
	}
	canvas.End()
	return os.WriteFile(path, text.Bytes(), 0o644)
}

// forEachPoint calls f for every point of the series that has a position on logarithmic axes.
func (s Series) forEachPoint(f func(x, y float64)) {
	for i := range min(len(s.X), len(s.Y)) {
		if s.X[i] > 0 && s.Y[i] > 0 && !math.IsInf(s.X[i], 1) && !math.IsInf(s.Y[i], 1) {
			f(s.X[i], s.Y[i])
		}
	}
}

// draw draws the line, the points and the legend entry of the series.
func (s Series) draw(canvas *svg.SVG, x, y *axis, colour string, legendY int) {
	var pixelsX, pixelsY []int
	s.forEachPoint(func(valueX, valueY float64) {
		pixelsX = append(pixelsX, x.pixel(valueX))
		pixelsY = append(pixelsY, y.pixel(valueY))
	})
	canvas.Polyline(pixelsX, pixelsY, "fill:none;stroke-width:2;stroke:"+colour)
	for i := range pixelsX {
		canvas.Circle(pixelsX[i], pixelsY[i], pointRadius, "fill:"+colour)
	}
	legendX := chartWidth - marginRight + 20
	canvas.Line(legendX, legendY, legendX+20, legendY, "stroke-width:2;stroke:"+colour)
	canvas.Text(legendX+26, legendY+4, s.Name, textStyle)
}

// drawAxes draws the axes with their ticks, grid and labels.
func drawAxes(canvas *svg.SVG, x, y *axis, xLabel, yLabel string) {
	left, right, bottom, top := marginLeft, chartWidth-marginRight, chartHeight-marginBottom, marginTop
	for _, tick := range x.ticks() {
		canvas.Line(x.pixel(tick), bottom, x.pixel(tick), top, gridStyle)
		canvas.Text(x.pixel(tick), bottom+18, tickLabel(tick), textStyle+";text-anchor:middle")
	}
	for _, tick := range y.ticks() {
		canvas.Line(left, y.pixel(tick), right, y.pixel(tick), gridStyle)
		canvas.Text(left-8, y.pixel(tick)+4, tickLabel(tick), textStyle+";text-anchor:end")
	}
	canvas.Line(left, bottom, right, bottom, axisStyle)
	canvas.Line(left, bottom, left, top, axisStyle)
	canvas.Text((left+right)/2, chartHeight-15, xLabel, textStyle+";text-anchor:middle")
	canvas.TranslateRotate(20, (top+bottom)/2, -90)
	canvas.Text(0, 0, yLabel, textStyle+";text-anchor:middle")
	canvas.Gend()
}

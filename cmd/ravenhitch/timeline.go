package main

// This file draws the timeline of a recording as SVG: how each orchestrator was and was seen, what was
// started meanwhile, and the faults that were played.

import (
	"bytes"
	"fmt"

	svg "github.com/ajstarks/svgo"
)

// Measures of the drawing, in pixels.
const (
	timelineWidth = 1000
	rowHeight     = 26
	leftEdge      = 110
	rightMargin   = 20
	topEdge       = 70
	barsHeight    = 90
	bottomMargin  = 40
	legendWidth   = 195

	textStyle      = "font-family:sans-serif;font-size:12px;fill:#222"
	stepStyle      = "font-family:sans-serif;font-size:9px;fill:#222"
	stepLineStyle  = "stroke:#222;stroke-width:1;stroke-dasharray:3,3"
	startedStyle   = "fill:#5b7db1"
	backgroundFill = "fill:#ffffff"
)

// timelineCanvas is a timeline that is being drawn.
type timelineCanvas struct {
	*svg.SVG
	recording *recording
	barsTop   int     // where the bars of started tasks begin
	endS      float64 // the time at the right edge, in seconds
}

// timeline draws the recording.
func (r *recording) timeline() []byte {
	var drawing bytes.Buffer
	rows := 0
	if len(r.Moments) > 0 {
		rows = len(r.Moments[0].Fleet)
	}
	canvas := timelineCanvas{SVG: svg.New(&drawing), recording: r, barsTop: topEdge + rows*rowHeight + 40}
	height := canvas.barsTop + barsHeight + bottomMargin
	canvas.Start(timelineWidth, height)
	canvas.Rect(0, 0, timelineWidth, height, backgroundFill)
	canvas.Text(10, 20, "Rehearsal: "+r.Schedule, textStyle)
	canvas.drawLegend()
	if rows > 0 {
		canvas.endS = max(1, r.Moments[len(r.Moments)-1].At)
		canvas.drawStatuses()
		canvas.drawStarted()
		canvas.drawSteps()
	}
	canvas.End()
	return drawing.Bytes()
}

// x is where a time in seconds is drawn.
func (c *timelineCanvas) x(atS float64) int {
	return leftEdge + int(max(0, atS)/c.endS*(timelineWidth-leftEdge-rightMargin))
}

func (c *timelineCanvas) drawLegend() {
	for i, status := range legendOrder {
		c.Rect(10+i*legendWidth, 32, 12, 12, "fill:"+status.colour)
		c.Text(27+i*legendWidth, 42, status.legend, textStyle)
	}
}

// drawStatuses draws a row for each orchestrator, with its status at each moment.
func (c *timelineCanvas) drawStatuses() {
	moments := c.recording.Moments
	for i, moment := range moments {
		from, to := c.x(moment.At), timelineWidth-rightMargin
		if i+1 < len(moments) {
			to = c.x(moments[i+1].At)
		}
		for row, seen := range moment.Fleet {
			c.Rect(from, topEdge+row*rowHeight, max(1, to-from), rowHeight-4, "fill:"+statusOf(seen).colour)
		}
	}
	for row, seen := range moments[0].Fleet {
		c.Text(10, topEdge+row*rowHeight+15, seen.Name+", "+seen.Zone, textStyle)
	}
}

// drawStarted draws a bar for the tasks that were started in each second.
func (c *timelineCanvas) drawStarted() {
	maxStarted := 1
	for _, second := range c.recording.Seconds {
		maxStarted = max(maxStarted, second.Started)
	}
	c.Text(10, c.barsTop+barsHeight, "started a second", textStyle)
	c.Text(10, c.barsTop+12, fmt.Sprintf("most %d", maxStarted), textStyle)
	width := max(1, c.x(1)-c.x(0)-2)
	for i, second := range c.recording.Seconds {
		height := second.Started * barsHeight / maxStarted
		c.Rect(c.x(float64(i)), c.barsTop+barsHeight-height, width, height, startedStyle)
	}
}

// drawSteps marks the faults that were played.
func (c *timelineCanvas) drawSteps() {
	for i, step := range c.recording.Steps {
		x := c.x(step.At)
		c.Line(x, topEdge-8, x, c.barsTop+barsHeight, stepLineStyle)
		c.Text(x+3, c.barsTop-24+i%3*11, step.Step, stepStyle)
	}
}

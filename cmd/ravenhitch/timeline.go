package main

// This file draws the timeline of a recorded rehearsal as SVG: the status of each orchestrator, the number of tasks
// started in each second, and the executed steps of the fault schedule.

import (
	"bytes"
	"fmt"

	svg "github.com/ajstarks/svgo"
)

// Dimensions of the drawing in pixels, and its styles.
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

// timelineCanvas draws the timeline of one recording.
type timelineCanvas struct {
	*svg.SVG
	recording *recording
	barsTop   int     // upper edge of the bar chart of started tasks, in pixels
	endS      float64 // time at the right edge, in seconds
}

// timeline returns the drawing of the recording as SVG.
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

// x returns the horizontal position, in pixels, of a time in seconds.
func (c *timelineCanvas) x(atS float64) int {
	return leftEdge + int(max(0, atS)/c.endS*(timelineWidth-leftEdge-rightMargin))
}

func (c *timelineCanvas) drawLegend() {
	for i, status := range legendOrder {
		c.Rect(10+i*legendWidth, 32, 12, 12, "fill:"+status.colour)
		c.Text(27+i*legendWidth, 42, status.legend, textStyle)
	}
}

// drawStatuses draws a row for each orchestrator, with its status in each recorded snapshot.
func (c *timelineCanvas) drawStatuses() {
	moments := c.recording.Moments
	for i, snapshot := range moments {
		from, to := c.x(snapshot.At), timelineWidth-rightMargin
		if i+1 < len(moments) {
			to = c.x(moments[i+1].At)
		}
		for row, state := range snapshot.Fleet {
			c.Rect(from, topEdge+row*rowHeight, max(1, to-from), rowHeight-4, "fill:"+statusOf(state).colour)
		}
	}
	for row, state := range moments[0].Fleet {
		c.Text(10, topEdge+row*rowHeight+15, state.Name+", "+state.Zone, textStyle)
	}
}

// drawStarted draws one bar per second. Its height shows the number of tasks that were started in that
// second.
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

// drawSteps draws a line and a label at the time of each executed step of the fault schedule.
func (c *timelineCanvas) drawSteps() {
	for i, step := range c.recording.Steps {
		x := c.x(step.At)
		c.Line(x, topEdge-8, x, c.barsTop+barsHeight, stepLineStyle)
		c.Text(x+3, c.barsTop-24+i%3*11, step.Step, stepStyle)
	}
}

package main

// This file draws what a rehearsal showed: each orchestrator's time, as it was and as the
// others saw it, and what was placed meanwhile.

import (
	"bytes"
	"fmt"

	svg "github.com/ajstarks/svgo"

	"ravenhitch/internal/testbed/fleet"
)

const (
	pictureWidth = 1000
	rowHeight    = 26
	leftEdge     = 110
	topEdge      = 70
	barsHeight   = 90
)

// colours by how an orchestrator was and was seen.
var colours = map[string]string{"up": "#4c9f70", "doubted": "#e3b23c", "dead": "#c8553d", "down": "#b8bec7", "ghost": "#7d8597"}

// statusOf is how an orchestrator was at a moment, as a key of colours.
func statusOf(x fleet.Seen) string {
	switch {
	case !x.Up && x.Alive+x.Suspected > 0:
		return "ghost" // it is not there, and some do not know
	case !x.Up:
		return "down"
	case x.Dead > 0:
		return "dead"
	case x.Suspected > 0:
		return "doubted"
	}
	return "up"
}

// picture is the record as SVG.
func (r *recording) picture() []byte {
	var b bytes.Buffer
	c := svg.New(&b)
	rows := 0
	if len(r.Moments) > 0 {
		rows = len(r.Moments[0].Fleet)
	}
	bars := topEdge + rows*rowHeight + 40
	c.Start(pictureWidth, bars+barsHeight+40)
	c.Rect(0, 0, pictureWidth, bars+barsHeight+40, "fill:#ffffff")
	text := "font-family:sans-serif;font-size:12px;fill:#222"
	c.Text(10, 20, "Rehearsal: "+r.Schedule, text)
	for i, k := range []struct{ key, means string }{{"up", "runs, seen by all"}, {"doubted", "runs, suspected by some"},
		{"dead", "runs, dead to some"}, {"ghost", "stopped, unknown to some"}, {"down", "stopped, known to all"}} {
		c.Rect(10+i*195, 32, 12, 12, "fill:"+colours[k.key])
		c.Text(27+i*195, 42, k.means, text)
	}
	if rows > 0 {
		r.drawRows(c, bars, text)
	}
	c.End()
	return b.Bytes()
}

func (r *recording) drawRows(c *svg.SVG, bars int, text string) {
	end := max(1, r.Moments[len(r.Moments)-1].At)
	x := func(at float64) int { return leftEdge + int(max(0, at)/end*(pictureWidth-leftEdge-20)) }
	for i, m := range r.Moments {
		to := pictureWidth - 20
		if i+1 < len(r.Moments) {
			to = x(r.Moments[i+1].At)
		}
		for row, s := range m.Fleet {
			c.Rect(x(m.At), topEdge+row*rowHeight, max(1, to-x(m.At)), rowHeight-4, "fill:"+colours[statusOf(s)])
		}
	}
	for row, s := range r.Moments[0].Fleet {
		c.Text(10, topEdge+row*rowHeight+15, s.Name+", "+s.Hall, text)
	}
	most := 1
	for _, s := range r.Seconds {
		most = max(most, s.Started)
	}
	c.Text(10, bars+barsHeight, "started a second", text)
	c.Text(10, bars+12, fmt.Sprintf("most %d", most), text)
	for i, s := range r.Seconds {
		h := s.Started * barsHeight / most
		c.Rect(x(float64(i)), bars+barsHeight-h, max(1, x(1)-x(0)-2), h, "fill:#5b7db1")
	}
	for i, d := range r.Steps {
		c.Line(x(d.At), topEdge-8, x(d.At), bars+barsHeight, "stroke:#222;stroke-width:1;stroke-dasharray:3,3")
		c.Text(x(d.At)+3, bars-24+i%3*11, d.Step, "font-family:sans-serif;font-size:9px;fill:#222")
	}
}

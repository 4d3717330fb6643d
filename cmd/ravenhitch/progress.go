package main

// This file shows the progress of a rehearsal: a table that is redrawn in place on a terminal, else a
// line at a time.

import (
	"fmt"
	"io"
	"os"
	"strings"

	"ravenhitch/internal/testbed/fleet"
)

// Control sequences of a terminal.
const (
	cursorUp  = "\x1b[%dA"
	clearLine = "\x1b[K"
)

// progressTable prints how the orchestrators of a rehearsal are.
type progressTable struct {
	out        io.Writer
	isTerminal bool
	drawn      int // lines of the table that stands on the terminal
}

func newProgressTable(out io.Writer) *progressTable {
	return &progressTable{out: out, isTerminal: isTerminal(out)}
}

// isTerminal reports whether out is the standard output, and that a terminal.
func isTerminal(out io.Writer) bool {
	file, _ := out.(*os.File)
	info, err := os.Stdout.Stat()
	return file == os.Stdout && err == nil && info.Mode()&os.ModeCharDevice != 0
}

// show prints the latest moment and the last second that is complete.
func (p *progressTable) show(moment fleet.Snapshot, seconds []fleet.SecondCounts) {
	var last fleet.SecondCounts
	if n := len(seconds); n > 1 {
		last = seconds[n-2]
	}
	text := formatProgressLine(moment, last)
	if p.isTerminal {
		text = p.formatTable(moment, last)
	}
	_, _ = io.WriteString(p.out, text) // the rehearsal goes on also where nobody can read this
}

func formatProgressLine(moment fleet.Snapshot, last fleet.SecondCounts) string {
	var labels []string
	for _, seen := range moment.Fleet {
		labels = append(labels, seen.Name+" "+statusOf(seen).label)
	}
	return fmt.Sprintf("%5.1f s  %4d started, %d refused  %s\n", moment.At, last.Started, last.Rejected, strings.Join(labels, ", "))
}

// formatTable draws the table over the one that was drawn before.
func (p *progressTable) formatTable(moment fleet.Snapshot, last fleet.SecondCounts) string {
	var text strings.Builder
	if p.drawn > 0 {
		fmt.Fprintf(&text, cursorUp, p.drawn)
	}
	fmt.Fprintf(&text, "%5.1f s  %4d started in the last second, %d refused, %d failed, %d lost%s\n",
		moment.At, last.Started, last.Rejected, last.Failed, last.Lost, clearLine)
	for _, seen := range moment.Fleet {
		fmt.Fprintf(&text, "  %-4s %-8s %-8s seen alive by %d, suspected by %d, dead by %d; sees %d%s\n",
			seen.Name, seen.Zone, statusOf(seen).label, seen.Alive, seen.Suspected, seen.Dead, seen.Sees, clearLine)
	}
	p.drawn = len(moment.Fleet) + 1
	return text.String()
}

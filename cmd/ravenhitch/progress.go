package main

// This file shows the progress of a rehearsal: on a terminal as a table that is redrawn in place, otherwise as
// one line per update.

import (
	"fmt"
	"io"
	"os"
	"strings"

	"ravenhitch/internal/testbed/fleet"
)

// Terminal control sequences.
const (
	cursorUp  = "\x1b[%dA"
	clearLine = "\x1b[K"
)

// progressTable prints the state of the orchestrators of a rehearsal.
type progressTable struct {
	out        io.Writer
	isTerminal bool
	drawnLines int // number of lines of the table that was last drawn on the terminal
}

func newProgressTable(out io.Writer) *progressTable {
	return &progressTable{out: out, isTerminal: isTerminal(out)}
}

// isTerminal reports whether out is the standard output and the standard output is a terminal.
func isTerminal(out io.Writer) bool {
	file, _ := out.(*os.File)
	info, err := os.Stdout.Stat()
	return file == os.Stdout && err == nil && info.Mode()&os.ModeCharDevice != 0
}

// show prints the latest sample of the fleet and the second-to-last entry of seconds, because the last entry may
// belong to a second that has not ended yet.
func (p *progressTable) show(snapshot fleet.Snapshot, seconds []fleet.SecondCounts) {
	var last fleet.SecondCounts
	if n := len(seconds); n > 1 {
		last = seconds[n-2]
	}
	text := formatProgressLine(snapshot, last)
	if p.isTerminal {
		text = p.formatTable(snapshot, last)
	}
	_, _ = io.WriteString(p.out, text) // the rehearsal continues even if its output cannot be written
}

func formatProgressLine(snapshot fleet.Snapshot, last fleet.SecondCounts) string {
	var labels []string
	for _, state := range snapshot.Fleet {
		labels = append(labels, state.Name+" "+statusOf(state).label)
	}
	return fmt.Sprintf("%5.1f s  %4d started, %d refused  %s\n",
		snapshot.At, last.Started, last.Rejected, strings.Join(labels, ", "))
}

// formatTable returns the text that draws the table on the terminal. The text overwrites the table that was
// drawn before, if there is one.
func (p *progressTable) formatTable(snapshot fleet.Snapshot, last fleet.SecondCounts) string {
	var text strings.Builder
	if p.drawnLines > 0 {
		fmt.Fprintf(&text, cursorUp, p.drawnLines)
	}
	fmt.Fprintf(&text, "%5.1f s  last second: %4d tasks started, %d refused, %d failed, %d lost%s\n",
		snapshot.At, last.Started, last.Rejected, last.Failed, last.Lost, clearLine)
	for _, state := range snapshot.Fleet {
		fmt.Fprintf(&text, "  %-4s %-6s %-8s alive to %d, suspected by %d, dead to %d others; views %d%s\n",
			state.Name, state.Zone, statusOf(state).label, state.Alive, state.Suspected, state.Dead, state.ViewSize, clearLine)
	}
	p.drawnLines = len(snapshot.Fleet) + 1
	return text.String()
}

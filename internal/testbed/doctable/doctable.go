// Package doctable reads tables of the project's pages, so that tests can compare them with the code.
package doctable

import (
	"os"
	"strings"
	"testing"
)

// Row is one row of a table: the text of each cell by the heading of its column.
type Row map[string]string

// Names returns the names in a cell that are set as code.
func (r Row) Names(column string) (names []string) {
	for i, part := range strings.Split(r[column], "`") {
		if isCode := i%2 == 1; isCode {
			names = append(names, part)
		}
	}
	return names
}

// Read returns the rows of the table in a page whose first heading is firstColumn. It fails the test if there is none.
func Read(t *testing.T, path, firstColumn string) (rows []Row) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var headings []string
	for line := range strings.Lines(string(text)) {
		cells := splitRow(line)
		switch {
		case headings == nil && len(cells) > 0 && cells[0] == firstColumn:
			headings = cells
		case headings == nil || strings.HasPrefix(line, "| ---"):
		case len(cells) != len(headings):
			return rows
		default:
			rows = append(rows, newRow(headings, cells))
		}
	}
	if len(rows) == 0 {
		t.Fatalf("%s: no table with the first column %q", path, firstColumn)
	}
	return rows
}

func newRow(headings, cells []string) Row {
	row := Row{}
	for i, heading := range headings {
		row[heading] = cells[i]
	}
	return row
}

// splitRow returns the cells of a line of a table, or nil if the line is none.
func splitRow(line string) (cells []string) {
	line, isRow := strings.CutPrefix(strings.TrimSpace(line), "|")
	line, isClosed := strings.CutSuffix(line, "|")
	if !isRow || !isClosed {
		return nil
	}
	for cell := range strings.SplitSeq(line, "|") {
		cells = append(cells, strings.TrimSpace(cell))
	}
	return cells
}

package peer

// This file owns the counter of starts in a folder that outlives the process, by which the incarnations of
// one name grow. It blocks: it belongs before the event loop runs.

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

const (
	// refutationsPerStart is how often one start may refute a suspicion before its incarnation reaches the
	// next start's.
	refutationsPerStart = 1 << 24
	// firstIncarnation is that of a start without a folder.
	firstIncarnation = 1
	// startsFile is the name of the counter's file: the count in decimal digits, and a line feed.
	startsFile     = "starts"
	startsFileMode = 0o600
)

// NextIncarnation counts a start in a folder, and returns its first incarnation: greater than that of any start before
// that the folder knows of. Without a folder it is 1, and the others' updates say if they know of a later one.
// A file that holds no count begins anew; fault says so, "" where there is nothing to say.
func NextIncarnation(folder string) (incarnation uint64, fault string, err error) {
	if folder == "" {
		return firstIncarnation, "", nil
	}
	path := filepath.Join(folder, startsFile)
	starts, fault, err := readStarts(path)
	if err != nil {
		return 0, "", fmt.Errorf("peers: %w", err)
	}
	starts++
	if err := writeStarts(path, starts); err != nil {
		return 0, "", fmt.Errorf("peers: %w", err)
	}
	return starts * refutationsPerStart, fault, nil
}

// readStarts reads the counter, 0 where there is no file; fault says what is wrong with one that holds none.
func readStarts(path string) (starts uint64, fault string, err error) {
	b, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, "", nil
	}
	if err != nil {
		return 0, "", err
	}
	starts, ok := parseStarts(string(b))
	if !ok {
		return 0, fmt.Sprintf("%s: expected a count of starts and a line feed, got %.40q", path, b), nil
	}
	return starts, "", nil
}

// parseStarts reads a complete file; false where it holds no count.
func parseStarts(text string) (starts uint64, ok bool) {
	digits, complete := strings.CutSuffix(text, "\n")
	starts, err := strconv.ParseUint(digits, 10, 32)
	return starts, complete && err == nil
}

// writeStarts replaces the file, so that it is never found half written.
func writeStarts(path string, starts uint64) error {
	next := path + ".new"
	if err := os.WriteFile(next, fmt.Appendf(nil, "%d\n", starts), startsFileMode); err != nil {
		return err
	}
	return os.Rename(next, path)
}

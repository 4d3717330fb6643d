package peer

// This file owns the counter of process starts, which is stored in a directory that outlives the process. The counter
// gives each start of an orchestrator a greater incarnation than the start before. The file access blocks, so it
// must happen before the event loop runs.

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/atomicfile"
)

const (
	// refutationsPerStart is the difference between the first incarnations of two consecutive starts. Each refutation
	// of a suspicion raises the incarnation by one. The incarnation of a process therefore reaches the first
	// incarnation of the next start only after this number of refutations.
	refutationsPerStart = 1 << 24
	// firstIncarnation is the first incarnation of a process for which no directory is configured.
	firstIncarnation = 1
	// startsFile is the name of the counter's file. It holds the number of starts in decimal digits and a line feed.
	startsFile     = "starts"
	startsFileMode = 0o600
)

// NextIncarnation increments the counter of starts in a directory and returns the first incarnation of this start,
// which is greater than that of every earlier start counted there. Without a directory (dir is "") it returns 1. If the
// counter's file holds no valid count, the count is reset to 1 and fault describes the file. If the storage fails, the
// count is not stored and fault says so; otherwise fault is "".
//
// The incarnation may be lower than that of an earlier process with the same name: without a directory, after a reset
// of the count, or if the file is an older copy. Updates about the earlier process may then still arrive and report
// that it is dead, that it has left, or that it has the address of the new process. When such an update arrives, the
// membership table of the new process raises this process's incarnation above that of the earlier one.
func NextIncarnation(dir string) (incarnation uint64, fault string, err error) {
	if dir == "" {
		return firstIncarnation, "", nil
	}
	path := filepath.Join(dir, startsFile)
	starts, fault, err := readStarts(path)
	if err != nil {
		return 0, "", fmt.Errorf("peers: %w", err)
	}
	starts++
	switch err := writeStarts(path, starts); {
	case isStorageFailure(err):
		fault = fmt.Sprintf("%s: the count %d is not stored: %v", path, starts, err)
	case err != nil:
		return 0, "", fmt.Errorf("peers: %w", err)
	}
	return starts * refutationsPerStart, fault, nil
}

// isStorageFailure reports whether a write failed because of the storage and not because of the directory. Such a failure
// may pass, and must not keep the orchestrator from starting.
func isStorageFailure(err error) bool {
	return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) || errors.Is(err, unix.EIO)
}

// readStarts reads the counter. It returns 0 if there is no file. If the file holds no valid count, it also returns
// 0, and fault describes the file.
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

// parseStarts returns the count in the text of the file. ok is false unless the text is a decimal number that fits
// into 32 bits, followed by a line feed.
func parseStarts(text string) (starts uint64, ok bool) {
	digits, complete := strings.CutSuffix(text, "\n")
	starts, err := strconv.ParseUint(digits, 10, 32)
	return starts, complete && err == nil
}

// writeStarts replaces the counter.
func writeStarts(path string, starts uint64) error {
	return atomicfile.Replace(path, fmt.Appendf(nil, "%d\n", starts), startsFileMode)
}

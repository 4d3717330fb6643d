package peer

// This file owns the count of starts in a kept folder, by which the incarnations of one
// name grow. It blocks: it belongs before the loop begins.

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// raisesMost is how often one start may refute what is said of it before its incarnation
// reaches the next start's.
const raisesMost = 1 << 24

// Start counts a start in a folder, and returns its first incarnation: greater than any
// of the starts before that the folder knows of. Without a folder it is 1, and the others
// tell if they know of a later one. A file that holds no count begins anew, with a line.
func Start(folder string) (incarnation uint64, fault string, err error) {
	if folder == "" {
		return 1, "", nil
	}
	path := filepath.Join(folder, "starts")
	b, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return 0, "", fmt.Errorf("peers: %w", err)
	}
	starts := uint64(0)
	if text, whole := strings.CutSuffix(string(b), "\n"); err == nil {
		if starts, err = strconv.ParseUint(text, 10, 32); err != nil || !whole {
			starts, fault = 0, fmt.Sprintf("%s: expected a count of starts and a line feed, got %.40q", path, b)
		}
	}
	starts++
	if err := os.WriteFile(path+".new", fmt.Appendf(nil, "%d\n", starts), 0o600); err != nil {
		return 0, "", fmt.Errorf("peers: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return 0, "", fmt.Errorf("peers: %w", err)
	}
	return starts * raisesMost, fault, nil
}

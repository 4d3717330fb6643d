package ratelog

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

// newTestLogger returns a logger and the buffer that it writes to.
func newTestLogger() (*Logger, *bytes.Buffer) {
	written := &bytes.Buffer{}
	return New(slog.New(slog.NewTextHandler(written, nil))), written
}

func TestLimit(t *testing.T) {
	for _, c := range []struct {
		name      string
		calls     int
		log       func(l *Logger, text string, args ...any)
		wantLines int
	}{
		{"warnings up to the limit", maxLinesPerBurst, (*Logger).Warn, maxLinesPerBurst},
		{"warnings over the limit", 3 * maxLinesPerBurst, (*Logger).Warn, maxLinesPerBurst},
		{"information has no limit", 3 * maxLinesPerBurst, (*Logger).Info, 3 * maxLinesPerBurst},
	} {
		t.Run(c.name, func(t *testing.T) {
			logger, written := newTestLogger()
			for i := range c.calls {
				c.log(logger, "event", "call", i)
			}
			if lines := strings.Count(written.String(), "msg=event call="); lines != c.wantLines {
				t.Errorf("got %d log lines, want %d", lines, c.wantLines)
			}
		})
	}
}

// TestLimitIsPerText asserts that a text that has reached its limit does not suppress lines with another text.
func TestLimitIsPerText(t *testing.T) {
	logger, written := newTestLogger()
	for range 2 * maxLinesPerBurst {
		logger.Warn("first")
	}
	logger.Warn("second")
	if !strings.Contains(written.String(), "msg=second") {
		t.Errorf("the line with the second text is missing from the log:\n%s", written)
	}
}

// TestSuppressedLinesAreCounted asserts that the first line after a burst that suppressed lines is preceded by their
// number.
func TestSuppressedLinesAreCounted(t *testing.T) {
	logger, written := newTestLogger()
	for range maxLinesPerBurst + 3 {
		logger.Warn("event")
	}
	b := logger.bursts["event"]
	b.startedAt = b.startedAt.Add(-2 * burstInterval)
	written.Reset()

	logger.Warn("event", "burst", 2)

	lines := strings.Split(strings.TrimSpace(written.String()), "\n")
	if len(lines) != 2 || !strings.HasSuffix(lines[0], "msg=event left_out=3") || !strings.HasSuffix(lines[1], "msg=event burst=2") {
		t.Errorf("expected a line with left_out=3 and a line with burst=2, got:\n%s", written)
	}
}

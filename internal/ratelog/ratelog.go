// Package ratelog provides a logger that limits the rate of warnings with the same text. It is not safe for concurrent
// use.
package ratelog

import (
	"log/slog"
	"time"
)

const (
	// burstInterval is the duration of a burst. Each text has its own bursts: the first warning with the text after
	// the end of a burst begins the next burst.
	burstInterval = time.Second
	// maxLinesPerBurst is the maximum number of lines with the same text in a burst.
	maxLinesPerBurst = 5
)

// Logger writes at most maxLinesPerBurst warnings with the same text in each burst, plus a line with the number of
// warnings that the previous burst suppressed.
type Logger struct {
	log    *slog.Logger
	bursts map[string]*burst // current burst of each text
}

// burst counts the warnings with the same text since startedAt.
type burst struct {
	startedAt  time.Time
	lines      int
	suppressed int
}

// New returns a Logger that writes to log.
func New(log *slog.Logger) *Logger { return &Logger{log: log, bursts: map[string]*burst{}} }

// Debug logs a line at debug level. The number of lines is not limited.
func (l *Logger) Debug(text string, args ...any) { l.log.Debug(text, args...) }

// Info logs a line. The number of lines is not limited.
func (l *Logger) Info(text string, args ...any) { l.log.Info(text, args...) }

// Warn logs a line, or suppresses the line if its text has reached the limit of the current burst. If a burst
// suppressed lines, the next line with the same text is preceded by a line with the number of suppressed lines.
func (l *Logger) Warn(text string, args ...any) {
	b := l.bursts[text]
	if b == nil {
		b = &burst{}
		l.bursts[text] = b
	}
	if now := time.Now(); now.Sub(b.startedAt) > burstInterval {
		if b.suppressed > 0 {
			l.log.Warn(text, "left_out", b.suppressed)
		}
		*b = burst{startedAt: now}
	}
	if b.lines++; b.lines > maxLinesPerBurst {
		b.suppressed++
		return
	}
	l.log.Warn(text, args...)
}

// Package ratelog owns a logger whose warnings with the same text are limited. It is not safe for concurrent use.
package ratelog

import (
	"log/slog"
	"time"
)

const (
	// burstInterval is how long a burst lasts: after it, the text has its lines again.
	burstInterval = time.Second
	// maxLinesPerBurst is how many lines one text has in a burst.
	maxLinesPerBurst = 5
)

// Logger is a logger whose warnings with the same text are limited to a few a second.
type Logger struct {
	log    *slog.Logger
	bursts map[string]*burst // by text
}

// burst counts the lines of one text.
type burst struct {
	startedAt  time.Time
	lines      int
	suppressed int
}

// New returns a Logger that writes to log.
func New(log *slog.Logger) *Logger { return &Logger{log: log, bursts: map[string]*burst{}} }

// Info logs a line, without a limit.
func (l *Logger) Info(text string, args ...any) { l.log.Info(text, args...) }

// Warn logs a line, unless the text had its lines of this burst. The first line of the next burst is preceded by
// one that counts what was suppressed.
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

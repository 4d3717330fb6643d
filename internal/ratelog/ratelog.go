package ratelog

// This file owns the log whose lines of one text are limited.

import (
	"log/slog"
	"time"
)

// Logger is a log whose lines of one text are limited to a few a second.
type Logger struct {
	log  *slog.Logger
	seen map[string]*burst
}

type burst struct {
	at      time.Time
	n, mute int
}

const (
	limitEvery = time.Second
	limitLines = 5
)

// New returns a Logger over log.
func New(log *slog.Logger) *Logger { return &Logger{log: log, seen: map[string]*burst{}} }

// Info logs a line, without a limit.
func (l *Logger) Info(text string, args ...any) { l.log.Info(text, args...) }

// Warn logs a line, unless the text had its lines of this second.
func (l *Logger) Warn(text string, args ...any) {
	b := l.seen[text]
	if b == nil {
		b = &burst{}
		l.seen[text] = b
	}
	if now := time.Now(); now.Sub(b.at) > limitEvery {
		if b.mute > 0 {
			l.log.Warn(text, "left_out", b.mute)
		}
		*b = burst{at: now}
	}
	if b.n++; b.n > limitLines {
		b.mute++
		return
	}
	l.log.Warn(text, args...)
}

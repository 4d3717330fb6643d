package dispatch

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

// Only request IDs that end in one of the suffixes are traced. Without suffixes, all are traced.
func TestTraced(t *testing.T) {
	for _, c := range []struct {
		suffixes  []string
		requestID string
		want      bool
	}{
		{nil, "6c74d45b160bf556", true},
		{[]string{"160bf556"}, "6c74d45b160bf556", true},
		{[]string{"42ac8ba6", "160bf556"}, "6c74d45b160bf556", true},
		{[]string{"42ac8ba6"}, "6c74d45b160bf556", false},
		{[]string{"6c74d45b"}, "6c74d45b160bf556", false},
	} {
		if got := Traced(c.suffixes, c.requestID); got != c.want {
			t.Errorf("Traced(%v, %s) = %v, want the opposite", c.suffixes, c.requestID, got)
		}
	}
}

// A step is written only if its request ID is traced and the debug level is on.
func TestTracerStep(t *testing.T) {
	for _, c := range []struct {
		level    slog.Level
		suffixes []string
		want     bool
	}{
		{slog.LevelDebug, nil, true},
		{slog.LevelDebug, []string{"160bf556"}, true},
		{slog.LevelDebug, []string{"42ac8ba6"}, false},
		{slog.LevelInfo, nil, false},
	} {
		var logged bytes.Buffer
		handler := slog.NewTextHandler(&logged, &slog.HandlerOptions{Level: c.level})
		tracer := Tracer{Log: slog.New(handler), Suffixes: c.suffixes}
		tracer.Step("offer", "6c74d45b160bf556", 42, "worker", "s-1")
		if got := strings.Contains(logged.String(), "msg=offer request_id=6c74d45b160bf556 at_us=42 worker=s-1"); got != c.want {
			t.Errorf("level %v, suffixes %v: wrong log output %q", c.level, c.suffixes, logged.String())
		}
	}
}

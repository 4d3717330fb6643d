package dispatch

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

// Only tags with one of the endings are traced; without endings, all are.
func TestTraced(t *testing.T) {
	for _, x := range []struct {
		endings []string
		tag     string
		want    bool
	}{
		{nil, "6c74d45b160bf556", true},
		{[]string{"160bf556"}, "6c74d45b160bf556", true},
		{[]string{"42ac8ba6", "160bf556"}, "6c74d45b160bf556", true},
		{[]string{"42ac8ba6"}, "6c74d45b160bf556", false},
		{[]string{"6c74d45b"}, "6c74d45b160bf556", false},
	} {
		if got := Traced(x.endings, x.tag); got != x.want {
			t.Errorf("Traced(%v, %s) = %v", x.endings, x.tag, got)
		}
	}
}

// A step is written at debug level for a traced tag, and at no other level or tag.
func TestTracerStep(t *testing.T) {
	for _, x := range []struct {
		level   slog.Level
		endings []string
		want    bool
	}{
		{slog.LevelDebug, nil, true},
		{slog.LevelDebug, []string{"160bf556"}, true},
		{slog.LevelDebug, []string{"42ac8ba6"}, false},
		{slog.LevelInfo, nil, false},
	} {
		var b bytes.Buffer
		tr := Tracer{Log: slog.New(slog.NewTextHandler(&b, &slog.HandlerOptions{Level: x.level})), Suffixes: x.endings}
		tr.Step("offer", "6c74d45b160bf556", 42, "worker", "s-1")
		if got := strings.Contains(b.String(), "msg=offer request_id=6c74d45b160bf556 at_us=42 worker=s-1"); got != x.want {
			t.Errorf("%v %v: wrote %q", x.level, x.endings, b.String())
		}
	}
}

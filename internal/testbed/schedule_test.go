package testbed

import (
	"errors"
	"slices"
	"testing"
	"time"
)

// This file tests the text form of schedules, their generation from a seed and their reduction.

// The same seed must always give the same schedule. The test guards against a change of the order
// or the bounds of the random draws: it compares with a schedule that an earlier version drew.
func TestDrawIsStable(t *testing.T) {
	zones := map[string][]string{"hall-a": {"n0", "n3", "n6"}, "hall-b": {"n1", "n4"}, "hall-c": {"n2", "n5"}}
	const want = "1.2s cut n1->n0; 1.6s pause n6 2315ms; 2.2s twice all 0.10; 2.2s overtake all 0.10; 2.8s delay all 5ms 20ms; " +
		"3.4s refuse n2->n4; 3.5s cut hall-b but n3; 4.6s restart n5 old; 5.6s cut hall-c; 6.4s loss all 0.11; 9s mend hall-c; 9s heal"
	if got := FormatSchedule(DrawSchedule(7, zones, 12*time.Second)); got != want {
		t.Errorf("DrawSchedule with seed 7: got %s, want %s", got, want)
	}
}

func TestScheduleErrors(t *testing.T) {
	for _, c := range []struct{ text, expected, got string }{
		{"2s cut a->b; soon heal", "a time such as 2s or 500ms", "soon"},
		{"2s cut a->b; 3s", "a verb after the time, such as cut or heal", ""},
		{"2s cut a->b; 3s heal all", "nothing after heal", "all"},
		{"2s cut a->b; 3s kill", "a process or a path after kill", ""},
		{"2s cut a->b; 3s cut a->b but", "cut a->b [but PROCESS]", " 3s cut a->b but"},
		{"2s cut a->b; 3s loss all 1.5", "a share of 0 to 1", "1.5"},
		{"2s cut a->b; 3s start n1 new", "empty or old", "new"},
	} {
		_, err := ParseSchedule(c.text)
		var invalid *ScheduleError
		if !errors.Is(err, ErrSchedule) || !errors.As(err, &invalid) {
			t.Errorf("ParseSchedule(%q): got error %v, want a *ScheduleError", c.text, err)
			continue
		}
		if want := (ScheduleError{Step: 2, Expected: c.expected, Got: c.got}); *invalid != want {
			t.Errorf("ParseSchedule(%q): want error %+v, got %+v", c.text, want, *invalid)
		}
	}
}

func TestShrinkSchedule(t *testing.T) {
	steps, err := ParseSchedule("1s pause n1 1s; 2s kill n2; 3s cut n0->n1; 9s heal")
	if err != nil {
		t.Fatal(err)
	}
	hasKill := func(steps []Step) bool {
		return slices.ContainsFunc(steps, func(s Step) bool { return s.Verb == VerbKill })
	}
	if got := FormatSchedule(ShrinkSchedule(steps, hasKill)); got != "2s kill n2; 9s heal" {
		t.Errorf("ShrinkSchedule: got %s, want only the kill and the heal step", got)
	}
}

package discovery

import "testing"

// A worker has started 2 s ago, and the system's clock steps by an hour around its start or around the event that
// reports it. It must not count as warm, and its start must not change when it is reported again.
func TestStartTimesAcrossClockSteps(t *testing.T) {
	const (
		start = began + 60*second
		now   = start + 2*second
	)
	for _, test := range []struct {
		name           string
		stepped        int64 // step of the system's clock
		reported, want int64 // start time as reported, and on the loop's clock
	}{
		{"no step", 0, start, start},
		{"step forward before the start", hour, start + hour, start},
		{"step forward after the start", hour, start, start},
		{"step back before the start", -hour, start - hour, start},
		{"step back after the start", -hour, start, start},
		{"a few seconds back, after the start", -5 * second, start, start},
		{"a start long ago", hour, start - 2*hour, start - 2*hour},
	} {
		t.Run(test.name, func(t *testing.T) {
			var times startTimes
			times.observe(began, began)
			times.observe(now+test.stepped, now)
			if got := times.convert("a", test.reported, now); got != test.want {
				t.Errorf("convert() = %d s before now, want %d s", (now-got)/second, (now-test.want)/second)
			}
			times.observe(now+test.stepped+100*millisecond, now)
			if got := times.convert("a", test.reported, now+second); got != test.want {
				t.Errorf("convert() of the same start = %d s before now, want %d s as before", (now-got)/second, (now-test.want)/second)
			}
		})
	}
}

// A start time that is ahead of both clocks, because a step was not observed, counts as now.
func TestStartTimeInTheFuture(t *testing.T) {
	var times startTimes
	times.observe(100*second, 100*second)
	if got := times.convert("a", 4_000*second, 101*second); got != 101*second {
		t.Errorf("convert() = %d, want the present", got)
	}
	if got := times.convert("a", 0, 101*second); got != 0 {
		t.Errorf("convert(0) = %d, want 0 for a start long ago", got)
	}
}

// Guards against a host whose clock was wrong when the process started, while discovery sends no dates: a worker that has just
// started would count as warm, and the tasks of its earlier process as running. The first start that an event reports shows the
// error, by how old it seems, or by being still to come.
func TestFirstStartCorrectsStartTimes(t *testing.T) {
	const (
		earlier  = began - 5*second // start of another worker, from the configuration
		start    = began + 60*second
		reported = start + 3*second
	)
	for _, wrong := range []int64{-hour, -30 * second, 0, 30 * second, hour} {
		var times startTimes
		times.observe(began+wrong, began)
		times.convert("b", earlier, began)
		changed := times.observeStart("a", start, reported+wrong, reported)
		if isWrong := wrong != 0; (changed["b"] != 0) != isWrong || times.server.isCoarse() != isWrong {
			t.Errorf("host %d s off: start times that change: %v, want that of b only if the host is wrong", wrong/second, changed)
		}
		times.observe(reported+wrong, reported)
		if got := times.convert("a", start, reported); got < start || got > reported {
			t.Errorf("host %d s off: the start is %d s after the true one, want at most the %d s to its report",
				wrong/second, (got-start)/second, (reported-start)/second)
		}
		if got := times.convert("b", earlier, reported); got < earlier || got > earlier+reported-start {
			t.Errorf("host %d s off: the earlier start is %d s after the true one, want at most %d s", wrong/second,
				(got-earlier)/second, (reported-start)/second)
		}
	}
}

// A start that is reported at once narrows what a start that was reported late has shown.
func TestLaterStartsNarrowTheServerClock(t *testing.T) {
	const late = 7 * second
	var times startTimes
	times.observe(began+hour, began)
	times.observeStart("a", began+10*second-late, began+10*second+hour, began+10*second)
	times.observeStart("b", began+20*second, began+20*second+hour, began+20*second)
	times.observe(began+30*second+hour, began+30*second)
	if got := times.convert("c", began+25*second, began+30*second); got != began+25*second {
		t.Errorf("a start is %d us after the true one, want none", got-(began+25*second))
	}
}

// Guards against a clock that is set almost right by a step: a start that contradicts the clock before the step shows that this
// host's clock can't be relied on, although the error that is left is too small to be seen. A worker that was restarted just now
// would count as restarted before the connections on which its tasks had started. The start of a worker that was listed
// earlier must not become later than the list.
func TestStartAfterAnAlmostRightStep(t *testing.T) {
	const (
		left     = 17 * second // error of the clock after the step
		earlier  = began - 2*second
		start    = began + 60*second
		reported = start + 1*second
	)
	var times startTimes
	times.observe(began+hour, began)
	times.convert("b", earlier, began)
	times.observe(reported+left, reported)
	times.observeStart("a", start, reported+left, reported)
	times.observe(reported+left, reported)
	if got := times.convert("a", start, reported); got < start || got > reported {
		t.Errorf("the start is %d s after the true one, want 0 to 1 s", (got-start)/second)
	}
	if got := times.convert("b", earlier, reported); got < earlier || got > began {
		t.Errorf("the earlier start is %d s after the true one, want 0 to 2 s", (got-earlier)/second)
	}
}

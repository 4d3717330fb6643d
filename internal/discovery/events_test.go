package discovery

import (
	"slices"
	"testing"

	"ravenhitch/internal/config"
	"ravenhitch/placement"
)

// TestFoldedList asserts that a foldedList holds the latest entry of each worker, in the order in which the workers
// were first listed, and that a complete list replaces the entries before it.
func TestFoldedList(t *testing.T) {
	event := func(complete bool, entries ...placement.Entry) (e config.Event) {
		e.Complete = complete
		for _, entry := range entries {
			e.Workers = append(e.Workers, config.Worker{Entry: entry})
		}
		return e
	}
	for _, test := range []struct {
		name   string
		events []config.Event
		want   []string
	}{
		{"no event", nil, nil},
		{"a changed worker stays in its place", []config.Event{
			event(false, placement.Entry{Worker: "a"}, placement.Entry{Worker: "b"}),
			event(false, placement.Entry{Worker: "c"}, placement.Entry{Worker: "a", Zone: "z"})}, []string{"a@z", "b@", "c@"}},
		{"a removed worker", []config.Event{
			event(true, placement.Entry{Worker: "a"}, placement.Entry{Worker: "b"}),
			event(false, placement.Entry{Worker: "a", State: placement.Removed})}, []string{"b@"}},
		{"a complete list", []config.Event{
			event(false, placement.Entry{Worker: "a"}, placement.Entry{Worker: "b"}),
			event(true, placement.Entry{Worker: "b"}, placement.Entry{Worker: "c"})}, []string{"b@", "c@"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var list foldedList
			for _, e := range test.events {
				list.fold(e)
			}
			var got []string
			for _, entry := range list.present() {
				got = append(got, entry.Worker+"@"+entry.Zone)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("list of workers: got %v, want %v", got, test.want)
			}
		})
	}
}

// TestCursorAdvances asserts that an event is applied once and in order, and that an event without a list of workers
// moves the cursor too.
func TestCursorAdvances(t *testing.T) {
	follower := &Follower{cursor: 6}
	for _, test := range []struct {
		event      config.Event
		apply      bool
		wantCursor int64
	}{
		{config.Event{Cursor: 6, HasList: true}, false, 6},
		{config.Event{Cursor: 7, HasList: true}, true, 7},
		{config.Event{Cursor: 7, HasList: true}, false, 7},
		{config.Event{Cursor: 9}, false, 9},
		{config.Event{Cursor: 8, HasList: true}, false, 9},
	} {
		if apply := follower.advance(test.event); apply != test.apply || follower.cursor != test.wantCursor {
			t.Errorf("event %d: got apply %t, cursor %d; want apply %t, cursor %d",
				test.event.Cursor, apply, follower.cursor, test.apply, test.wantCursor)
		}
	}
}

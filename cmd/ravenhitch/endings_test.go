package main

// This file plays the instants at which something ends while something is still owed, one
// crossing a test. What opens and closes a crossing is an event, never a time that passes.

import (
	"log/slog"
	"testing"
	"time"

	"ravenhitch/internal/config"
	"ravenhitch/internal/standin"
)

// A minion that refuses connections and says nothing on those that it has is gone, and
// nobody else will tell of what stood there. One that only takes no further connections is
// not: what stands there ends by its own word.
func TestMinionsThatRefuse(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(t *testing.T, m *standin.Minion, e *early)
		want int
	}{
		{"gone without a word", func(_ *testing.T, m *standin.Minion, _ *early) { m.Vanish() }, 41},
		{"gone with a close and no reset", func(_ *testing.T, m *standin.Minion, _ *early) { m.Shut() }, 41},
		{"deaf, and there", func(t *testing.T, m *standin.Minion, e *early) {
			m.Deaf()
			for limit := time.Now().Add(3 * standin.Patience); e.spell() < 2*deadRefuse; time.Sleep(time.Millisecond) {
				if time.Now().After(limit) {
					t.Fatal("it was not called on for long")
				}
			}
			m.Tell(standin.Tag(1), 16)
		}, 16},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e := &early{Handler: slog.DiscardHandler, gone: map[string]int64{}}
			w := newWorldBy(t, config.Edge{}, 1024, slog.New(e), func(*standin.Minion) {}, "a")
			o := w.owner(t)
			standin.Send(o, standin.SetUp(standin.Tag(1), "guide-web", "ok-1", 5000))
			if l := standin.Wait(t, "the answer", o.Lines); l.Verb != "STARTED" {
				t.Fatalf("got %v", l)
			}
			c.play(t, w.minions[0], e)
			if l := standin.Wait(t, "the end", o.Lines); l.Tag != standin.Tag(1) || l.Cause() != c.want {
				t.Errorf("got %v, expected %d", l, c.want)
			}
		})
	}
}

// deadRefuse is how long what refuses and is silent lives at the most.
const deadRefuse = 2 * time.Second

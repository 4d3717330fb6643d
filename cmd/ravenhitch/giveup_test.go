package main

// This file plays what ends an attempt, or a task, while the way to its minion fails.
// One rig: minions behind links, notes of what is out where.

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"ravenhitch/internal/config"
	"ravenhitch/internal/testbed"
)

// field is a world whose minions are reached by links.
type field struct {
	*world
	*testbed.Client
	links    map[string]*testbed.Proxy
	attempts *testbed.AttemptLog
	tags     int
	got      map[string]string // first words to owners, by tag
	early    *early
}

// early follows the program's own trace, and notes offers that left before a close that
// gave up the attempt before can have reached its minion.
type early struct {
	slog.Handler
	mu    sync.Mutex
	gone  map[string]int64 // when an attempt was given up and not proved to be over, by tag
	notes []string
	ended []time.Time // when connections to minions ended, as the log tells
}

// spell is for how long connections to minions have kept ending.
func (e *early) spell() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.ended) == 0 {
		return 0
	}
	return e.ended[len(e.ended)-1].Sub(e.ended[0])
}

func (*early) Enabled(context.Context, slog.Level) bool { return true }

func (e *early) Handle(_ context.Context, r slog.Record) error {
	tag, at, written := "", int64(0), true
	r.Attrs(func(a slog.Attr) bool {
		switch a.Key {
		case "request_id":
			tag = a.Value.String()
		case "at_us":
			at = a.Value.Int64()
		case "written":
			written = a.Value.Bool()
		}
		return true
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	switch r.Message {
	case "worker connection closed":
		e.ended = append(e.ended, r.Time)
	case "cancelling attempt", "connection lost with offer open":
		if written { // else it never left
			e.gone[tag] = at
		}
	case "cancel confirmed":
		delete(e.gone, tag)
	case "offer":
		if gone, ok := e.gone[tag]; ok && at-gone < 2000 {
			e.notes = append(e.notes, fmt.Sprintf("%s was offered %d us after its last attempt was closed", tag, at-gone))
		}
		delete(e.gone, tag)
	}
	return nil
}

func newField(t *testing.T, minions ...string) *field { return newFieldOf(t, settingsText, minions...) }

func newFieldOf(t *testing.T, settings string, minions ...string) *field {
	f := &field{links: map[string]*testbed.Proxy{}, attempts: testbed.NewAttemptLog(), got: map[string]string{},
		early: &early{Handler: slog.DiscardHandler, gone: map[string]int64{}}}
	f.world = newWorldSet(t, settings, config.Operators{}, 1024, slog.New(f.early), func(m *testbed.Worker) {
		m.Attempts = f.attempts
		f.links[m.Name] = testbed.NewProxy(t, m)
	}, minions...)
	f.Client = f.world.owner(t)
	// Quick answers, so that later attempts are given up early and many are out at a time.
	f.answered(t, f.ask("ok", 1, 5000)) // from then on the owner may have many set-ups open
	f.allTaken(t, f.ask("ok", 16*len(minions), 5000))
	return f
}

// said lets every minion say something once half of the offers came.
func (f *field) said(t *testing.T, tags []string) {
	t.Helper()
	f.soon(t, "half of the offers", func() bool { return 2*len(f.attempts.Open()) >= len(tags) })
	for _, m := range f.minions {
		m.Note()
	}
	f.on(t, func() {}) // a turn, and another: what was said is read
	f.on(t, func() {})
}

// ask sends so many set-ups of small tasks at once. It returns their tags.
func (f *field) ask(kind string, n, leftMs int) (tags []string) {
	for range n {
		f.tags++
		tag := testbed.RequestID(f.tags)
		l := testbed.StartLine(tag, "guide-web", fmt.Sprintf("%s-%d", kind, f.tags), leftMs)
		l.Opts["extras"] = "cores:0.05;memory:0.1;service:00000000b4d65521"
		testbed.Send(f, l)
		tags = append(tags, tag)
	}
	return tags
}

// answered waits for the answers to all tags, and returns how many were a yes.
func (f *field) answered(t *testing.T, tags []string) (yes int) {
	t.Helper()
	for _, tag := range tags {
		for f.got[tag] == "" {
			f.take(t)
		}
		if f.got[tag] == "STARTED" {
			yes++
		}
	}
	return yes
}

// allTaken waits for the answers, which must all be a yes.
func (f *field) allTaken(t *testing.T, tags []string) {
	t.Helper()
	if yes := f.answered(t, tags); yes != len(tags) {
		t.Errorf("%d of %d were taken", yes, len(tags))
	}
}

// take notes the next word to the owner. Until it comes the minions keep talking.
func (f *field) take(t *testing.T) (l testbed.Line) {
	t.Helper()
	for limit := time.After(testbed.Patience); ; {
		select {
		case l := <-f.Lines:
			if f.got[l.Tag] == "" {
				f.got[l.Tag] = l.Verb
			}
			return l
		case <-time.After(20 * time.Millisecond):
			for _, m := range f.minions {
				m.Note()
			}
		case <-limit:
			t.Fatal("an owner waits in vain")
		}
	}
}

// soon waits until something holds.
func (f *field) soon(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(testbed.Patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%s: never came", what)
		}
	}
}

// back offers tasks until one stands at a minion beyond those that do.
func (f *field) back(t *testing.T, minion string) {
	t.Helper()
	before := len(f.attempts.Running(minion))
	f.soon(t, "a task at "+minion, func() bool {
		f.answered(t, f.ask("ok", 4, 5000))
		return len(f.attempts.Running(minion)) > before
	})
}

// One attempt of a request is out at a time, at minions, and what ends while a way
// fails is told once it is there again.
func TestFailingWays(t *testing.T) {
	for _, c := range []struct {
		name    string
		minions []string
		play    func(t *testing.T, f *field)
	}{
		// A give-up is on its way for longer than the next offer to another minion: that
		// must wait until the give-up was read.
		{"many given up at once, half of the minions far away", strings.Fields("a b c d e f g h i j k l"), func(t *testing.T, f *field) {
			for _, m := range f.minions[:6] {
				f.links[m.Name].Delay(30 * time.Millisecond)
			}
			missed := f.ask("missed", 60, 2000) // five a minion
			f.said(t, missed)
			f.allTaken(t, missed)
		}},
		// Give-ups that follow while the test behind the first is on its way are proved too.
		{"given up one by one, all minions far away", []string{"a", "b"}, func(t *testing.T, f *field) {
			for _, l := range f.links {
				l.Delay(80 * time.Millisecond)
			}
			var missed []string
			for range 6 {
				missed = append(missed, f.ask("missed", 1, 2000)...)
				time.Sleep(20 * time.Millisecond)
			}
			f.allTaken(t, missed)
		}},
		// The way is cut after the minion's last word: the give-up never arrives.
		{"cut between the last word and the give-up", []string{"a", "b"}, func(t *testing.T, f *field) {
			missed := f.ask("missed", 4, 2000)
			f.said(t, missed)
			f.links["a"].Cut(t)
			f.allTaken(t, missed)
		}},
		// What was offered into a cut must not arrive when that heals: it stands elsewhere.
		{"offered into a cut that heals", []string{"a", "b"}, func(t *testing.T, f *field) {
			f.links["a"].Cut(t)
			f.allTaken(t, f.ask("ok", 40, 5000))
			f.links["a"].Heal(t)
			f.back(t, "a")
		}},
		// An owner withdraws what is open at a minion that is cut off since its last word,
		// and may come again elsewhere: the attempt must not stay out for long.
		{"withdrawn into a cut", []string{"a", "b"}, func(t *testing.T, f *field) {
			silent := f.ask("silent", 4, 60_000)
			f.said(t, silent)
			f.links["a"].Cut(t)
			for _, tag := range silent {
				testbed.Send(f, testbed.FinishLine("FINISH", tag, 16))
			}
			f.soon(t, "no attempt out", func() bool { return len(f.attempts.Open()) == 0 })
		}},
		// What is open at a minion that moves to another address is over at the old one
		// before it is offered anywhere.
		{"moved to another address", []string{"a", "b"}, func(t *testing.T, f *field) {
			missed := f.ask("missed", 4, 3000)
			f.said(t, missed)
			next := testbed.NewWorker(t, "a")
			next.Attempts = f.attempts
			f.feed.Add(false, next.ListEntry("up"))
			f.allTaken(t, missed)
		}},
		// At the end of the program, what is open is given up before its owners are told.
		{"told to end, with a way cut", []string{"a", "b"}, func(t *testing.T, f *field) {
			silent := f.ask("silent", 4, 60_000)
			f.said(t, silent)
			f.links["a"].Cut(t)
			f.Stop()
			f.answered(t, silent)
		}},
		// A release goes out again where the connection that it was written to is gone.
		{"released into a cut that heals", []string{"a", "b"}, func(t *testing.T, f *field) {
			tag := f.attempts.Running("a")[0]
			f.links["a"].Cut(t)
			testbed.Send(f, testbed.FinishLine("FINISH", tag, 16))
			f.answered(t, f.ask("ok", 40, 5000)) // the end of some takes back what lies in the cut
			f.links["a"].Heal(t)
			for testbed.Wait(t, "the release", f.minions[0].Ends).Tag != tag {
			}
		}},
		// The minion believes in a connection that was closed during a cut: it tells an
		// end there and on the next connection opened, which there must be, although the
		// one that is there is busy.
		{"ended on a connection that is gone", []string{"a", "b"}, func(t *testing.T, f *field) {
			tag := f.attempts.Running("a")[0]
			f.links["a"].Cut(t)
			f.answered(t, f.ask("ok", 40, 5000))
			f.links["a"].Heal(t)
			f.back(t, "a")
			f.minions[0].SendFinish(tag, 16)
			for l := f.take(t); l.Tag != tag || l.Verb != "FINISH"; l = f.take(t) {
			}
		}},
		// An end crosses the close of an older connection, on which the minion has just
		// answered: it is told again on the next one opened, which there must be.
		{"ended as an older connection is closed", []string{"a"}, func(t *testing.T, f *field) {
			tag := f.attempts.Running("a")[0]
			f.tags++
			late := testbed.RequestID(f.tags) // of a class whose attempts are not given up early
			testbed.Send(f, testbed.StartLine(late, "archive-cut", "silent-late", 10_000))
			f.soon(t, "the offer", func() bool { return slices.Contains(f.attempts.Open(), late) })
			dials, _ := f.minions[0].DialCounts()
			f.soon(t, "another connection", func() bool { // once the minion is silent for long
				time.Sleep(450 * time.Millisecond) // the owner's pace, and the minion's silence
				f.ask("ok", 1, 5000)
				now, _ := f.minions[0].DialCounts()
				return now > dials
			})
			f.links["a"].Delay(300 * time.Millisecond)
			f.minions[0].Accept(late)
			for f.got[late] == "" {
				f.take(t)
			}
			f.minions[0].SendFinish(tag, 16)
			for l := f.take(t); l.Tag != tag || l.Verb != "FINISH"; l = f.take(t) {
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newField(t, c.minions...)
			c.play(t, f)
			f.soon(t, "the end of all attempts whose owners were answered", func() bool {
				return !slices.ContainsFunc(f.attempts.Open(), func(tag string) bool { return f.got[tag] == "FINISH" })
			})
			f.early.mu.Lock()
			defer f.early.mu.Unlock()
			if len(f.early.notes) > 0 {
				t.Errorf("%d offers too early, as %s", len(f.early.notes), f.early.notes[0])
			}
			if copies := f.attempts.Duplicates(); len(copies) > 0 {
				t.Errorf("%d copies, as %s", len(copies), copies[0])
			}
		})
	}
}

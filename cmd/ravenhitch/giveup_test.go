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

// proxiedServer is a world whose minions are reached by links.
type proxiedServer struct {
	*testServer
	*testbed.Client
	proxies    map[string]*testbed.Proxy
	attempts *testbed.AttemptLog
	lastID     int
	firstResponses      map[string]string // first words to owners, by tag
	trace    *traceRecorder
}

// trace follows the program's own trace, and notes offers that left before a close that
// gave up the attempt before can have reached its minion.
type traceRecorder struct {
	slog.Handler
	mu    sync.Mutex
	cancelledAt  map[string]int64 // when an attempt was given up and not proved to be over, by tag
	earlyOffers []string
	connectionEnds []time.Time // when connections to minions ended, as the log tells
}

// closingFor is for how long connections to minions have kept ending.
func (e *traceRecorder) closingFor() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.connectionEnds) == 0 {
		return 0
	}
	return e.connectionEnds[len(e.connectionEnds)-1].Sub(e.connectionEnds[0])
}

func (*traceRecorder) Enabled(context.Context, slog.Level) bool { return true }

func (e *traceRecorder) Handle(_ context.Context, r slog.Record) error {
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
		e.connectionEnds = append(e.connectionEnds, r.Time)
	case "cancelling attempt", "connection lost with offer open":
		if written { // else it never left
			e.cancelledAt[tag] = at
		}
	case "cancel confirmed":
		delete(e.cancelledAt, tag)
	case "offer":
		if gone, ok := e.cancelledAt[tag]; ok && at-gone < 2000 {
			e.earlyOffers = append(e.earlyOffers, fmt.Sprintf("%s was offered %d us after its last attempt was closed", tag, at-gone))
		}
		delete(e.cancelledAt, tag)
	}
	return nil
}

func newProxiedServer(t *testing.T, minions ...string) *proxiedServer { return newProxiedServerWith(t, settingsJSON, minions...) }

func newProxiedServerWith(t *testing.T, settings string, minions ...string) *proxiedServer {
	server := &proxiedServer{proxies: map[string]*testbed.Proxy{}, attempts: testbed.NewAttemptLog(), firstResponses: map[string]string{},
		trace: &traceRecorder{Handler: slog.DiscardHandler, cancelledAt: map[string]int64{}}}
	server.testServer = newServerSet(t, settings, config.Operators{}, 1024, slog.New(server.trace), func(worker *testbed.Worker) {
		worker.Attempts = server.attempts
		server.proxies[worker.Name] = testbed.NewProxy(t, worker)
	}, minions...)
	server.Client = server.testServer.connect(t)
	// Quick answers, so that later attempts are given up early and many are out at a time.
	server.waitResponses(t, server.submit("ok", 1, 5000)) // from then on the owner may have many set-ups open
	server.expectAllStarted(t, server.submit("ok", 16*len(minions), 5000))
	return server
}

// noteOnceHalfOffered lets every minion say something once half of the offers came.
func (f *proxiedServer) noteOnceHalfOffered(t *testing.T, tags []string) {
	t.Helper()
	f.eventually(t, "half of the offers", func() bool { return 2*len(f.attempts.Open()) >= len(tags) })
	for _, worker := range f.workers {
		worker.Note()
	}
	f.onLoop(t, func() {}) // a turn, and another: what was said is read
	f.onLoop(t, func() {})
}

// adminRequest sends so many set-ups of small tasks at once. It returns their tags.
func (f *proxiedServer) submit(kind string, n, leftMs int) (tags []string) {
	for range n {
		f.lastID++
		tag := testbed.RequestID(f.lastID)
		line := testbed.StartLine(tag, "guide-web", fmt.Sprintf("%s-%d", kind, f.lastID), leftMs)
		line.Opts["extras"] = "cores:0.05;memory:0.1;service:00000000b4d65521"
		testbed.Send(f, line)
		tags = append(tags, tag)
	}
	return tags
}

// waitResponses waits for the answers to all tags, and returns how many were a yes.
func (f *proxiedServer) waitResponses(t *testing.T, tags []string) (yes int) {
	t.Helper()
	for _, tag := range tags {
		for f.firstResponses[tag] == "" {
			f.nextLine(t)
		}
		if f.firstResponses[tag] == "STARTED" {
			yes++
		}
	}
	return yes
}

// expectAllStarted waits for the answers, which must all be a yes.
func (f *proxiedServer) expectAllStarted(t *testing.T, tags []string) {
	t.Helper()
	if yes := f.waitResponses(t, tags); yes != len(tags) {
		t.Errorf("%d of %d were taken", yes, len(tags))
	}
}

// nextLine notes the next word to the owner. Until it comes the minions keep talking.
func (f *proxiedServer) nextLine(t *testing.T) (line testbed.Line) {
	t.Helper()
	for limit := time.After(testbed.Patience); ; {
		select {
		case line := <-f.Lines:
			if f.firstResponses[line.Tag] == "" {
				f.firstResponses[line.Tag] = line.Verb
			}
			return line
		case <-time.After(20 * time.Millisecond):
			for _, worker := range f.workers {
				worker.Note()
			}
		case <-limit:
			t.Fatal("an owner waits in vain")
		}
	}
}

// eventually waits until something holds.
func (f *proxiedServer) eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(testbed.Patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%s: never came", what)
		}
	}
}

// waitRunningAt offers tasks until one stands at a minion beyond those that do.
func (f *proxiedServer) waitRunningAt(t *testing.T, minion string) {
	t.Helper()
	before := len(f.attempts.Running(minion))
	f.eventually(t, "a task at "+minion, func() bool {
		f.waitResponses(t, f.submit("ok", 4, 5000))
		return len(f.attempts.Running(minion)) > before
	})
}

// One attempt of a request is out at a time, at minions, and what ends while a way
// fails is told once it is there again.
func TestFailingLinks(t *testing.T) {
	for _, test := range []struct {
		name    string
		minions []string
		play    func(t *testing.T, server *proxiedServer)
	}{
		// A give-up is on its way for longer than the next offer to another minion: that
		// must wait until the give-up was read.
		{"many given up at once, half of the minions far away", strings.Fields("a b c d e f g h i j k l"), func(t *testing.T, server *proxiedServer) {
			for _, worker := range server.workers[:6] {
				server.proxies[worker.Name].Delay(30 * time.Millisecond)
			}
			missed := server.submit("missed", 60, 2000) // five a minion
			server.noteOnceHalfOffered(t, missed)
			server.expectAllStarted(t, missed)
		}},
		// Give-ups that follow while the test behind the first is on its way are proved too.
		{"given up one by one, all minions far away", []string{"a", "b"}, func(t *testing.T, server *proxiedServer) {
			for _, l := range server.proxies {
				l.Delay(80 * time.Millisecond)
			}
			var missed []string
			for range 6 {
				missed = append(missed, server.submit("missed", 1, 2000)...)
				time.Sleep(20 * time.Millisecond)
			}
			server.expectAllStarted(t, missed)
		}},
		// The way is cut after the minion's last word: the give-up never arrives.
		{"cut between the last word and the give-up", []string{"a", "b"}, func(t *testing.T, server *proxiedServer) {
			missed := server.submit("missed", 4, 2000)
			server.noteOnceHalfOffered(t, missed)
			server.proxies["a"].Cut(t)
			server.expectAllStarted(t, missed)
		}},
		// What was offered into a cut must not arrive when that heals: it stands elsewhere.
		{"offered into a cut that heals", []string{"a", "b"}, func(t *testing.T, server *proxiedServer) {
			server.proxies["a"].Cut(t)
			server.expectAllStarted(t, server.submit("ok", 40, 5000))
			server.proxies["a"].Heal(t)
			server.waitRunningAt(t, "a")
		}},
		// An owner withdraws what is open at a minion that is cut off since its last word,
		// and may come again elsewhere: the attempt must not stay out for long.
		{"withdrawn into a cut", []string{"a", "b"}, func(t *testing.T, server *proxiedServer) {
			silent := server.submit("silent", 4, 60_000)
			server.noteOnceHalfOffered(t, silent)
			server.proxies["a"].Cut(t)
			for _, tag := range silent {
				testbed.Send(server, testbed.FinishLine("FINISH", tag, 16))
			}
			server.eventually(t, "no attempt out", func() bool { return len(server.attempts.Open()) == 0 })
		}},
		// What is open at a minion that moves to another address is over at the old one
		// before it is offered anywhere.
		{"moved to another address", []string{"a", "b"}, func(t *testing.T, server *proxiedServer) {
			missed := server.submit("missed", 4, 3000)
			server.noteOnceHalfOffered(t, missed)
			next := testbed.NewWorker(t, "a")
			next.Attempts = server.attempts
			server.discovery.Add(false, next.ListEntry("up"))
			server.expectAllStarted(t, missed)
		}},
		// At the end of the program, what is open is given up before its owners are told.
		{"told to end, with a way cut", []string{"a", "b"}, func(t *testing.T, server *proxiedServer) {
			silent := server.submit("silent", 4, 60_000)
			server.noteOnceHalfOffered(t, silent)
			server.proxies["a"].Cut(t)
			server.Stop()
			server.waitResponses(t, silent)
		}},
		// A release goes out again where the connection that it was written to is gone.
		{"released into a cut that heals", []string{"a", "b"}, func(t *testing.T, server *proxiedServer) {
			tag := server.attempts.Running("a")[0]
			server.proxies["a"].Cut(t)
			testbed.Send(server, testbed.FinishLine("FINISH", tag, 16))
			server.waitResponses(t, server.submit("ok", 40, 5000)) // the end of some takes back what lies in the cut
			server.proxies["a"].Heal(t)
			for testbed.Wait(t, "the release", server.workers[0].Ends).Tag != tag {
			}
		}},
		// The minion believes in a connection that was closed during a cut: it tells an
		// end there and on the next connection opened, which there must be, although the
		// one that is there is busy.
		{"ended on a connection that is gone", []string{"a", "b"}, func(t *testing.T, server *proxiedServer) {
			tag := server.attempts.Running("a")[0]
			server.proxies["a"].Cut(t)
			server.waitResponses(t, server.submit("ok", 40, 5000))
			server.proxies["a"].Heal(t)
			server.waitRunningAt(t, "a")
			server.workers[0].SendFinish(tag, 16)
			for line := server.nextLine(t); line.Tag != tag || line.Verb != "FINISH"; line = server.nextLine(t) {
			}
		}},
		// An end crosses the close of an older connection, on which the minion has just
		// answered: it is told again on the next one opened, which there must be.
		{"ended as an older connection is closed", []string{"a"}, func(t *testing.T, server *proxiedServer) {
			tag := server.attempts.Running("a")[0]
			server.lastID++
			late := testbed.RequestID(server.lastID) // of a class whose attempts are not given up early
			testbed.Send(server, testbed.StartLine(late, "archive-cut", "silent-late", 10_000))
			server.eventually(t, "the offer", func() bool { return slices.Contains(server.attempts.Open(), late) })
			dials, _ := server.workers[0].DialCounts()
			server.eventually(t, "another connection", func() bool { // once the minion is silent for long
				time.Sleep(450 * time.Millisecond) // the owner's pace, and the minion's silence
				server.submit("ok", 1, 5000)
				now, _ := server.workers[0].DialCounts()
				return now > dials
			})
			server.proxies["a"].Delay(300 * time.Millisecond)
			server.workers[0].Accept(late)
			for server.firstResponses[late] == "" {
				server.nextLine(t)
			}
			server.workers[0].SendFinish(tag, 16)
			for line := server.nextLine(t); line.Tag != tag || line.Verb != "FINISH"; line = server.nextLine(t) {
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := newProxiedServer(t, test.minions...)
			test.play(t, server)
			server.eventually(t, "the end of all attempts whose owners were answered", func() bool {
				return !slices.ContainsFunc(server.attempts.Open(), func(tag string) bool { return server.firstResponses[tag] == "FINISH" })
			})
			server.trace.mu.Lock()
			defer server.trace.mu.Unlock()
			if len(server.trace.earlyOffers) > 0 {
				t.Errorf("%d offers too early, as %s", len(server.trace.earlyOffers), server.trace.earlyOffers[0])
			}
			if copies := server.attempts.Duplicates(); len(copies) > 0 {
				t.Errorf("%d copies, as %s", len(copies), copies[0])
			}
		})
	}
}

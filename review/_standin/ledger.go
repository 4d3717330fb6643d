package main

// This file owns the ledger: what owners and minions saw of each request, and the judgement over it.

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

type ledgerAttempt struct {
	m       string
	at, end time.Time
}

type ledgerTask struct {
	tag, key, class string
	sent            time.Time
	left            time.Duration
	attempts        []*ledgerAttempt
	starts          []string
	standsAt        map[string]time.Time // start
	overAt          map[string]time.Time
	answers         []received
	owner           *client
	ownerEnd        time.Time // when the owner gave the set-up up or ended the task
}

type ledger struct {
	mu    sync.Mutex
	tasks map[string]*ledgerTask
	r     *record
}

func (l *ledger) get(tag string) *ledgerTask {
	t := l.tasks[tag]
	if t == nil {
		t = &ledgerTask{tag: tag, standsAt: map[string]time.Time{}, overAt: map[string]time.Time{}}
		l.tasks[tag] = t
	}
	return t
}

func (l *ledger) arrived(m *minion, tag, _ string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.get(tag)
	t.attempts = append(t.attempts, &ledgerAttempt{m: m.id, at: time.Now()})
}

func (l *ledger) attemptOver(m *minion, tag string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.get(tag).attempts {
		if a.m == m.id && a.end.IsZero() {
			a.end = time.Now()
			return
		}
	}
}

func (l *ledger) started(m *minion, tag, _ string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.get(tag)
	t.starts = append(t.starts, m.id)
	t.standsAt[m.id] = time.Now()
	delete(t.overAt, m.id)
}

// endByOwner gives a set-up up on its connection, or ends a task on any connection.
func (l *ledger) endByOwner(r *record, c *client, t *ledgerTask) {
	at, release, _ := t.servedNow(l)
	if !release.IsZero() {
		return
	}
	if at.IsZero() {
		c = t.owner
	}
	l.mu.Lock()
	t.ownerEnd = time.Now()
	l.mu.Unlock()
	r.log("%s: FINISH %s 16 (the owner ends it)", c.name, t.tag)
	_ = c.send(finish(t.tag, 16))
}

func (t *ledgerTask) servedNow(l *ledger) (at, release time.Time, by string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return t.served()
}

func (l *ledger) ended(m *minion, tag, _ string) {
	l.mu.Lock()
	t := l.get(tag)
	t.overAt[m.id] = time.Now()
	l.mu.Unlock()
	l.attemptOver(m, tag)
}

// served returns when the owner was told that its task stands, when it was released (MOVE not counted), and which minion the
// answer names.
func (t *ledgerTask) served() (at, release time.Time, by string) {
	for _, a := range t.answers {
		switch {
		case a.Verb == "STARTED" && at.IsZero():
			at = a.at
			by, _, _ = strings.Cut(*a.Blob, " ")
		case a.Verb == "MOVE":
			return time.Time{}, time.Time{}, ""
		case a.Verb == "FINISH" && !at.IsZero() && release.IsZero():
			release = a.at
		}
	}
	return at, release, by
}

func (l *ledger) judge() (v verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]int{}
	found := func(kind string, t *ledgerTask, format string, args ...any) {
		counts[kind]++
		text := kind + ": " + t.class + " " + t.tag + ": " + fmt.Sprintf(format, args...)
		l.r.log("FOUND %s", text)
		if counts[kind] <= 4 {
			v.breaks = append(v.breaks, text)
		}
	}
	for _, t := range l.tasks {
		if t.sent.IsZero() {
			continue
		}
		counts["requests"]++
		if t.class == "archive-cut" && len(t.starts) > 1 {
			found("TWICE", t, "started at %v", t.starts)
		}
		for i, b := range t.attempts {
			for _, a := range t.attempts[:i] {
				if a.m != b.m && (a.end.IsZero() || a.end.Sub(b.at) > 50*time.Millisecond) {
					found("TWO OUT", t, "%s since %v while at %s", b.m, b.at.Sub(t.sent), a.m)
				}
			}
		}
		if !t.ownerEnd.IsZero() {
			counts["ended by owner"]++
			for m, at := range t.standsAt {
				over, isOver := t.overAt[m]
				if !isOver || over.Sub(t.ownerEnd) > 2*time.Second && over.Sub(at) > 2*time.Second {
					found("RUNS ON", t, "at %s, %v after its owner's end", m, over.Sub(t.ownerEnd))
				}
			}
			continue
		}
		finals, startedAt, by := 0, time.Time{}, ""
		var release time.Time
		for _, a := range t.answers {
			switch {
			case a.Verb == "STARTED":
				finals++
				startedAt = a.at
				by, _, _ = strings.Cut(*a.Blob, " ")
			case a.Verb == "FINISH" && startedAt.IsZero():
				finals++
			case a.Verb == "FINISH" && release.IsZero(), a.Verb == "MOVE" && release.IsZero():
				release = a.at
			}
		}
		switch {
		case finals == 0:
			found("UNANSWERED", t, "")
		case finals > 1:
			found("TWO ANSWERS", t, "%d", finals)
		case t.answers[0].at.Sub(t.sent) > t.left+550*time.Millisecond:
			found("LATE ANSWER", t, "")
		}
		if startedAt.IsZero() {
			continue
		}
		counts["started"]++
		over, isOver := t.overAt[by]
		_, stood := t.standsAt[by]
		if !stood {
			found("SERVED BY NOBODY", t, "%s", by)
		}
		switch {
		case isOver && release.IsZero():
			found("NEVER RELEASED", t, "over at %s %v ago", by, time.Since(over))
		case isOver && release.Sub(over) > 8050*time.Millisecond:
			found("LATE 8s", t, "%v", release.Sub(over))
		case isOver && release.Sub(over) > 1050*time.Millisecond:
			found("LATE 1s", t, "%v", release.Sub(over))
		case isOver && over.Sub(release) > time.Second, !isOver && !release.IsZero() && time.Since(release) > time.Second:
			found("FALSE RELEASE", t, "%v before the end", over.Sub(release))
		}
	}
	var names []string
	for k, n := range counts {
		names = append(names, fmt.Sprintf("%s=%d", k, n))
	}
	sort.Strings(names)
	l.r.log("counts %v", names)
	fmt.Println(names)
	return v
}

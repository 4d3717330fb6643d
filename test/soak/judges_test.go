package soak

import (
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

// This file tests the judges themselves: each counts its case, and not the one that the rules allow.

func TestJudges(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1_000, 0).Add(time.Duration(ms) * time.Millisecond) }
	const timeout = 400 * time.Millisecond
	for _, test := range []struct {
		name    string
		prepare func(r *request, p *process)
		taken   bool
		want    verdict
	}{
		{"answered in time", func(r *request, _ *process) { r.answeredAt, r.answers = at(890), 1 }, true, verdict{}},
		{"answered late", func(r *request, _ *process) { r.answeredAt, r.answers = at(910), 1 }, true, verdict{late: 1}},
		{"answered twice", func(r *request, _ *process) { r.answeredAt, r.answers = at(10), 2 }, true, verdict{twice: 1}},
		{"never answered", func(*request, *process) {}, false, verdict{lost: 1}},
		{"its client left", func(r *request, _ *process) { r.leftAt = at(10) }, true, verdict{}},
		{"crossed a close", func(r *request, _ *process) { r.lostAt = at(40) }, false, verdict{}},
		{"crossed a close and was read", func(r *request, _ *process) { r.lostAt = at(40) }, true, verdict{lost: 1}},
		{"lost long before its time", func(r *request, _ *process) { r.lostAt = at(60) }, false, verdict{lost: 1}},
		{"end not reported", func(r *request, _ *process) {
			r.answeredAt, r.answers, r.endedAt = at(1), 1, at(100)
		}, true, verdict{unreported: 1}},
		{"end reported late", func(r *request, _ *process) {
			r.answeredAt, r.answers, r.endedAt, r.reportedAt = at(1), 1, at(100), at(1160)
		}, true, verdict{unreported: 1}},
		{"end reported in time", func(r *request, _ *process) {
			r.answeredAt, r.answers, r.endedAt, r.reportedAt = at(1), 1, at(100), at(1140)
		}, true, verdict{}},
		{"end on a cut path", func(r *request, _ *process) {
			r.answeredAt, r.answers, r.endedAt = at(1), 1, at(100)
			r.worker.disturbed = []interval{{from: at(50), to: at(60)}}
		}, true, verdict{}},
		{"process ended before it could report", func(r *request, p *process) {
			r.answeredAt, r.answers, r.endedAt, p.exitedAt = at(1), 1, at(100), at(1000)
		}, true, verdict{}},
		{"killed", func(r *request, p *process) { r.answeredAt, r.answers, p.killed = at(1), 1, true }, true, verdict{unclean: 1}},
		{"ended with a code", func(r *request, p *process) { r.answeredAt, r.answers, p.exitCode = at(1), 1, 2 }, true, verdict{unclean: 1}},
		{"too many descriptors", func(r *request, p *process) {
			r.answeredAt, r.answers, p.maxDescriptors = at(1), 1, 257
		}, true, verdict{overLimit: 1}},
		{"too much memory", func(r *request, p *process) {
			r.answeredAt, r.answers, p.maxMemoryKB = at(1), 1, 64<<10+1
		}, true, verdict{overLimit: 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := &life{t: t, plan: plan{sockets: 256, memoryMB: 64}, attempts: testbed.NewAttemptLog(), ledger: newLedger()}
			p := &process{life: l, exitedAt: at(10_000)}
			r := &request{id: testbed.RequestID(1), process: p, connection: &connection{}, timeout: timeout,
				submittedAt: at(0), worker: &worker{Worker: &testbed.Worker{}}}
			l.ledger.requests[r.id] = r
			test.prepare(r, p)
			var got verdict
			l.judgeProcess(&got, p)
			l.judgeRequest(&got, r, test.taken)
			got.story = ""
			if got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

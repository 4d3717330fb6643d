package soak

import (
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

// This file tests the checks that judge a finished scenario.

// judgedTimeout is the timeout of the requests in judgeCases.
const judgedTimeout = 400 * time.Millisecond

// at returns the time that is ms milliseconds after the submission of the requests in judgeCases.
func at(ms int) time.Time { return time.Unix(1_000, 0).Add(time.Duration(ms) * time.Millisecond) }

var judgeCases = []struct {
	name    string
	prepare func(r *request, p *process)
	wasRead bool
	want    verdict
}{
	{"answered in time", func(r *request, _ *process) { r.respondedAt, r.responses = at(890), 1 }, true, verdict{}},
	{"answered late", func(r *request, _ *process) { r.respondedAt, r.responses = at(910), 1 }, true, verdict{late: 1}},
	{"answered twice", func(r *request, _ *process) { r.respondedAt, r.responses = at(10), 2 }, true, verdict{duplicates: 1}},
	{"never answered", func(*request, *process) {}, false, verdict{lost: 1}},
	{"its client left", func(r *request, _ *process) { r.leftAt = at(10) }, true, verdict{}},
	{"not read, may have crossed the end of its connection", func(r *request, _ *process) { r.disconnectedAt = at(40) }, false,
		verdict{crossed: 1, oldestCrossed: 40 * time.Millisecond}},
	{"read, no response before the end of its connection", func(r *request, _ *process) { r.disconnectedAt = at(40) }, true, verdict{lost: 1}},
	{"not read, sent too early to cross the end of its connection", func(r *request, _ *process) { r.disconnectedAt = at(60) }, false, verdict{lost: 1}},
	{"end not reported", func(r *request, _ *process) {
		r.respondedAt, r.responses, r.endedAt = at(1), 1, at(100)
	}, true, verdict{unreported: 1}},
	{"end reported late", func(r *request, _ *process) {
		r.respondedAt, r.responses, r.endedAt, r.reportedAt = at(1), 1, at(100), at(1160)
	}, true, verdict{unreported: 1}},
	{"end reported while the task ran", func(r *request, p *process) {
		r.respondedAt, r.responses, r.reportedAt, r.reportedEarly = at(1), 1, at(100), true
		r.startedBy, p.workers = r.worker.Name, []*worker{r.worker}
	}, true, verdict{early: 1}},
	{"end reported in time", func(r *request, _ *process) {
		r.respondedAt, r.responses, r.endedAt, r.reportedAt = at(1), 1, at(100), at(1140)
	}, true, verdict{}},
	{"end not reported after a fault of the worker", func(r *request, _ *process) {
		r.respondedAt, r.responses, r.endedAt = at(1), 1, at(100)
		r.worker.faultIntervals = []interval{{from: at(50), to: at(60)}}
	}, true, verdict{}},
	{"process ended before it could report", func(r *request, p *process) {
		r.respondedAt, r.responses, r.endedAt, p.exitedAt = at(1), 1, at(100), at(1000)
	}, true, verdict{}},
	{"killed", func(r *request, p *process) { r.respondedAt, r.responses, p.killed = at(1), 1, true }, true, verdict{uncleanExits: 1}},
	{"exited with a code other than 0", func(r *request, p *process) { r.respondedAt, r.responses, p.exitCode = at(1), 1, 2 }, true, verdict{uncleanExits: 1}},
	{"too many descriptors", func(r *request, p *process) {
		r.respondedAt, r.responses, p.maxDescriptors = at(1), 1, 257
	}, true, verdict{overLimit: 1}},
	{"too much memory", func(r *request, p *process) {
		r.respondedAt, r.responses, p.maxMemoryKB = at(1), 1, 64<<10+1
	}, true, verdict{overLimit: 1}},
}

// TestJudges tests that judgeProcess and judgeRequest count violations of their rules, and that they count nothing that
// the rules allow.
func TestJudges(t *testing.T) {
	for _, test := range judgeCases {
		t.Run(test.name, func(t *testing.T) {
			s := &scenario{t: t, plan: plan{sockets: 256, memoryMB: 64}, attempts: testbed.NewAttemptLog(), ledger: newLedger()}
			p := &process{scenario: s, exitedAt: at(10_000)}
			r := &request{id: testbed.RequestID(1), process: p, connection: &connection{}, timeout: judgedTimeout,
				submittedAt: at(0), worker: &worker{Worker: &testbed.Worker{}}}
			s.ledger.requests[r.id] = r
			test.prepare(r, p)
			var got verdict
			s.judgeProcess(&got, p)
			s.judgeRequest(&got, r, test.wasRead)
			got.firstViolation = ""
			if got != test.want {
				t.Errorf("verdict: got %s, want %s", got, test.want)
			}
		})
	}
}

// TestJudgeOfWaits tests that judgeWaits counts a client that waits for longer than its limit, and nothing else.
func TestJudgeOfWaits(t *testing.T) {
	for _, test := range []struct {
		name    string
		endedAt time.Time // end of the wait, zero if the client never got what it waited for
		exitAt  time.Time // end of the scenario
		want    int
	}{
		{"answered in time", at(1040), at(5000), 0},
		{"answered late", at(1060), at(5000), 1},
		{"never answered", time.Time{}, at(5000), 1},
		{"the process ended before", time.Time{}, at(900), 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &scenario{t: t, ledger: newLedger(), endedAt: test.exitAt}
			s.ledger.allWaits = []*wait{{process: &process{}, since: at(0), limit: pingLimit, endedAt: test.endedAt}}
			var got verdict
			s.judgeWaits(&got)
			if got.leftWaiting != test.want {
				t.Errorf("left waiting: got %d, want %d", got.leftWaiting, test.want)
			}
		})
	}
}

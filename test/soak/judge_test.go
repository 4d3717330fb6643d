package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// This file owns the judgement of a life by the protocol's rules. Every limit is the protocol's.

const (
	responseSlack   = 500 * time.Millisecond // a response comes so long after its time at most
	reportLimit     = time.Second            // within which a completion is reported
	leaveLimit      = 100 * time.Millisecond // after which no attempt begins once its client left
	crossingLimit   = 50 * time.Millisecond  // a request may cross a close for so long
	ruleSlack       = 50 * time.Millisecond  // on every limit of the rules
	maxDelayOfPaths = 75 * time.Millisecond  // of what is sent to a worker, by the faults that are drawn
)

// verdict is what was counted in a life, or in several, and the story of the first case.
type verdict struct {
	requests, afterSIGTERM                                                    int
	lost, late, unreported, twice, afterLeave, toDraining, unclean, overLimit int
	story                                                                     string
}

func (v verdict) broken() int {
	return v.lost + v.late + v.unreported + v.twice + v.afterLeave + v.toDraining + v.unclean + v.overLimit
}

func (v verdict) String() string {
	return fmt.Sprintf("requests=%d after_sigterm=%d lost=%d late=%d untold=%d twice=%d after_leave=%d to_draining=%d unclean_exits=%d over_limits=%d",
		v.requests, v.afterSIGTERM, v.lost, v.late, v.unreported, v.twice, v.afterLeave, v.toDraining, v.unclean, v.overLimit)
}

func (v *verdict) add(other verdict) {
	v.requests += other.requests
	v.afterSIGTERM += other.afterSIGTERM
	v.lost += other.lost
	v.late += other.late
	v.unreported += other.unreported
	v.twice += other.twice
	v.afterLeave += other.afterLeave
	v.toDraining += other.toDraining
	v.unclean += other.unclean
	v.overLimit += other.overLimit
}

// broke counts a case and keeps the first one's story.
func (v *verdict) broke(count *int, rule string, story ...string) {
	*count++
	if v.story == "" {
		v.story = rule + ": " + strings.Join(story, "\n")
	}
}

// judge judges a life that is over.
func (l *life) judge() (v verdict) {
	for _, p := range l.processes {
		l.judgeProcess(&v, p)
	}
	taken := map[string]bool{}
	for _, p := range l.processes {
		for requestID := range p.takenRequests() {
			taken[requestID] = true
		}
	}
	requests := l.ledger.sorted()
	v.requests = len(requests)
	for _, r := range requests {
		l.judgeRequest(&v, r, taken[r.id])
	}
	for range l.ledger.refusedClients {
		v.broke(&v.lost, "lost", "a connection was refused while new ones still come")
	}
	l.judgeDuplicates(&v)
	for _, p := range l.processes {
		l.judgeDrains(&v, p)
	}
	return v
}

// judgeDuplicates counts the attempts that came while another one of the same request was in flight. A worker may run a
// task whose acceptance was lost with its connection, or behind what could not be read: that the process could not know,
// and a class that may be repeated may be tried again then. It may not once the process has read the acceptance.
func (l *life) judgeDuplicates(v *verdict) {
	for _, duplicate := range l.attempts.Duplicates() {
		requestID, _, _ := strings.Cut(duplicate, " ")
		r := l.ledger.requests[requestID]
		ranUnknown := strings.Contains(duplicate, "running there: true")
		if ranUnknown && r.class != singleStartClass && !r.process.offeredAfterStart(requestID) {
			continue
		}
		v.broke(&v.twice, "twice", append([]string{duplicate}, l.storyOf(r)...)...)
	}
}

// sorted are the requests in the order in which they were submitted.
func (l *ledger) sorted() (requests []*request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.requests {
		requests = append(requests, r)
	}
	slices.SortFunc(requests, func(a, b *request) int { return a.submittedAt.Compare(b.submittedAt) })
	return requests
}

// judgeProcess judges how a process ended and what it used.
func (l *life) judgeProcess(v *verdict, p *process) {
	if p.killed || p.exitCode != 0 {
		lines := p.Lines()
		v.broke(&v.unclean, "unclean exit", fmt.Sprintf("%s killed %v, code %d", p.Name, p.killed, p.exitCode),
			strings.Join(lines[max(0, len(lines)-20):], "\n"))
	}
	if p.maxDescriptors > l.plan.sockets || p.maxMemoryKB > l.plan.memoryMB<<10 {
		v.broke(&v.overLimit, "over limit", fmt.Sprintf("%s: %d of %d descriptors, %d of %d kB", p.Name, p.maxDescriptors,
			l.plan.sockets, p.maxMemoryKB, l.plan.memoryMB<<10))
	}
}

// judgeRequest judges what became of a request; taken says that its process has read it.
func (l *life) judgeRequest(v *verdict, r *request, taken bool) {
	if r.process.sinceStop(r.submittedAt) >= 0 {
		v.afterSIGTERM++
	}
	if l.isLost(r, taken) {
		v.broke(&v.lost, "lost", append(l.storyOf(r), fmt.Sprintf("taken %v", taken))...)
	}
	due := r.submittedAt.Add(r.timeout + responseSlack)
	if r.leftAt.IsZero() && r.answeredAt.After(due.Add(l.pause.between(r.submittedAt, r.answeredAt))) {
		v.broke(&v.late, "late", l.storyOf(r)...)
	}
	if l.isUnreported(r) {
		v.broke(&v.unreported, "untold", l.storyOf(r)...)
	}
	if r.answers > 1 && r.leftAt.IsZero() {
		v.broke(&v.twice, "answered twice", l.storyOf(r)...)
	}
	offeredAt := l.attempts.Last(r.id)
	limit := r.leftAt.Add(leaveLimit + maxDelayOfPaths)
	if !r.leftAt.IsZero() && offeredAt.After(limit.Add(l.pause.between(r.leftAt, offeredAt))) {
		v.broke(&v.afterLeave, "after leave", append(l.storyOf(r), fmt.Sprintf("offered %s after that", offeredAt.Sub(r.leftAt)))...)
	}
}

// isLost reports whether a request has no response though its client waited for it. One that crossed the close of its
// connection is not lost, if the process had not read it.
func (l *life) isLost(r *request, taken bool) bool {
	if !r.answeredAt.IsZero() || !r.leftAt.IsZero() {
		return false
	}
	crossed := !r.lostAt.IsZero() && r.lostAt.Sub(r.submittedAt) <= crossingLimit+l.pause.between(r.submittedAt, r.lostAt)
	return taken || !crossed
}

// lostReportTime is for how long a worker's report may be in a connection that ends.
const lostReportTime = 100 * time.Millisecond

// isUnreported reports whether the end of a task was not reported to its client in time. Not judged is what its process
// may not have learned, or had no time to report: the worker's path was disturbed since the submission, a connection to it
// ended around the report (one that cannot be sent is due after 8 s), or the process ended before; and a report that
// crossed the close of its connection by the client.
func (l *life) isUnreported(r *request) bool {
	if r.endedAt.IsZero() || !r.leftAt.IsZero() || !r.lostAt.IsZero() {
		return false
	}
	due := r.endedAt.Add(reportLimit + ruleSlack)
	due = due.Add(l.pause.between(r.endedAt, due))
	if r.process.exitedAt.Before(due) || r.worker.wasDisturbed(r.submittedAt, due) ||
		r.worker.LostConnection(r.endedAt.Add(-lostReportTime), due) {
		return false
	}
	if r.reportedAt.IsZero() && l.crossedClose(r) {
		return false
	}
	return r.reportedAt.IsZero() || r.reportedAt.After(due)
}

// crossedClose reports whether the end of a task was sent on a connection that its client closed at the same time.
func (l *life) crossedClose(r *request) bool {
	number := r.process.reportedOn(r.id)
	for _, other := range l.ledger.requests {
		if other.process != r.process || number == "" || other.process.connectionOf(other.id) != number {
			continue
		}
		closedAt := other.connection.closedAt
		return !closedAt.IsZero() && closedAt.Sub(r.endedAt) <= crossingLimit && r.endedAt.Sub(closedAt) <= crossingLimit
	}
	return false
}

// judgeDrains counts the offers that came to draining workers too late, by processes whose discovery was not disturbed.
func (l *life) judgeDrains(v *verdict, p *process) {
	for _, w := range p.workers {
		drainedAt := w.drained()
		if drainedAt.IsZero() {
			continue
		}
		for _, arrival := range l.attempts.Arrivals(w.Name) {
			r := l.ledger.requests[arrival.RequestID]
			limit := drainedAt.Add(drainGrace + ruleSlack)
			limit = limit.Add(l.pause.between(drainedAt, arrival.At))
			if r != nil && !r.process.discoveryDisturbed.Load() && arrival.At.After(limit) {
				v.broke(&v.toDraining, "to draining", append(l.storyOf(r), fmt.Sprintf("%s drains since %s before", w.Name, arrival.At.Sub(drainedAt)))...)
			}
		}
	}
}

// storyOf is what is known of a request: what was seen, and its process's trace.
func (l *life) storyOf(r *request) []string {
	if r == nil {
		return nil
	}
	return append([]string{r.String()}, r.process.story(r.id)...)
}

// pauseInterval is how often the host's pauses are looked for, and minPause the least that counts as one.
const (
	pauseInterval = 5 * time.Millisecond
	minPause      = 10 * time.Millisecond
)

// pauseMeter notes for how long this process was not run though it was due: what it sees then, it sees late.
type pauseMeter struct {
	mu     sync.Mutex
	pauses []interval
}

// run notes pauses until a channel is closed.
func (m *pauseMeter) run(over <-chan struct{}) {
	for last := time.Now(); ; {
		select {
		case <-over:
			return
		case <-time.After(pauseInterval):
		}
		now := time.Now()
		if now.Sub(last) > pauseInterval+minPause {
			m.mu.Lock()
			m.pauses = append(m.pauses, interval{last.Add(pauseInterval), now})
			m.mu.Unlock()
		}
		last = now
	}
}

// between sums up the pauses between two times.
func (m *pauseMeter) between(from, to time.Time) (sum time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, pause := range m.pauses {
		if pause.overlaps(from, to) {
			sum += pause.to.Sub(pause.from)
		}
	}
	return sum
}

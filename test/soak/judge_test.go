package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// This file checks a finished scenario against the rules of the protocol. The time limits include a
// tolerance for delays in the test itself.

const (
	responseSlack = 500 * time.Millisecond // maximum delay of a response after the timeout of its request
	reportLimit   = time.Second            // maximum time from the end of a task to its report to the client
	leaveLimit    = 100 * time.Millisecond // an offer may arrive until leaveLimit+maxPathDelay after the client left
	crossingLimit = 50 * time.Millisecond  // maximum time between a message and a disconnect that crossed each other
	ruleSlack     = 50 * time.Millisecond  // tolerance of the test that is added to reportLimit and drainGrace
	maxPathDelay  = 75 * time.Millisecond  // maximum delay that faultDelay adds to messages to a worker
)

// verdict holds the counts of one scenario with the details of its first violation, or the sum of the counts of several
// scenarios without details. Requests without a response because they and the end of their connection crossed each other
// count as crossed, which is no violation.
type verdict struct {
	requests, afterSIGTERM int
	crossed                int
	oldestCrossed          time.Duration // time from the oldest crossed request to the end of its connection

	// The counts of violations; see violations.
	lost, late, unreported, early, duplicates int
	afterLeave, toDraining                    int
	uncleanExits, overLimit                   int
	leftWaiting                               int

	firstViolation string
}

// namedCount is a count of a verdict and its name in the summary.
type namedCount struct {
	name  string
	count *int
}

// violationCounts returns the counts of violations.
func (v *verdict) violationCounts() []namedCount {
	return []namedCount{
		{"lost", &v.lost},
		{"late", &v.late},
		{"untold", &v.unreported},
		{"early", &v.early},
		{"twice", &v.duplicates},
		{"after_leave", &v.afterLeave},
		{"to_draining", &v.toDraining},
		{"unclean_exits", &v.uncleanExits},
		{"over_limits", &v.overLimit},
		{"left_waiting", &v.leftWaiting},
	}
}

// violations returns the number of violations.
func (v verdict) violations() (sum int) {
	for _, c := range v.violationCounts() {
		sum += *c.count
	}
	return sum
}

// String returns the summary of the counts.
func (v verdict) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "requests=%d after_sigterm=%d crossed=%d oldest_crossed=%s", v.requests, v.afterSIGTERM, v.crossed, v.oldestCrossed)
	for _, c := range v.violationCounts() {
		fmt.Fprintf(&text, " %s=%d", c.name, *c.count)
	}
	return text.String()
}

// add adds the counts of another verdict.
func (v *verdict) add(other verdict) {
	v.requests += other.requests
	v.afterSIGTERM += other.afterSIGTERM
	v.crossed += other.crossed
	v.oldestCrossed = max(v.oldestCrossed, other.oldestCrossed)
	counts := v.violationCounts()
	for i, c := range other.violationCounts() {
		*counts[i].count += *c.count
	}
}

// addViolation increments a count and keeps the details of the first violation.
func (v *verdict) addViolation(count *int, rule string, details ...string) {
	*count++
	if v.firstViolation == "" {
		v.firstViolation = rule + ": " + strings.Join(details, "\n")
	}
}

// judge checks a finished scenario.
func (s *scenario) judge() (v verdict) {
	for _, p := range s.processes {
		s.judgeProcess(&v, p)
	}
	readIDs := map[string]bool{}
	for _, p := range s.processes {
		for requestID := range p.readRequestIDs() {
			readIDs[requestID] = true
		}
	}
	requests := s.ledger.sorted()
	v.requests = len(requests)
	for _, r := range requests {
		s.judgeRequest(&v, r, readIDs[r.id])
	}
	for range s.ledger.refusedConnections {
		v.addViolation(&v.lost, "lost (refused connection)", "a connection was refused while the process must still accept connections")
	}
	s.judgeDuplicates(&v)
	s.judgeWaits(&v)
	for _, p := range s.processes {
		s.judgeDrains(&v, p)
	}
	return v
}

// judgeDuplicates counts the attempts that reached a worker while another attempt of the same request was in
// flight. One case is allowed: a worker runs a task, but the process has not read the acceptance, for example
// because it was lost with its connection or followed unreadable bytes. The process then does not know that the
// task runs, and may attempt the request again if its class allows repeated starts. Once the process has read the
// acceptance, another attempt is a violation.
func (s *scenario) judgeDuplicates(v *verdict) {
	for _, duplicate := range s.attempts.Duplicates() {
		requestID, _, _ := strings.Cut(duplicate, " ")
		r := s.ledger.requests[requestID]
		wasRunning := strings.Contains(duplicate, "running there: true")
		if wasRunning && r.class != singleStartClass && !r.process.offeredAfterStart(requestID) {
			continue
		}
		v.addViolation(&v.duplicates, "twice (duplicate attempt)", append([]string{duplicate}, s.describeRequest(r)...)...)
	}
}

// sorted returns the requests in the order in which they were submitted.
func (l *ledger) sorted() (requests []*request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.requests {
		requests = append(requests, r)
	}
	slices.SortFunc(requests, func(a, b *request) int { return a.submittedAt.Compare(b.submittedAt) })
	return requests
}

// judgeProcess checks that a process exited by itself with code 0 and stayed within its limits on descriptors and
// memory.
func (s *scenario) judgeProcess(v *verdict, p *process) {
	if p.killed || p.exitCode != 0 {
		lines := p.Lines()
		v.addViolation(&v.uncleanExits, "unclean_exits", fmt.Sprintf("%s: killed %v, exit code %d", p.Name, p.killed, p.exitCode),
			strings.Join(lines[max(0, len(lines)-20):], "\n"))
	}
	if p.maxDescriptors > s.plan.sockets || p.maxMemoryKB > s.plan.memoryMB<<10 {
		v.addViolation(&v.overLimit, "over_limits",
			fmt.Sprintf("%s: used %d descriptors of %d allowed, %d kB of memory of %d allowed", p.Name,
				p.maxDescriptors, s.plan.sockets, p.maxMemoryKB, s.plan.memoryMB<<10))
	}
}

// judgeRequest checks the responses to a request, its completion and its attempts. wasRead reports whether the
// process read the request.
func (s *scenario) judgeRequest(v *verdict, r *request, wasRead bool) {
	if r.process.sinceStop(r.submittedAt) >= 0 {
		v.afterSIGTERM++
	}
	switch {
	case s.isLost(r, wasRead):
		v.addViolation(&v.lost, "lost (no response)",
			append(s.describeRequest(r), fmt.Sprintf("request read by the process: %v", wasRead))...)
	case r.respondedAt.IsZero() && r.leftAt.IsZero():
		v.crossed++
		v.oldestCrossed = max(v.oldestCrossed, r.disconnectedAt.Sub(r.submittedAt))
	}
	due := r.submittedAt.Add(r.timeout + responseSlack)
	if r.leftAt.IsZero() && r.respondedAt.After(due.Add(s.pauses.TotalBetween(r.submittedAt, r.respondedAt))) {
		v.addViolation(&v.late, "late (response after its limit)", s.describeRequest(r)...)
	}
	if s.isUnreported(r) {
		v.addViolation(&v.unreported, "untold (completion not reported in time)", s.describeRequest(r)...)
	}
	if s.isReportedEarly(r) {
		v.addViolation(&v.early, "early (completion reported while the task ran)", s.describeRequest(r)...)
	}
	if r.responses > 1 && r.leftAt.IsZero() {
		v.addViolation(&v.duplicates, "twice (more than one response)", s.describeRequest(r)...)
	}
	offeredAt := s.attempts.LastOfferAt(r.id)
	limit := r.leftAt.Add(leaveLimit + maxPathDelay)
	if !r.leftAt.IsZero() && offeredAt.After(limit.Add(s.pauses.TotalBetween(r.leftAt, offeredAt))) {
		v.addViolation(&v.afterLeave, "after_leave (offer after its client left)",
			append(s.describeRequest(r), fmt.Sprintf("offered %s after the client left", offeredAt.Sub(r.leftAt)))...)
	}
}

// isLost reports whether a request has no response although its client waited for a response. A request that the
// process never read is not lost if it and the end of its connection may have crossed each other.
func (s *scenario) isLost(r *request, wasRead bool) bool {
	if !r.respondedAt.IsZero() || !r.leftAt.IsZero() {
		return false
	}
	crossed := !r.disconnectedAt.IsZero() &&
		r.disconnectedAt.Sub(r.submittedAt) <= crossingLimit+s.pauses.TotalBetween(r.submittedAt, r.disconnectedAt)
	return wasRead || !crossed
}

// If a connection to a worker ends at most reportLossWindow before a task ends at the worker, the worker's report of
// the task may still be lost or delayed.
const reportLossWindow = 100 * time.Millisecond

// isUnreported reports whether the completion of a task was not reported to its client in time. It returns false if
// the task has not ended or the client is gone: it cancelled the request, left, or lost its connection before a
// response. It also returns false in the following cases. In these, the process may not have learned of the
// completion or may have had no time to report it, or its report may not have reached the client:
//   - The worker or its path had a fault between the submission and the time limit.
//   - A connection to the worker ended before the limit, but no earlier than reportLossWindow before the end of the
//     task. A worker that cannot send a report at once may send it on a later connection within 8 s.
//   - The process exited before the limit.
func (s *scenario) isUnreported(r *request) bool {
	if r.endedAt.IsZero() || !r.leftAt.IsZero() || !r.disconnectedAt.IsZero() {
		return false
	}
	due := r.endedAt.Add(reportLimit + ruleSlack)
	due = due.Add(s.pauses.TotalBetween(r.endedAt, due))
	if r.process.exitedAt.Before(due) || r.worker.hadFault(r.submittedAt, due) ||
		r.worker.LostConnection(r.endedAt.Add(-reportLossWindow), due) {
		return false
	}
	return r.reportedAt.IsZero() || r.reportedAt.After(due)
}

// isReportedEarly reports whether the client was told that its task is over while it ran. It returns false if the worker or
// its path had a fault until then, since a process may take a worker for dead that it cannot reach.
func (s *scenario) isReportedEarly(r *request) bool {
	return r.reportedEarly && !r.process.workerNamed(r.startedBy).hadFault(r.submittedAt, r.reportedAt)
}

// judgeDrains counts the offers that reached a worker more than drainGrace after the start of its drain. It
// ignores processes whose discovery had a fault.
func (s *scenario) judgeDrains(v *verdict, p *process) {
	for _, w := range p.workers {
		drainingSince := w.drainStart()
		if drainingSince.IsZero() {
			continue
		}
		for _, arrival := range s.attempts.Arrivals(w.Name) {
			r := s.ledger.requests[arrival.RequestID]
			limit := drainingSince.Add(drainGrace + ruleSlack)
			limit = limit.Add(s.pauses.TotalBetween(drainingSince, arrival.At))
			if r != nil && !r.process.discoveryFaulted.Load() && arrival.At.After(limit) {
				v.addViolation(&v.toDraining, "to_draining (offer to a draining worker)", append(s.describeRequest(r),
					fmt.Sprintf("%s had been draining for %s", w.Name, arrival.At.Sub(drainingSince)))...)
			}
		}
	}
}

// describeRequest returns the observed times of a request and the log lines of its process that name it.
func (s *scenario) describeRequest(r *request) []string {
	if r == nil {
		return nil
	}
	return append([]string{r.String()}, r.process.requestLogLines(r.id)...)
}

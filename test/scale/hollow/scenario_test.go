package hollow

import "fmt"

// This file contains the scenario: its phases, the samples taken in them, and the lines that it prints.

const (
	// agreementCheckPeriod is the interval in microseconds at which the tables are compared until they agree.
	agreementCheckPeriod = 100_000
	// agreementTimeout is the maximum time for which a phase other than cut waits for the tables to agree.
	agreementTimeout = 180 * second
	// settleTime is the time for which the first phase, forming, continues after the tables agree or agreementTimeout
	// has passed. Updates about the starts of the members may still circulate during this time.
	settleTime = 10 * second
	// timeAfterAgreement is the time for which a phase after the cut continues once its wait for the tables to agree
	// has ended.
	timeAfterAgreement = 10 * second
	// minDowntime and maxDowntime are the limits of the downtime of a process that restarts, in microseconds.
	maxDowntime = second
	minDowntime = 300_000
	// reportedCutTail is the maximum duration of the last part of a cut, whose load is also reported separately.
	reportedCutTail = 30 * second
	// maxSecondsBesideCut is an upper bound on the total duration in seconds of all phases of a scenario except calm
	// and cut.
	maxSecondsBesideCut = (4*agreementTimeout + settleTime + 3*timeAfterAgreement + 2*(second+maxDowntime)) / second
	// never is recorded as the agreement time of a phase in which the tables did not agree.
	never = -1
)

// result holds the values measured in one scenario, which runs with memberCount members.
type result struct {
	memberCount        int
	cutSeconds         float64
	records            [phaseCount]phaseRecord
	samples            []float64           // values of all rows in order; sampleHeader names the columns
	heapPerMember      float64             // bytes per member at the end of calm
	heapPerMemberInCut float64             // bytes per member at the end of the cut
	deadEntries        int                 // entries in state dead at the end of the cut, in all tables
	maxDeadEntries     int                 // maximum number of entries in state dead in one table at the end of the cut
	agreedAfter        [phaseCount]float64 // seconds that the wait for agreement took, or the constant never; by phase
	deadEntriesAfter   int                 // entries in state dead in all tables after waitForAgreement(healed)
	falseDeaths        []string
}

// scenario is a simulation that runs through the phases, with its result.
type scenario struct {
	*simulation
	result
}

// newScenario returns a scenario before its first phase.
func newScenario(members, regions, zones int, seed uint64) *scenario {
	return &scenario{simulation: newSimulation(members, regions, zones, seed), result: result{memberCount: members}}
}

// run runs all phases of one scenario, or only those up to calm if cutSeconds is 0.
func run(n, regions, zones int, calmSeconds, cutSeconds float64, seed uint64) result {
	// The samples are allocated in advance, because growth of the slice during the scenario would distort the heap
	// measurements.
	samples := make([]float64, 0, (int(calmSeconds+cutSeconds)+maxSecondsBesideCut)*len(sampleHeader))
	before := heapBytes()
	s := newScenario(n, regions, zones, seed)
	s.cutSeconds, s.samples = cutSeconds, samples
	s.waitForAgreement(forming)
	s.advance(forming, settleTime)
	s.advance(calm, int64(calmSeconds*second))
	s.heapPerMember = (heapBytes() - before) / float64(n)
	if s.heapPerMemberInCut = s.heapPerMember; cutSeconds == 0 {
		s.agreedAfter[healed], s.agreedAfter[tenthRestarted], s.agreedAfter[allRestarted] = never, never, never
		s.result.falseDeaths = s.simulation.falseDeaths
		return s.result
	}
	s.cutRegion(cutSeconds)
	s.heapPerMemberInCut = (heapBytes() - before) / float64(n)
	s.deadEntries, s.maxDeadEntries = s.countDeadEntries()
	s.waitForAgreement(healed)
	s.deadEntriesAfter, _ = s.countDeadEntries()
	s.advance(healed, timeAfterAgreement)
	s.restartMembers(tenthRestarted, max(1, n/10))
	s.restartMembers(allRestarted, n)
	s.result.falseDeaths = s.simulation.falseDeaths
	return s.result
}

// cutRegion cuts off one region for a number of seconds and returns at the end of the cut. It also records the mean
// load in the last part of the cut, which begins when the tables agree or reportedCutTail before the end of the cut,
// whichever is later.
func (s *scenario) cutRegion(seconds float64) {
	s.network.cutFrom, s.network.cutUntil = s.now, s.now+int64(seconds*second)
	s.waitForAgreementBy(cut, s.network.cutUntil)
	s.advance(cut, max(0, s.network.cutUntil-reportedCutTail-s.now))
	beforeTail := s.records[cut].total
	from := s.now
	s.advance(cut, s.network.cutUntil-s.now)
	if s.now > from {
		tail := s.records[cut].total
		tail.add(beforeTail.dividedBy(-1))
		s.records[cut].tail = tail.dividedBy(float64(s.now-from) / second * float64(s.memberCount))
	}
}

// restartMembers stops n random members within one second, starts each of them again after a random downtime, and
// waits for the tables to agree. The phase then continues for timeAfterAgreement.
func (s *scenario) restartMembers(ph phase, n int) {
	for _, i := range s.random.Perm(s.memberCount)[:n] {
		s.restart(i, s.random.Int64N(second), minDowntime+s.random.Int64N(maxDowntime-minDowntime))
	}
	s.advance(ph, second+maxDowntime)
	s.waitForAgreement(ph)
	s.advance(ph, timeAfterAgreement)
}

// waitForAgreement advances time until the tables agree, but at most for agreementTimeout. It records the time
// that this took, or the constant never if the tables do not agree.
func (s *scenario) waitForAgreement(ph phase) { s.waitForAgreementBy(ph, s.now+agreementTimeout) }

// waitForAgreementBy advances time until the tables agree, but not past the deadline. It records the time that this
// took, or the constant never if the tables do not agree.
func (s *scenario) waitForAgreementBy(ph phase, deadline int64) {
	from := s.now
	s.agreedAfter[ph] = never
	for s.now < deadline {
		if s.tablesAgree() {
			s.agreedAfter[ph] = float64(s.now-from) / second
			return
		}
		s.advance(ph, min(agreementCheckPeriod, deadline-s.now))
	}
}

// advance advances time by a duration in microseconds and takes a sample at each full second and at the end.
func (s *scenario) advance(ph phase, duration int64) {
	until := s.now + duration
	for s.now < until {
		next := min(until, (s.now/second+1)*second)
		s.records[ph].seconds += float64(next-s.now) / second
		s.runUntil(next)
		if s.now%second == 0 || s.now == until {
			s.recordSample(ph, s.now%second == 0)
		}
	}
}

// recordSample adds the loads of all members to the record of a phase and resets these loads. At a full second, it
// also updates the peaks and appends a row to the samples. If a sample ends before a full second, its load is kept.
// The peaks and the row of that second include it.
func (s *scenario) recordSample(ph phase, fullSecond bool) {
	r := &s.records[ph]
	for _, m := range s.members {
		r.total.add(m.load)
		m.currentSecond.add(m.load)
		m.load = load{}
	}
	if !fullSecond {
		return
	}
	var sum load
	for _, m := range s.members {
		sum.add(m.currentSecond)
		r.maxMemberBytes = max(r.maxMemberBytes, m.currentSecond.bytes)
		r.maxMemberMessages = max(r.maxMemberMessages, m.currentSecond.messages)
		r.maxMemberUs = max(r.maxMemberUs, m.currentSecond.microseconds)
		m.currentSecond = load{}
	}
	mean := sum.dividedBy(float64(s.memberCount))
	if mean.bytes > r.peak.bytes {
		r.peak = mean
	}
	s.samples = append(s.samples, float64(s.memberCount), float64(s.now/second), float64(ph),
		mean.bytes, mean.messages, mean.toDead, mean.handshakes, mean.microseconds, mean.codec)
}

// sampleHeader holds the column names of the samples.
var sampleHeader = []string{"instances", "second", "phase", "bytes_s_member", "messages_s_member", "messages_to_dead_s_member",
	"handshakes_s_member", "us_s_member", "codec_us_s_member"}

// longestDisagreement returns the longest time in seconds that the tables took to agree again after the end of the
// cut or after restarts. It returns the constant never if they did not agree in one of these phases.
func (r *result) longestDisagreement() (worst float64) {
	for _, ph := range []phase{healed, tenthRestarted, allRestarted} {
		if r.agreedAfter[ph] == never {
			return never
		}
		worst = max(worst, r.agreedAfter[ph])
	}
	return worst
}

// String returns the line with the figures of the scenario.
func (r *result) String() string {
	c, last := r.records[calm].mean(r.memberCount), r.records[cut].tail
	return fmt.Sprintf("hollow: instances=%d bytes_s_member=%.0f messages_s_member=%.1f us_s_member=%.0f heap_bytes_member=%.0f form_s=%.1f"+
		" agree_after_heal_s=%.1f wrong_deaths=%d disagree_s=%.1f cut_s=%.0f split_s=%.1f cut_bytes_s_member=%.0f cut_messages_s_member=%.1f"+
		" dead_messages_s_member=%.1f dead_bytes_s_member=%.0f dead_remembered_most=%d dead_heap_bytes_each=%.0f dead_after_heal=%d"+
		" agree_after_tenth_s=%.1f agree_after_all_s=%.1f codec_us_s_member=%.0f",
		r.memberCount, c.bytes, c.messages, c.microseconds, r.heapPerMember, r.agreedAfter[forming], r.agreedAfter[healed], len(r.falseDeaths), r.longestDisagreement(), r.cutSeconds,
		r.agreedAfter[cut], last.bytes, last.messages, last.toDead, last.toDeadBytes, r.maxDeadEntries, (r.heapPerMemberInCut-r.heapPerMember)*float64(r.memberCount)/float64(max(1, r.deadEntries)),
		r.deadEntriesAfter, r.agreedAfter[tenthRestarted], r.agreedAfter[allRestarted], c.codec)
}

// phaseLine returns the line with the cost of a phase per member: the mean, the mean in the second in which
// members sent the most bytes, and the maximum of a single member in a single second.
func (r *result) phaseLine(ph phase) string {
	m, k := r.records[ph].mean(r.memberCount), r.records[ph].peak
	return fmt.Sprintf("hollow: instances=%d phase=%s seconds=%.0f bytes_s_member=%.0f messages_s_member=%.1f us_s_member=%.0f"+
		" peak_bytes_s_member=%.0f peak_messages_s_member=%.1f peak_us_s_member=%.0f worst_bytes_s=%.0f worst_messages_s=%.0f worst_us_s=%.0f",
		r.memberCount, ph, r.records[ph].seconds, m.bytes, m.messages, m.microseconds, k.bytes, k.messages, k.microseconds,
		r.records[ph].maxMemberBytes, r.records[ph].maxMemberMessages, r.records[ph].maxMemberUs)
}

package hollow

import "fmt"

// This file owns the scenario: its phases, the samples taken in them, and the lines printed.

const (
	// agreementCheckPeriod is how often the tables are compared while they converge.
	agreementCheckPeriod = 100_000
	// agreementTimeout is how long they may take for that.
	agreementTimeout = 180 * second
	// settleTime is how long the updates of the start may circulate before the calm.
	settleTime = 10 * second
	// timeAfterAgreement is how long a phase lasts from agreement on.
	timeAfterAgreement = 10 * second
	// minDowntime and maxDowntime bound how long a restarting process does not run.
	maxDowntime = second
	minDowntime = 300_000
	// reportedCutTail is the end of a cut, whose traffic is reported by itself.
	reportedCutTail = 30 * second
	// maxSecondsBesideCut is no less than what a scenario lasts beside its cut.
	maxSecondsBesideCut = (4*agreementTimeout + settleTime + 3*timeAfterAgreement + 2*(second+maxDowntime)) / second
	// never stands for the time of an agreement that did not come.
	never = -1
)

// result is what one size showed.
type result struct {
	memberCount        int
	cutSeconds         float64
	records            [phaseCount]phaseRecord
	samples            []float64 // of all rows, in order
	heapPerMember      float64   // a member, in calm
	heapPerMemberInCut float64   // a member, at the end of the cut
	deadEntries        int       // entries of dead members at the end of the cut, in all tables
	maxDeadEntries     int       // in one table
	agreedAfter        [phaseCount]float64
	deadEntriesAfter   int // entries of dead members once all agree again
	falseDeaths        []string
}

// scenario is one simulation on its way through the phases.
type scenario struct {
	*simulation
	result
}

// newScenario returns a scenario before its first phase.
func newScenario(members, regions, zones int, seed uint64) *scenario {
	return &scenario{simulation: newSimulation(members, regions, zones, seed), result: result{memberCount: members}}
}

// run runs all phases of one scenario, or those up to the calm where there is no cut.
func run(n, regions, zones int, calmSeconds, cutSeconds float64, seed uint64) result {
	// What measures must not grow while the heap is measured.
	samples := make([]float64, 0, (int(calmSeconds+cutSeconds)+maxSecondsBesideCut)*len(sampleHeader))
	before := heapBytes()
	s := newScenario(n, regions, zones, seed)
	s.cutSeconds, s.samples = cutSeconds, samples
	s.untilAgreed(forming)
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
	s.untilAgreed(healed)
	s.deadEntriesAfter, _ = s.countDeadEntries()
	s.advance(healed, timeAfterAgreement)
	s.restartMembers(tenthRestarted, max(1, n/10))
	s.restartMembers(allRestarted, n)
	s.result.falseDeaths = s.simulation.falseDeaths
	return s.result
}

// cutRegion cuts one region from the others for so long; it is healed when this returns.
func (s *scenario) cutRegion(seconds float64) {
	s.network.cutFrom, s.network.cutUntil = s.now, s.now+int64(seconds*second)
	s.untilAgreedBy(cut, s.network.cutUntil)
	s.advance(cut, max(0, s.network.cutUntil-reportedCutTail-s.now))
	rest := s.records[cut].total
	from := s.now
	s.advance(cut, s.network.cutUntil-s.now)
	if s.now > from {
		last := s.records[cut].total
		last.add(rest.dividedBy(-1))
		s.records[cut].tail = last.dividedBy(float64(s.now-from) / second * float64(s.memberCount))
	}
}

// restartMembers restarts so many within a second.
func (s *scenario) restartMembers(ph phase, n int) {
	for _, i := range s.random.Perm(s.memberCount)[:n] {
		s.restart(i, s.random.Int64N(second), minDowntime+s.random.Int64N(maxDowntime-minDowntime))
	}
	s.advance(ph, second+maxDowntime)
	s.untilAgreed(ph)
	s.advance(ph, timeAfterAgreement)
}

// untilAgreed lets time pass until all tables are the same and right.
func (s *scenario) untilAgreed(ph phase) { s.untilAgreedBy(ph, s.now+agreementTimeout) }

func (s *scenario) untilAgreedBy(ph phase, deadline int64) {
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

// advance lets time pass and takes a sample at each full second.
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

// recordSample reads the loads of all members into the record of a phase. What was caused in a
// part of a second counts with the rest of that second for the peaks.
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

// sampleHeader names the columns of a sample.
var sampleHeader = []string{"instances", "second", "phase", "bytes_s_member", "messages_s_member", "messages_to_dead_s_member",
	"handshakes_s_member", "us_s_member", "codec_us_s_member"}

// longestDisagreement is the longest that tables took to be the same again after a fault.
func (r *result) longestDisagreement() (worst float64) {
	for _, ph := range []phase{healed, tenthRestarted, allRestarted} {
		if r.agreedAfter[ph] == never {
			return never
		}
		worst = max(worst, r.agreedAfter[ph])
	}
	return worst
}

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

// phaseLine is what a phase cost: on the mean, in its most expensive second, and its most
// expensive member in any second.
func (r *result) phaseLine(ph phase) string {
	m, k := r.records[ph].mean(r.memberCount), r.records[ph].peak
	return fmt.Sprintf("hollow: instances=%d phase=%s seconds=%.0f bytes_s_member=%.0f messages_s_member=%.1f us_s_member=%.0f"+
		" peak_bytes_s_member=%.0f peak_messages_s_member=%.1f peak_us_s_member=%.0f worst_bytes_s=%.0f worst_messages_s=%.0f worst_us_s=%.0f",
		r.memberCount, ph, r.records[ph].seconds, m.bytes, m.messages, m.microseconds, k.bytes, k.messages, k.microseconds,
		r.records[ph].maxMemberBytes, r.records[ph].maxMemberMessages, r.records[ph].maxMemberUs)
}

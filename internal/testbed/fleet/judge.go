package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"ravenhitch/internal/peer"
	"ravenhitch/internal/testbed"
)

// This file evaluates the membership tables that the orchestrators of a fleet report. It compares
// them with the injected faults and the sampled state of processes and paths, and never derives the
// state of the fleet from a membership table.

const (
	// partitionGrace is the time after the end of a partition during which the orchestrators that it separated may
	// still report each other dead.
	partitionGrace = 6 * time.Second
	// restartGrace is the time after the start of an orchestrator during which neither its reports that others are
	// dead nor reports that it is dead count as false.
	restartGrace = 3 * time.Second
	// maxDetection is the longest absence that may remain undetected. During a longer one, every other orchestrator
	// that runs in the last sample must have reported the absent one dead. Only the latest absence of each orchestrator
	// counts.
	maxDetection = 9 * time.Second
	// minAsymmetricCut is the longest cut of only one direction of a path that may remain unreported. A longer one must
	// be reported by at least one end of the path, unless the schedule stopped either end.
	minAsymmetricCut = 8 * time.Second
)

// States of members and of paths to them, as a status report has them.
const (
	stateAlive     = "alive"
	stateSuspected = "suspected"
	stateDead      = "dead"
	stateLeft      = "left"
	linkOutShut    = "out shut"
	linkInShut     = "in shut"
)

// memberPair identifies the reports of one orchestrator (the reporter) about another one (the subject).
type memberPair struct{ reporter, subject string }

// absence is the period from the time when a schedule stops an orchestrator until the schedule starts it again, or
// until the last sample if the schedule does not start it again.
type absence struct{ from, to time.Time }

// evaluation holds the intermediate state from which a verdict is built.
type evaluation struct {
	fleet       *Fleet
	verdict     Verdict
	absences    map[string]absence           // latest absence of each orchestrator, by name
	unreachable map[memberPair]time.Time     // time of the last sample in which the reporter could not reach the subject
	detected    map[memberPair]time.Duration // time from the stop of the subject to the reporter's first report of its death
	falseDead   map[memberPair]bool          // pairs that are counted in Verdict.FalseDead
	firstView   map[string]int64             // number of the first view that each orchestrator reported
	latestView  map[string]int64             // highest view number that each orchestrator reported
}

// Evaluate returns the verdict on all samples so far. At least one sample must have been taken.
func (f *Fleet) Evaluate() Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := &evaluation{
		fleet:       f,
		absences:    map[string]absence{},
		unreachable: map[memberPair]time.Time{},
		detected:    map[memberPair]time.Duration{},
		falseDead:   map[memberPair]bool{},
		firstView:   map[string]int64{},
		latestView:  map[string]int64{},
	}
	e.readSchedule()
	for i := range f.samples {
		e.readSample(&f.samples[i])
	}
	e.evaluateDetection()
	e.evaluateAsymmetricCuts()
	e.evaluateAgreement()
	e.measureTraffic()
	return e.verdict
}

// lastSample returns the latest sample. It panics if there is none.
func (f *Fleet) lastSample() *sample { return &f.samples[len(f.samples)-1] }

// readSchedule counts the faults among the applied steps and records when orchestrators were stopped.
func (e *evaluation) readSchedule() {
	for _, step := range e.fleet.applied {
		switch step.Verb {
		case testbed.VerbKill, testbed.VerbTerminate:
			e.absences[step.Where] = absence{step.at, e.fleet.lastSample().at}
		case testbed.VerbStart:
			if a, ok := e.absences[step.Where]; ok {
				e.absences[step.Where] = absence{a.from, step.at}
			}
		}
		if step.Verb != testbed.VerbHeal && step.Verb != testbed.VerbMend {
			e.verdict.Faults++
		}
	}
}

// readSample evaluates the reports of one sample and records which orchestrators could not reach each
// other.
func (e *evaluation) readSample(s *sample) {
	for _, o := range e.fleet.Orchestrators {
		for _, other := range e.fleet.Orchestrators {
			if o != other && !s.connected(o.Name, other.Name) {
				e.unreachable[memberPair{o.Name, other.Name}] = s.at
			}
		}
		if report := s.reports[o.Name]; report != nil {
			e.readReport(s, o.Name, report)
		}
	}
}

func (e *evaluation) readReport(s *sample, reporter string, report *peer.StatusReport) {
	if e.firstView[reporter] == 0 {
		e.firstView[reporter] = report.View.Number
	}
	e.latestView[reporter] = max(e.latestView[reporter], report.View.Number)
	for _, member := range report.Members[1:] { // the first member is the reporter itself
		if member.State == stateDead || member.State == stateLeft {
			e.evaluateDeathReport(s, memberPair{reporter, member.Name}, member.Evidence)
		}
	}
}

// evaluateDeathReport evaluates a report that a member is dead or has left. If the report was sampled during the
// member's latest absence, it is true, and the first such report of each reporter gives the time that this reporter
// took to detect the stop. Any other report is false if mustBeAlive returns true, and counts once for each pair.
func (e *evaluation) evaluateDeathReport(s *sample, pair memberPair, evidence string) {
	absent, ended := e.absences[pair.subject]
	if ended && s.at.After(absent.from) && s.at.Before(absent.to) {
		if _, known := e.detected[pair]; !known {
			e.detected[pair] = s.at.Sub(absent.from)
		}
		return
	}
	if !e.falseDead[pair] && e.mustBeAlive(s, pair) {
		e.falseDead[pair] = true
		e.verdict.FalseDead++
		e.verdict.violation("%.1f s: %s holds %s for dead, which lives: %s", s.at.Sub(e.fleet.startedAt).Seconds(), pair.reporter, pair.subject, evidence)
	}
}

// mustBeAlive reports whether the reporter must consider the subject alive, so that a report of the subject's death
// is false. This is the case if the subject runs, both orchestrators started more than restartGrace ago, and the
// reporter has been able to reach the subject for more than partitionGrace.
func (e *evaluation) mustBeAlive(s *sample, pair memberPair) bool {
	unreachable := e.unreachable[pair]
	return s.running[pair.subject] &&
		s.at.Sub(s.startedAt[pair.subject]) > restartGrace &&
		s.at.Sub(s.startedAt[pair.reporter]) > restartGrace &&
		(unreachable.IsZero() || s.at.Sub(unreachable) > partitionGrace)
}

// evaluateDetection counts the changes of views. For each stopped orchestrator, it also collects the detection times of
// the other orchestrators that run in the last sample. If such an orchestrator did not report the stopped one dead
// during an absence longer than maxDetection, evaluateDetection counts a missed detection.
func (e *evaluation) evaluateDetection() {
	for reporter, latest := range e.latestView {
		e.verdict.ViewChanges += latest - e.firstView[reporter]
	}
	for _, subject := range slices.Sorted(maps.Keys(e.absences)) {
		absent := e.absences[subject]
		for _, o := range e.fleet.Orchestrators {
			if !e.fleet.lastSample().running[o.Name] || o.Name == subject {
				continue
			}
			if took, ok := e.detected[memberPair{o.Name, subject}]; ok {
				e.verdict.DetectionTimes = append(e.verdict.DetectionTimes, took)
			} else if absent.to.Sub(absent.from) > maxDetection {
				e.verdict.MissedDead++
				e.verdict.violation("%s never held %s for dead", o.Name, subject)
			}
		}
	}
	slices.Sort(e.verdict.DetectionTimes)
}

// evaluateAsymmetricCuts counts the one-direction cuts that must be detected, and those of them that an end of the path
// reported.
func (e *evaluation) evaluateAsymmetricCuts() {
	for _, step := range e.fleet.applied {
		cut, ok := asymmetricCut(step)
		if !ok || !e.fleet.mustDetect(cut, step.at) {
			continue
		}
		e.verdict.AsymmetricCuts++
		if e.fleet.cutDetected(cut, step.at) {
			e.verdict.AsymmetricDetected++
		}
	}
}

// asymmetricCut returns the path that a step cuts if the step cuts only one direction. It returns false for any
// other step.
func asymmetricCut(step appliedStep) (path, bool) {
	from, to, ok := strings.Cut(step.Where, "->")
	if !ok || step.Verb != testbed.VerbCut || strings.HasSuffix(from, "<") {
		return path{}, false
	}
	return path{from, to}, true
}

// mustDetect reports whether a cut of one direction must be detected. This is the case if the schedule stopped neither
// end of the path, and a sample taken more than minAsymmetricCut after the start of the cut shows that the path is not
// open.
func (f *Fleet) mustDetect(cut path, since time.Time) bool {
	lasted := slices.ContainsFunc(f.samples, func(s sample) bool {
		return s.at.Sub(since) > minAsymmetricCut && !s.open[cut]
	})
	return lasted && !f.wasStopped(cut.from) && !f.wasStopped(cut.to)
}

// cutDetected reports whether either end of the path reports the cut of one direction in a sample taken at since or
// later.
func (f *Fleet) cutDetected(cut path, since time.Time) bool {
	return slices.ContainsFunc(f.samples, func(s sample) bool {
		return !s.at.Before(since) && (s.reportsLink(cut.from, cut.to, linkOutShut) || s.reportsLink(cut.to, cut.from, linkInShut))
	})
}

// reportsLink reports whether the reporter gives link as the state of its path to the subject.
func (s *sample) reportsLink(reporter, subject, link string) bool {
	report := s.reports[reporter]
	return report != nil && slices.ContainsFunc(report.Members, func(m peer.Member) bool {
		return m.Name == subject && m.Path == link
	})
}

// wasStopped reports whether the schedule stopped or restarted an orchestrator.
func (f *Fleet) wasStopped(name string) bool {
	return slices.ContainsFunc(f.applied, func(step appliedStep) bool {
		return step.Where == name && (step.Verb == testbed.VerbKill || step.Verb == testbed.VerbTerminate || step.Verb == testbed.VerbRestart)
	})
}

// evaluateAgreement measures the time from the latest heal step to the last sample in which a reported view differs
// from the set of running orchestrators. A view that still differs in the last sample is a violation.
func (e *evaluation) evaluateAgreement() {
	for i := range e.fleet.samples {
		s := &e.fleet.samples[i]
		if s.at.Before(e.fleet.healedAt) {
			continue
		}
		running := s.runningNames()
		for _, reporter := range slices.Sorted(maps.Keys(s.reports)) {
			viewed := slices.Sorted(slices.Values(s.reports[reporter].View.Names))
			if slices.Equal(viewed, running) {
				continue
			}
			e.verdict.Disagreement = s.at.Sub(e.fleet.healedAt)
			if s == e.fleet.lastSample() {
				e.verdict.violation("at the end %s sees %v, and %v are there", reporter, viewed, running)
			}
		}
	}
}

func (s *sample) runningNames() (names []string) {
	for name, running := range s.running {
		if running {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// measureTraffic computes the mean number of bytes that a member sent per second, from the reports of the last
// sample.
func (e *evaluation) measureTraffic() {
	end := e.fleet.lastSample()
	var sent int64
	for _, report := range end.reports {
		sent += report.Traffic.SentBytes
	}
	length := max(1, end.at.Sub(e.fleet.startedAt).Seconds())
	e.verdict.TrafficRate = float64(sent) / length / float64(max(1, len(end.reports)))
}

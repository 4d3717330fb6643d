package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"ravenhitch/internal/peer"
	"ravenhitch/internal/testbed"
)

// This file owns how the membership tables of a fleet are judged, by the faults that were
// injected. It must never take a table's word for the state of the rig.

const (
	partitionGrace   = 6 * time.Second // how long a partition may still show as a death
	restartGrace     = 3 * time.Second // how long one that started again may be reported dead
	maxDetection     = 9 * time.Second // by when an end must be detected
	minAsymmetricCut = 8 * time.Second // an asymmetric cut that long must be detected
)

// States and links of members in a status report.
const (
	stateAlive     = "alive"
	stateSuspected = "suspected"
	stateDead      = "dead"
	stateLeft      = "left"
	linkOutShut    = "out shut"
	linkInShut     = "in shut"
)

// belief is what one orchestrator reports of another.
type belief struct{ reporter, subject string }

// absence is how long an orchestrator did not run, by the schedule.
type absence struct{ from, to time.Time }

// evaluation is a verdict in the making.
type evaluation struct {
	fleet       *Fleet
	verdict     Verdict
	absences    map[string]absence // the last of each orchestrator
	unreachable map[belief]time.Time
	detected    map[belief]time.Duration
	falseDead   map[belief]bool
	firstView   map[string]int64 // number of the first view reported
	latestView  map[string]int64
}

// Judge returns the verdict on all samples so far. There must be one at least.
func (f *Fleet) Judge() Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := &evaluation{
		fleet:       f,
		absences:    map[string]absence{},
		unreachable: map[belief]time.Time{},
		detected:    map[belief]time.Duration{},
		falseDead:   map[belief]bool{},
		firstView:   map[string]int64{},
		latestView:  map[string]int64{},
	}
	e.readSchedule()
	for i := range f.samples {
		e.readSample(&f.samples[i])
	}
	e.judgeDetection()
	e.judgeAsymmetricCuts()
	e.judgeAgreement()
	e.measureTraffic()
	return e.verdict
}

// last is the last sample.
func (f *Fleet) last() *sample { return &f.samples[len(f.samples)-1] }

// readSchedule counts the faults, and finds when orchestrators were absent.
func (e *evaluation) readSchedule() {
	for _, step := range e.fleet.applied {
		switch step.Verb {
		case testbed.VerbKill, testbed.VerbTerminate:
			e.absences[step.Where] = absence{step.at, e.fleet.last().at}
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

// readSample reads the reports of all orchestrators in one sample.
func (e *evaluation) readSample(s *sample) {
	for _, o := range e.fleet.Orchestrators {
		for _, other := range e.fleet.Orchestrators {
			if o != other && !s.connected(o.Name, other.Name) {
				e.unreachable[belief{o.Name, other.Name}] = s.at
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
	for _, member := range report.Members[1:] { // the first is the reporter itself
		if member.State == stateDead || member.State == stateLeft {
			e.readDeath(s, belief{reporter, member.Name}, member.Evidence)
		}
	}
}

// readDeath reads that one orchestrator reports another as dead: rightly, or not.
func (e *evaluation) readDeath(s *sample, b belief, evidence string) {
	absent, ended := e.absences[b.subject]
	if ended && s.at.After(absent.from) && s.at.Before(absent.to) {
		if _, known := e.detected[b]; !known {
			e.detected[b] = s.at.Sub(absent.from)
		}
		return
	}
	if !e.falseDead[b] && e.mustBeAlive(s, b) {
		e.falseDead[b] = true
		e.verdict.FalseDead++
		e.verdict.violation("%.1f s: %s holds %s for dead, which lives: %s", s.at.Sub(e.fleet.startedAt).Seconds(), b.reporter, b.subject, evidence)
	}
}

// mustBeAlive reports whether the subject of a belief ran for so long, and was reachable for
// so long, that it must not be reported dead.
func (e *evaluation) mustBeAlive(s *sample, b belief) bool {
	unreachable := e.unreachable[b]
	return s.running[b.subject] &&
		s.at.Sub(s.startedAt[b.subject]) > restartGrace &&
		s.at.Sub(s.startedAt[b.reporter]) > restartGrace &&
		(unreachable.IsZero() || s.at.Sub(unreachable) > partitionGrace)
}

// judgeDetection looks at whether every end was detected by all that ran at the end, and
// counts the changes of views.
func (e *evaluation) judgeDetection() {
	for reporter, latest := range e.latestView {
		e.verdict.ViewChanges += latest - e.firstView[reporter]
	}
	for _, subject := range slices.Sorted(maps.Keys(e.absences)) {
		absent := e.absences[subject]
		for _, o := range e.fleet.Orchestrators {
			if !e.fleet.last().running[o.Name] || o.Name == subject {
				continue
			}
			if took, ok := e.detected[belief{o.Name, subject}]; ok {
				e.verdict.DetectionTimes = append(e.verdict.DetectionTimes, took)
			} else if absent.to.Sub(absent.from) > maxDetection {
				e.verdict.MissedDead++
				e.verdict.violation("%s never held %s for dead", o.Name, subject)
			}
		}
	}
	slices.Sort(e.verdict.DetectionTimes)
}

// judgeAsymmetricCuts counts the cuts of one direction that either end reported.
func (e *evaluation) judgeAsymmetricCuts() {
	for _, step := range e.fleet.applied {
		cut, ok := asymmetricCut(step)
		if !ok || !e.fleet.mustDetect(cut, step.at) {
			continue
		}
		e.verdict.AsymmetricCuts++
		if e.fleet.detects(cut, step.at) {
			e.verdict.AsymmetricDetected++
		}
	}
}

// asymmetricCut is the path of a step that cuts one direction.
func asymmetricCut(step appliedStep) (path, bool) {
	from, to, ok := strings.Cut(step.Where, "->")
	if !ok || step.Verb != testbed.VerbCut || strings.HasSuffix(from, "<") {
		return path{}, false
	}
	return path{from, to}, true
}

// mustDetect reports whether a cut was open for long, between orchestrators that did not end.
func (f *Fleet) mustDetect(cut path, since time.Time) bool {
	lasted := slices.ContainsFunc(f.samples, func(s sample) bool {
		return s.at.Sub(since) > minAsymmetricCut && !s.open[cut]
	})
	return lasted && !f.wasEnded(cut.from) && !f.wasEnded(cut.to)
}

// detects reports whether either end of an asymmetric cut reported it.
func (f *Fleet) detects(cut path, since time.Time) bool {
	return slices.ContainsFunc(f.samples, func(s sample) bool {
		return !s.at.Before(since) && (s.reportsLink(cut.from, cut.to, linkOutShut) || s.reportsLink(cut.to, cut.from, linkInShut))
	})
}

// reportsLink reports whether one orchestrator reports a link to another in a state.
func (s *sample) reportsLink(reporter, subject, link string) bool {
	report := s.reports[reporter]
	return report != nil && slices.ContainsFunc(report.Members, func(m peer.Member) bool {
		return m.Name == subject && m.Path == link
	})
}

// wasEnded reports whether the schedule ended an orchestrator.
func (f *Fleet) wasEnded(name string) bool {
	return slices.ContainsFunc(f.applied, func(step appliedStep) bool {
		return step.Where == name && (step.Verb == testbed.VerbKill || step.Verb == testbed.VerbTerminate || step.Verb == testbed.VerbRestart)
	})
}

// judgeAgreement looks at how long after the end of all faults the views differed from the
// orchestrators that ran.
func (e *evaluation) judgeAgreement() {
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
			if s == e.fleet.last() {
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

// measureTraffic takes the traffic of members from their last reports.
func (e *evaluation) measureTraffic() {
	end := e.fleet.last()
	var sent int64
	for _, report := range end.reports {
		sent += report.Traffic.SentBytes
	}
	length := max(1, end.at.Sub(e.fleet.startedAt).Seconds())
	e.verdict.TrafficRate = float64(sent) / length / float64(max(1, len(end.reports)))
}

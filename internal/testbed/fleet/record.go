package fleet

// This file owns the record of a rehearsal: at each sample, the state of every orchestrator
// and how many of the others believed what of it. Its JSON keys are read by what draws the
// timeline, and stay.

// OrchestratorState is one orchestrator in one sample.
type OrchestratorState struct {
	Name      string `json:"name"`
	Zone      string `json:"hall"`
	Up        bool   `json:"up"`        // runs, and is not paused
	Alive     int    `json:"alive"`     // others that have it for alive,
	Suspected int    `json:"suspected"` // that suspect it,
	Dead      int    `json:"dead"`      // and that have it for dead or left
	Sees      int    `json:"sees"`      // members of its own stable view
}

// Snapshot is all orchestrators in one sample.
type Snapshot struct {
	At    float64             `json:"at_s"` // since the fleet was up
	Fleet []OrchestratorState `json:"fleet"`
}

// ExecutedStep is a step that was carried out.
type ExecutedStep struct {
	At   float64 `json:"at_s"` // since the fleet was up
	Step string  `json:"step"`
}

// Record is all samples so far, and the steps that were carried out.
func (f *Fleet) Record() (moments []Snapshot, done []ExecutedStep) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.samples {
		moments = append(moments, f.moment(&f.samples[i]))
	}
	for _, step := range f.applied {
		done = append(done, ExecutedStep{step.at.Sub(f.startedAt).Seconds(), step.String()})
	}
	return moments, done
}

// Last is the latest sample; false where there is none yet.
func (f *Fleet) Last() (Snapshot, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.samples) == 0 {
		return Snapshot{}, false
	}
	return f.moment(&f.samples[len(f.samples)-1]), true
}

func (f *Fleet) moment(s *sample) Snapshot {
	m := Snapshot{At: s.at.Sub(f.startedAt).Seconds()}
	for _, o := range f.Orchestrators {
		seen := OrchestratorState{Name: o.Name, Zone: o.Zone, Up: s.running[o.Name]}
		if report := s.reports[o.Name]; report != nil {
			seen.Sees = len(report.View.Names)
		}
		s.countBeliefs(&seen)
		m.Fleet = append(m.Fleet, seen)
	}
	return m
}

// countBeliefs counts what the others believe of an orchestrator.
func (s *sample) countBeliefs(seen *OrchestratorState) {
	for reporter, report := range s.reports {
		if reporter == seen.Name {
			continue
		}
		for _, member := range report.Members {
			if member.Name != seen.Name {
				continue
			}
			switch member.State {
			case stateAlive:
				seen.Alive++
			case stateSuspected:
				seen.Suspected++
			default:
				seen.Dead++
			}
		}
	}
}

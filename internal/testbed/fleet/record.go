package fleet

// This file builds the record of a rehearsal. For each sample, the record has the state of every orchestrator
// and the number of other orchestrators that report it alive, suspected or dead. The JSON keys must not change,
// because the sub-command rehearse stores the record in this form.

// OrchestratorState describes one orchestrator in one sample.
type OrchestratorState struct {
	Name      string `json:"name"`
	Zone      string `json:"hall"`
	Up        bool   `json:"up"`        // whether the orchestrator runs and is not paused
	Alive     int    `json:"alive"`     // number of other orchestrators that report it alive
	Suspected int    `json:"suspected"` // number of other orchestrators that suspect it
	Dead      int    `json:"dead"`      // number of other orchestrators that report it dead or left
	ViewSize  int    `json:"sees"`      // number of members in the orchestrator's own stable view, 0 if it sent no report
}

// Snapshot describes all orchestrators in one sample.
type Snapshot struct {
	At    float64             `json:"at_s"` // seconds since the fleet started
	Fleet []OrchestratorState `json:"fleet"`
}

// ExecutedStep is a step of the schedule that was executed.
type ExecutedStep struct {
	At   float64 `json:"at_s"` // seconds since the fleet started
	Step string  `json:"step"`
}

// Record returns a snapshot of each sample so far and the executed steps.
func (f *Fleet) Record() (snapshots []Snapshot, steps []ExecutedStep) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.samples {
		snapshots = append(snapshots, f.snapshot(&f.samples[i]))
	}
	for _, step := range f.applied {
		steps = append(steps, ExecutedStep{step.at.Sub(f.startedAt).Seconds(), step.String()})
	}
	return snapshots, steps
}

// LatestSnapshot returns a snapshot of the latest sample, or false if there is none yet.
func (f *Fleet) LatestSnapshot() (Snapshot, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.samples) == 0 {
		return Snapshot{}, false
	}
	return f.snapshot(&f.samples[len(f.samples)-1]), true
}

func (f *Fleet) snapshot(s *sample) Snapshot {
	m := Snapshot{At: s.at.Sub(f.startedAt).Seconds()}
	for _, o := range f.Orchestrators {
		state := OrchestratorState{Name: o.Name, Zone: o.Zone, Up: s.running[o.Name]}
		if report := s.reports[o.Name]; report != nil {
			state.ViewSize = len(report.View.Names)
		}
		s.countReports(&state)
		m.Fleet = append(m.Fleet, state)
	}
	return m
}

// countReports counts the other orchestrators that report an orchestrator alive, suspected or dead.
func (s *sample) countReports(state *OrchestratorState) {
	for reporter, report := range s.reports {
		if reporter == state.Name {
			continue
		}
		for _, member := range report.Members {
			if member.Name != state.Name {
				continue
			}
			switch member.State {
			case stateAlive:
				state.Alive++
			case stateSuspected:
				state.Suspected++
			default:
				state.Dead++
			}
		}
	}
}

package main

// This file names how an orchestrator of a rehearsal is, and is seen by the others.

import (
	"ravenhitch/internal/testbed/fleet"
)

// orchestratorStatus is how an orchestrator is and is seen, and how that is shown.
type orchestratorStatus struct {
	label  string // in the progress table
	legend string // in the timeline
	colour string // in the timeline
}

var (
	statusUp        = orchestratorStatus{"up", "runs, seen by all", "#4c9f70"}
	statusSuspected = orchestratorStatus{"suspected", "runs, suspected by some", "#e3b23c"}
	statusSeenDead  = orchestratorStatus{"cut off", "runs, dead to some", "#c8553d"}
	statusUnnoticed = orchestratorStatus{"gone", "stopped, unknown to some", "#7d8597"}
	statusDown      = orchestratorStatus{"down", "stopped, known to all", "#b8bec7"}
)

// legendOrder is the order of the legend of the timeline.
var legendOrder = []orchestratorStatus{statusUp, statusSuspected, statusSeenDead, statusUnnoticed, statusDown}

// statusOf is how an orchestrator was at a moment.
func statusOf(seen fleet.OrchestratorState) orchestratorStatus {
	switch {
	case !seen.Up && seen.Alive+seen.Suspected > 0:
		return statusUnnoticed
	case !seen.Up:
		return statusDown
	case seen.Dead > 0:
		return statusSeenDead
	case seen.Suspected > 0:
		return statusSuspected
	}
	return statusUp
}

package main

// This file defines the statuses of an orchestrator in a rehearsal: whether it runs, and how the others see it.

import (
	"ravenhitch/internal/testbed/fleet"
)

// orchestratorStatus is the status of one orchestrator, with its texts and its colour for display.
type orchestratorStatus struct {
	label  string // text in the progress table
	legend string // text in the legend of the timeline
	colour string // fill colour in the timeline
}

var (
	statusUp        = orchestratorStatus{"up", "runs, seen by all", "#4c9f70"}
	statusSuspected = orchestratorStatus{"suspected", "runs, suspected by some", "#e3b23c"}
	statusSeenDead  = orchestratorStatus{"cut off", "runs, dead to some", "#c8553d"}
	statusUnnoticed = orchestratorStatus{"gone", "stopped, unknown to some", "#7d8597"}
	statusDown      = orchestratorStatus{"down", "stopped, known to all", "#b8bec7"}
)

// legendOrder lists the statuses in the order of the timeline's legend.
var legendOrder = []orchestratorStatus{statusUp, statusSuspected, statusSeenDead, statusUnnoticed, statusDown}

// statusOf returns the status that an orchestrator has in one sample of the rehearsal.
func statusOf(state fleet.OrchestratorState) orchestratorStatus {
	switch {
	case !state.Up && state.Alive+state.Suspected > 0:
		return statusUnnoticed
	case !state.Up:
		return statusDown
	case state.Dead > 0:
		return statusSeenDead
	case state.Suspected > 0:
		return statusSuspected
	}
	return statusUp
}

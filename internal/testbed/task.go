package testbed

import (
	"fmt"
	"time"
)

// This file owns the text form in which a submission describes a task to a CapacityModel.

// Task holds the resources and durations that a submission gives in the description of its task.
type Task struct {
	Class              string
	Cores, Memory      float64       // number of cores, and memory in the unit of the worker list
	StartTime, RunTime time.Duration // duration of the start at full speed; time from the end of the start to the completion
}

// Describe returns the text form of a task.
func (t Task) Describe() string {
	return fmt.Sprintf("%s %g %g %d %d", t.Class, t.Cores, t.Memory, t.StartTime, t.RunTime)
}

// parseTask parses the text form that Describe returns.
func parseTask(description string) (t Task, err error) {
	_, err = fmt.Sscanf(description, "%s %g %g %d %d", &t.Class, &t.Cores, &t.Memory, &t.StartTime, &t.RunTime)
	return t, err
}

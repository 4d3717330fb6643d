package testbed

import (
	"fmt"
	"time"
)

// This file owns the form in which a submission describes a task to a capacity model.

// Task is what the description of a submission says of its task.
type Task struct {
	Class              string
	Cores, Memory      float64       // cores, and memory in the units of the list
	StartTime, RunTime time.Duration // of a start at full speed, and from the start to the end
}

// Describe writes a task as a description.
func (t Task) Describe() string {
	return fmt.Sprintf("%s %g %g %d %d", t.Class, t.Cores, t.Memory, t.StartTime, t.RunTime)
}

// parseTask reads what Describe wrote.
func parseTask(description string) (t Task, err error) {
	_, err = fmt.Sscanf(description, "%s %g %g %d %d", &t.Class, &t.Cores, &t.Memory, &t.StartTime, &t.RunTime)
	return t, err
}

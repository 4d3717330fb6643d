package hollow

import (
	"fmt"
	"strconv"
	"time"
)

// This file owns the form of tags and of task descriptions.

// orchestratorBits is how many low bits of a tag number the requests of one orchestrator.
const orchestratorBits = 48

// Tag returns the tag of the nth request to an orchestrator. It names the orchestrator, so
// that a worker knows whose connection a set-up came by.
func Tag(orchestrator int, n uint64) string {
	return fmt.Sprintf("%016x", uint64(orchestrator+1)<<orchestratorBits|n)
}

// TagOrchestrator returns the orchestrator that a tag names, or false for a tag of another form.
func TagOrchestrator(tag string) (int, bool) {
	number, err := strconv.ParseUint(tag, 16, 64)
	if err != nil || number>>orchestratorBits == 0 {
		return 0, false
	}
	return int(number>>orchestratorBits) - 1, true
}

// Task is what a set-up's description tells a worker.
type Task struct {
	Cores, Memory float64
	Run           time.Duration // from the answer to the end
}

// Describe writes the task as the description of a set-up.
func (t Task) Describe() string {
	return fmt.Sprintf("%g %g %d", t.Cores, t.Memory, t.Run.Microseconds())
}

// ParseTask reads what Describe wrote.
func ParseTask(description string) (Task, error) {
	var t Task
	var run int64
	if _, err := fmt.Sscanf(description, "%g %g %d", &t.Cores, &t.Memory, &run); err != nil {
		return t, fmt.Errorf("hollow: description %.40q: %w", description, err)
	}
	t.Run = time.Duration(run) * time.Microsecond
	return t, nil
}

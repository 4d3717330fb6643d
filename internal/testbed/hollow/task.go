package hollow

import (
	"fmt"
	"strconv"
	"time"
)

// This file owns the form of request IDs and of task descriptions.

// orchestratorBits is how many low bits of a request ID number the requests of one
// orchestrator.
const orchestratorBits = 48

// RequestID returns the ID of the nth request to an orchestrator. It names the orchestrator,
// so that a worker learns whose connection an offer came by.
func RequestID(orchestrator int, n uint64) string {
	return fmt.Sprintf("%016x", uint64(orchestrator+1)<<orchestratorBits|n)
}

// OrchestratorOf returns the orchestrator that a request ID names, or false for an ID of
// another form.
func OrchestratorOf(requestID string) (int, bool) {
	number, err := strconv.ParseUint(requestID, 16, 64)
	if err != nil || number>>orchestratorBits == 0 {
		return 0, false
	}
	return int(number>>orchestratorBits) - 1, true
}

// Task is what the description of a submission says of its task.
type Task struct {
	Cores, Memory float64
	RunTime       time.Duration // from its start to its completion
}

// Describe writes the task as a description.
func (t Task) Describe() string {
	return fmt.Sprintf("%g %g %d", t.Cores, t.Memory, t.RunTime.Microseconds())
}

// ParseTask reads what Describe wrote.
func ParseTask(description string) (Task, error) {
	var t Task
	var runTimeUs int64
	if _, err := fmt.Sscanf(description, "%g %g %d", &t.Cores, &t.Memory, &runTimeUs); err != nil {
		return t, fmt.Errorf("hollow: description %.40q: %w", description, err)
	}
	t.RunTime = time.Duration(runTimeUs) * time.Microsecond
	return t, nil
}

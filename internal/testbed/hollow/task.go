package hollow

import (
	"fmt"
	"strconv"
	"time"
)

// This file defines the formats of request IDs and task descriptions.

// requestNumberBits is the number of low bits of a request ID that hold the number of the request. The higher
// bits hold the orchestrator's index plus 1.
const requestNumberBits = 48

// RequestID returns the ID of the nth request to the orchestrator with the given index. The ID contains the
// index, so that a worker that gets an offer learns which orchestrator opened the connection.
func RequestID(orchestrator int, n uint64) string {
	return fmt.Sprintf("%016x", uint64(orchestrator+1)<<requestNumberBits|n)
}

// OrchestratorOf returns the index of the orchestrator that a request ID names, or false if the ID has
// another format.
func OrchestratorOf(requestID string) (int, bool) {
	number, err := strconv.ParseUint(requestID, 16, 64)
	if err != nil || number>>requestNumberBits == 0 {
		return 0, false
	}
	return int(number>>requestNumberBits) - 1, true
}

// Task holds the properties of a task that a submission describes.
type Task struct {
	Cores, Memory float64
	RunTime       time.Duration // time from start to completion
}

// Describe returns the description of the task: cores, memory, and run time in microseconds.
func (t Task) Describe() string {
	return fmt.Sprintf("%g %g %d", t.Cores, t.Memory, t.RunTime.Microseconds())
}

// ParseTask parses a description that Describe returned.
func ParseTask(description string) (Task, error) {
	var t Task
	var runTimeUs int64
	if _, err := fmt.Sscanf(description, "%g %g %d", &t.Cores, &t.Memory, &runTimeUs); err != nil {
		return t, fmt.Errorf("hollow: invalid task description %.40q: %w", description, err)
	}
	t.RunTime = time.Duration(runTimeUs) * time.Microsecond
	return t, nil
}

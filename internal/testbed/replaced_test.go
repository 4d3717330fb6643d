package testbed

import "testing"

// The process that takes the place of another reports neither the end of a task of the earlier one nor a notice about it.
func TestReplacedWorkerForgetsTasks(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		w := NewWorker(t, "w")
		w.runTask(RequestID(1))
		if replaced {
			w.Replace(ResetConnection)
		}
		w.EndTask(RequestID(1), codeEnded)
		if got := w.WillReport(RequestID(1)); got == replaced {
			t.Errorf("replaced %v: the end of a task will be reported: %v", replaced, got)
		}
	}
}

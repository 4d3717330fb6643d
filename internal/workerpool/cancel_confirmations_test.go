package workerpool

import (
	"slices"
	"testing"
)

// Given a cancel before a ping and one after it, the ping's answer stands for the first alone.
func TestCancelConfirmations(t *testing.T) {
	var cancels cancelConfirmations
	if cancels.pending() || cancels.isAnswer("") {
		t.Error("pending before any cancel")
	}

	cancels.await([]string{"before"}, 255)
	cancels.afterPing = append(cancels.afterPing, "after")
	if !cancels.pending() || !cancels.isAnswer("00000000000000ff") || cancels.isAnswer("00000000000000fe") {
		t.Errorf("waits for another answer than the ping's: %+v", cancels)
	}

	noted := cancels.reset()
	if !slices.Equal(noted.beforePing, []string{"before"}) || !slices.Equal(noted.afterPing, []string{"after"}) {
		t.Errorf("noted %+v", noted)
	}
	if cancels.pending() {
		t.Error("pending after the reset")
	}
}

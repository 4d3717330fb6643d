package clientfront

import (
	"testing"
	"time"
)

// A client that never sends its first message is disconnected, but not within the 2 s that it may take to send one.
func TestSilentClientIsDisconnected(t *testing.T) {
	c := startFront(t, 10).dial(t)
	startedAt := time.Now()
	c.expectEnd(t)
	if d := time.Since(startedAt); d < 2*time.Second {
		t.Errorf("silent client was disconnected after %s, want 2 s or more", d)
	}
}

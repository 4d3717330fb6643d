package clientfront

import (
	"testing"
	"time"
)

// A client that never sends its first message is disconnected, but not within the 2 s that it may take.
func TestSilentClientIsDisconnected(t *testing.T) {
	c := startFront(t, 10).dial(t)
	began := time.Now()
	c.expectEnd(t)
	if d := time.Since(began); d < 2*time.Second {
		t.Errorf("it was disconnected after %s", d)
	}
}

package clientfront

import "testing"

// A connection with a higher usage is preferred for completions and evicted later. Connections with equal usage are
// ranked by the time of their last activity, and if the times are equal, by the order in which they were accepted. The
// later connection ranks higher.
func TestConnectionsByUsage(t *testing.T) {
	byUsage := []*clientConn{
		{lastActiveAt: 9, number: 1},
		{lastActiveAt: 9, number: 2},
		{lastActiveAt: 8, partialSince: 8},
		{lastActiveAt: 5, hasMessage: true},
		{lastActiveAt: 6, hasMessage: true, partialSince: 6},
		{lastActiveAt: 4, hasMessage: true, hasTask: true},
		{lastActiveAt: 3, hasMessage: true, hasTask: true, hasStarted: true},
	}
	for i, lower := range byUsage {
		for j, higher := range byUsage {
			if got, want := lower.evictsBefore(higher), i < j; got != want {
				t.Errorf("connection %d is evicted before connection %d: got %t, want %t", i, j, got, want)
			}
			if got, want := higher.reportsBefore(lower), i < j; got != want {
				t.Errorf("connection %d is preferred for completions to connection %d: got %t, want %t", j, i, got, want)
			}
		}
	}
}

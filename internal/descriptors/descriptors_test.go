package descriptors

import "testing"

// Given a budget of 120 descriptors, of which clients use at most 40, workers are guaranteed 74, clients 40 beside
// optional connections to workers, and 15 beside required ones. 4 more always stay free.
func TestAdmission(t *testing.T) {
	const total, maxClients = 120, 40
	for _, c := range []struct {
		name                                       string
		clients, workers, free                     int
		wantClient, wantWorker, wantRequiredWorker bool
	}{
		{"nothing connected", 0, 0, 118, true, true, true},
		{"clients use their share", 40, 0, 78, false, true, true},
		{"one below the clients' share", 39, 0, 79, true, true, true},
		{"workers borrow up to the clients' share", 0, 73, 45, true, true, true},
		{"workers may not borrow more", 0, 74, 44, true, false, true},
		{"required workers may", 0, 98, 20, true, false, true},
		{"up to the minimum share of clients", 0, 99, 19, true, false, false},
		{"beside clients that use that share", 15, 98, 5, true, false, true},
		{"only the reserved ones are free", 40, 74, 4, false, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			budget := New(total, maxClients, func() int { return c.free }, func() int { return c.clients })
			budget.WorkersConnected(c.workers)
			if got := budget.AdmitsClient(); got != c.wantClient {
				t.Errorf("admits a client: %v", got)
			}
			if got := budget.AdmitsWorker(); got != c.wantWorker {
				t.Errorf("admits a worker: %v", got)
			}
			if got := budget.AdmitsRequiredWorker(); got != c.wantRequiredWorker {
				t.Errorf("admits a required worker: %v", got)
			}
		})
	}
}

// Given closed connections to workers, their share is guaranteed again.
func TestWorkersDisconnected(t *testing.T) {
	budget := New(120, 40, func() int { return 50 }, func() int { return 0 })
	budget.WorkersConnected(74)
	if !budget.AdmitsClient() {
		t.Error("no client is admitted though workers use their share")
	}
	budget.WorkersConnected(-74)
	if budget.AdmitsClient() {
		t.Error("a client is admitted in the share of the workers")
	}
}

func TestNilBudgetAdmitsAll(t *testing.T) {
	var budget *Budget
	budget.WorkersConnected(1)
	if !budget.AdmitsClient() || !budget.AdmitsWorker() || !budget.AdmitsRequiredWorker() {
		t.Error("a connection was rejected")
	}
}

package descriptors

import "testing"

// In a budget of 120 descriptors with at most 40 clients, workers are guaranteed 74 descriptors: 120 minus 40 for
// clients, 4 reserved descriptors and 2 for the program itself. Optional connections to workers leave clients 40
// descriptors (a third of 120), and required ones leave them 15 (an eighth). In addition, the 4 reserved descriptors
// always stay free.
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
		{"one below the workers' share", 0, 73, 45, true, true, true},
		{"optional connections may not exceed the workers' share", 0, 74, 44, true, false, true},
		{"required connections borrow up to the clients' minimum share", 0, 98, 20, true, false, true},
		{"required connections may not borrow more", 0, 99, 19, true, false, false},
		{"clients use their minimum share", 15, 98, 5, true, false, true},
		{"only the reserved descriptors are free", 40, 74, 4, false, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			budget := New(total, maxClients, func() int { return c.free }, func() int { return c.clients })
			budget.AddWorkerConns(c.workers)
			if got := budget.AdmitsClient(); got != c.wantClient {
				t.Errorf("AdmitsClient() = %v, want %v", got, c.wantClient)
			}
			if got := budget.AdmitsWorker(); got != c.wantWorker {
				t.Errorf("AdmitsWorker() = %v, want %v", got, c.wantWorker)
			}
			if got := budget.AdmitsRequiredWorker(); got != c.wantRequiredWorker {
				t.Errorf("AdmitsRequiredWorker() = %v, want %v", got, c.wantRequiredWorker)
			}
		})
	}
}

// After connections to workers are closed, the share of the workers is guaranteed again.
func TestWorkersDisconnected(t *testing.T) {
	budget := New(120, 40, func() int { return 50 }, func() int { return 0 })
	budget.AddWorkerConns(74)
	if !budget.AdmitsClient() {
		t.Error("AdmitsClient() = false while workers use their whole share, want true")
	}
	budget.AddWorkerConns(-74)
	if budget.AdmitsClient() {
		t.Error("AdmitsClient() = true while the share of the workers is unused, want false")
	}
}

func TestNilBudgetAdmitsAll(t *testing.T) {
	var budget *Budget
	budget.AddWorkerConns(1)
	budget.ReserveForCollection(true)
	if !budget.AdmitsClient() || !budget.AdmitsWorker() || !budget.AdmitsRequiredWorker() || !budget.AdmitsCollector() {
		t.Error("a nil Budget rejected a connection")
	}
}

// While a share is reserved for connections that collect completions, required connections leave a sixteenth of the budget to
// them, which is 7 of 120 descriptors. Such connections leave clients what required ones leave them.
func TestReservedForCollection(t *testing.T) {
	free := 27
	budget := New(120, 40, func() int { return free }, func() int { return 0 })
	budget.ReserveForCollection(true)
	for ; free > 19; free-- {
		if got, want := budget.AdmitsRequiredWorker(), free > 26; got != want {
			t.Errorf("%d free: AdmitsRequiredWorker() = %v, want %v", free, got, want)
		}
		if !budget.AdmitsCollector() {
			t.Errorf("%d free: AdmitsCollector() = false, want true", free)
		}
	}
	if budget.AdmitsCollector() {
		t.Errorf("%d free: AdmitsCollector() = true, want the clients' share and the reserved descriptors left", free)
	}
	budget.ReserveForCollection(false)
	if free = 20; !budget.AdmitsRequiredWorker() {
		t.Error("AdmitsRequiredWorker() = false after the end of the reservation, want true")
	}
}

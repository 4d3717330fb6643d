package placement

import (
	"fmt"
	"testing"
)

func TestMigrationOffWorkerWithoutService(t *testing.T) {
	migrations := func(service float64, elsewhere float64) (count int) {
		f := newFixture(t, testSettings(), 1, smallWorker("a", 0, 4), smallWorker("b", 0, elsewhere))
		var adoptions []Event
		for i := range 20 {
			event := Adopted{Task: f.request(fmt.Sprint(i), "safe", 1, 1).Task, Worker: "a"}
			event.HasRunHint, event.ExpectedRunUs = true, 20*second
			adoptions = append(adoptions, event)
		}
		f.handleAfter(ms, adoptions...)
		for range 10 {
			count += len(ofType[Migrate](f.handleAfter(second, TaskReport{RequestID: "1", Worker: "a", Kind: ReportService, Value: service})))
		}
		return count
	}
	if count := migrations(0, 30); count < 3 {
		t.Errorf("got %d migrations off a worker that gives no service, want at least 3", count)
	}
	if count := migrations(0.9, 30); count != 0 {
		t.Errorf("got %d migrations off a worker that gives 0.9 of full service, want none", count)
	}
	if count := migrations(0.5, -20); count != 0 {
		t.Errorf("got %d migrations at 0.5 of full service, without free capacity elsewhere, want none", count)
	}
	if count := migrations(0, -20); count < 3 {
		t.Errorf("got %d migrations off a worker that gives no service, without free capacity elsewhere, want at least 3", count)
	}
}

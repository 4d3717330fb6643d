package placement

import "testing"

func TestDiscoveryIsPolled(t *testing.T) {
	settings := testSettings()
	settings.PollsDiscovery = true
	f := newFixture(t, settings, 1, smallWorker("a", 0, 20))
	polls, last := 0, f.now
	for range 600 {
		actions := f.handleAfter(50*ms, TimerFired{"wake"})
		if len(ofType[WatchWorkers](actions)) == 0 {
			continue
		}
		polls++
		if f.now-last > settings.PollWithinUs {
			t.Fatalf("got a poll %d us after the previous one, want at most %d us", f.now-last, settings.PollWithinUs)
		}
		last = f.now
		f.handleAfter(0, WorkerList{Kind: ListFailed})
	}
	if polls < 5 || polls > 30 {
		t.Errorf("got %d polls in 30 s of failures, want 5 to 30", polls)
	}
	f.handleAfter(ms, WorkerList{Kind: ListFull, Entries: []Entry{smallWorker("a", 0, 20)}})
	for range 100 {
		if len(ofType[WatchWorkers](f.handleAfter(50*ms, TimerFired{"wake"}))) > 0 {
			t.Fatal("got a poll after a full list, want none")
		}
	}
}

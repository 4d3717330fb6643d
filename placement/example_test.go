package placement_test

import (
	"fmt"

	"ravenhitch/placement"
)

// A scheduler receives the time and the events, and returns the actions to take.
func Example() {
	scheduler, err := placement.New(placement.Settings{
		FleetSize: 1, HasView: true, CoresOvercommit: 1, MemoryOvercommit: 1, MaxAttempts: 3, TickUs: 1000,
		Kinds:   []placement.Kind{{Name: "std", Cores: 32, Memory: 64}},
		Classes: []placement.Class{{Name: "web", Effect: placement.Safe, Weight: 1, Kind: -1, SaturationLoad: 0.8, SaturationRange: 0.2}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := int64(1_000_000)
	for _, a := range scheduler.Handle(now, []placement.Event{
		placement.WorkerList{Kind: placement.ListFull, Entries: []placement.Entry{
			{Worker: "busy", Kind: "std", FreeCores: 4, FreeMemory: 8},
			{Worker: "idle", Kind: "std", FreeCores: 30, FreeMemory: 60},
		}},
		placement.Request{Task: placement.Task{
			RequestID: "t1", Class: "web", Cores: 1, Memory: 2, DeadlineUs: now + 5_000_000}},
	}) {
		if place, ok := a.(placement.Place); ok {
			fmt.Println(place.RequestID, "to", place.Worker)
		}
	}
	// Output: t1 to idle
}

package placement_test

import (
	"fmt"

	"ravenhitch/placement"
)

// A placer is fed what happened, with the time, and returns what to do.
func Example() {
	p, err := placement.New(placement.Settings{
		FleetSize: 1, HasView: true, CoresMultiple: 1, MemoryMultiple: 1, AttemptsCap: 3, TickUs: 1000,
		Kinds:   []placement.Kind{{Name: "std", Cores: 32, Memory: 64}},
		Classes: []placement.Class{{Name: "web", Effect: placement.Safe, Worth: 1, Kind: -1, Calm: 0.8, Fade: 0.2}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := int64(1_000_000)
	for _, a := range p.Handle(now, []placement.Event{
		placement.List{Kind: placement.ListFull, Entries: []placement.Entry{
			{Machine: "busy", Kind: "std", SpareCores: 4, SpareMem: 8},
			{Machine: "idle", Kind: "std", SpareCores: 30, SpareMem: 60},
		}},
		placement.Request{Task: placement.Task{
			Ticket: "t1", Class: "web", Cores: 1, Mem: 2, DeadlineUs: now + 5_000_000}},
	}) {
		if place, ok := a.(placement.Place); ok {
			fmt.Println(place.Ticket, "to", place.Machine)
		}
	}
	// Output: t1 to idle
}

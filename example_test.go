package ravenhitch_test

import (
	"fmt"

	"ravenhitch"
)

// A placer is fed what happened, with the time, and returns what to do.
func Example() {
	p, err := ravenhitch.New(ravenhitch.Settings{
		FleetSize: 1, HasView: true, CoresMultiple: 1, MemoryMultiple: 1, AttemptsCap: 3, TickUs: 1000,
		Kinds:   []ravenhitch.Kind{{Name: "std", Cores: 32, Memory: 64}},
		Classes: []ravenhitch.Class{{Name: "web", Effect: ravenhitch.Safe, Worth: 1, Kind: -1, Calm: 0.8, Fade: 0.2}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := int64(1_000_000)
	for _, a := range p.Handle(now, []ravenhitch.Event{
		ravenhitch.List{Kind: ravenhitch.ListFull, Entries: []ravenhitch.Entry{
			{Machine: "busy", Kind: "std", SpareCores: 4, SpareMem: 8},
			{Machine: "idle", Kind: "std", SpareCores: 30, SpareMem: 60},
		}},
		ravenhitch.Request{Task: ravenhitch.Task{
			Ticket: "t1", Class: "web", Cores: 1, Mem: 2, DeadlineUs: now + 5_000_000}},
	}) {
		if place, ok := a.(ravenhitch.Place); ok {
			fmt.Println(place.Ticket, "to", place.Machine)
		}
	}
	// Output: t1 to idle
}

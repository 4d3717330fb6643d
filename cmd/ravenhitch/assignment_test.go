package main

// This file tests the division of the workers among the live members.

import (
	"testing"

	"ravenhitch/internal/config"
	"ravenhitch/internal/discovery"
	"ravenhitch/internal/membership"
	"ravenhitch/internal/shard"
)

// The workers are divided among the members of the stable view and, until the presumption ends, also among the
// members named in the operators' file. A view without this orchestrator changes nothing.
func TestAssignment(t *testing.T) {
	member := func(name, zone string) membership.Member { return membership.Member{Name: name, Zone: zone} }
	a := newAssignment("n1", "z1", config.Peers{Regions: map[string]string{"z1": "west", "z2": "west", "z3": "east"},
		Members: []config.PeerAddress{{Name: "n2", Zone: "z2"}, {Name: "n3", Zone: "z3"}}})
	now := a.current()
	a.apply = func(division discovery.Assignment) { now = division }
	expect := func(when string, west, east int) {
		t.Helper()
		got := [3]int{assignedShards(now, "z1"), assignedShards(now, "z2"), assignedShards(now, "z3")}
		if got != [3]int{west, west, east} {
			t.Errorf("%s: assigned shards of zones z1, z2 and z3: got %v, want %v", when, got, [3]int{west, west, east})
		}
	}
	expect("at the start", shard.Count/2, 0)
	a.onView([]membership.Member{member("n1", "z1")})
	expect("alone in the table, in the first seconds", shard.Count/2, 0)
	a.endPresumption()
	expect("alone in the table", shard.Count, 0)
	a.onView([]membership.Member{member("n1", "z1"), member("n2", "z2"), member("n4", "z2"), member("n3", "z3"), member("n5", "z2")})
	expect("with four members in the west", shard.Count/4, 0)
	a.onView([]membership.Member{member("n2", "z2"), member("n3", "z3")})
	expect("after a view without this orchestrator", shard.Count/4, 0)
	a.onView([]membership.Member{member("n1", "z3"), member("n2", "z2")})
	expect("moved to the east", 0, shard.Count)
}

// If an orchestrator has not joined the membership table by the time at which the presumption would end, it
// still shares the workers with the members named in the operators' file.
func TestAssignmentBeforeJoining(t *testing.T) {
	a := newAssignment("n1", "z1", config.Peers{Members: []config.PeerAddress{{Name: "n2"}}})
	a.apply = func(discovery.Assignment) {}
	a.endPresumption()
	if now := a.current(); assignedShards(now, "z1") != shard.Count/2 || assignedShards(now, "z3") != shard.Count/2 {
		t.Errorf("assigned shards: got %d of z1 and %d of z3, want %d of each",
			assignedShards(now, "z1"), assignedShards(now, "z3"), shard.Count/2)
	}
}

// assignedShards returns the number of shards of a zone that are assigned to this orchestrator.
func assignedShards(division discovery.Assignment, zone string) int {
	return shard.Set{"": division(zone)}.Len()
}

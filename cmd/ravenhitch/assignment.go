package main

// This file joins the membership table with the shards of workers that this orchestrator places tasks
// on. It must never give up a shard for a view that this orchestrator is not part of.

import (
	"cmp"
	"slices"

	"ravenhitch/internal/config"
	"ravenhitch/internal/discovery"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/membership"
	"ravenhitch/internal/shard"
)

// presumedForUs is how long after the start the members that the operators' file names are presumed
// alive though the table doesn't list them yet: as long as it takes to find that a member is dead.
// Without it, each of a fleet that starts together would request all workers.
const presumedForUs = 7 * second

// assignment divides the workers among the members that are alive. It belongs to the event loop.
type assignment struct {
	apply    func(discovery.Assignment) // takes a new division of the workers
	regions  shard.Regions
	name     string         // of this orchestrator
	presumed []shard.Member // members that are presumed alive
	view     []shard.Member // members of the last stable view
}

// startAssignment divides the workers, at first among the members that the operators' file names.
func startAssignment(loop *eventloop.Loop, follower *discovery.Follower, cfg config.Config, peers config.Peers) *assignment {
	a := newAssignment(cfg.Name, cmp.Or(peers.Zone, cfg.Settings.Zone), peers)
	follower.EnableAssignment(a.current())
	a.apply = follower.SetAssignment
	loop.After(presumedForUs, a.endPresumption)
	return a
}

// newAssignment presumes the members that the operators' file names alive.
func newAssignment(name, zone string, peers config.Peers) *assignment {
	a := &assignment{regions: peers.Regions, name: name, presumed: []shard.Member{{Name: name, Zone: zone}}}
	for _, member := range peers.Members {
		a.presumed = append(a.presumed, shard.Member{Name: member.Name, Zone: member.Zone})
	}
	return a
}

// endPresumption ends the time in which members are presumed alive that the table doesn't list. Where
// there was no stable view yet, the presumption stays.
func (a *assignment) endPresumption() {
	if len(a.view) > 0 {
		a.presumed = nil
		a.apply(a.current())
	}
}

// onView takes a stable view of the membership table. A view without this orchestrator is of a table
// that it hasn't joined yet, or that lists another process under its name: it changes nothing.
func (a *assignment) onView(members []membership.Member) {
	if !slices.ContainsFunc(members, func(m membership.Member) bool { return m.Name == a.name }) {
		return
	}
	a.view = nil
	for _, member := range members {
		a.view = append(a.view, shard.Member{Name: member.Name, Zone: member.Zone})
	}
	a.apply(a.current())
}

// current divides the workers among the members as they are now.
func (a *assignment) current() discovery.Assignment {
	members := slices.Concat(a.presumed, a.view)
	return func(zone string) shard.Bits { return a.regions.Assigned(zone, members, a.name) }
}

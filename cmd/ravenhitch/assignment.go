package main

// This file joins the table of members with the shards that this orchestrator places tasks in.

import (
	"cmp"
	"slices"

	"ravenhitch/internal/config"
	"ravenhitch/internal/discovery"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/membership"
	"ravenhitch/internal/shard"
)

// presumedFor is how long after the start members that the operators' file names are taken to be
// there though the table does not hold them yet: as long as the death of one that vanished takes
// to be found. Without it each of a fleet that starts together would ask for all workers.
const presumedFor = 7_000_000

// assignment divides the workers among the members that are there.
type assignment struct {
	apply      func(discovery.Assignment) // takes a division of the workers
	regions  shard.Regions
	self     string
	presumed []shard.Member // that are taken to be there
	view     []shard.Member // of the last stable view
}

// assign divides the workers, at first among the members that the operators' file names.
func assign(l *eventloop.Loop, channel *discovery.Follower, cfg config.Config, s config.Peers) *assignment {
	a := newAssignment(cfg.Name, cmp.Or(s.Hall, cfg.Settings.Zone), s)
	channel.EnablePartition(a.current())
	a.apply = channel.SetAssignment
	l.After(presumedFor, a.endPresumption)
	return a
}

// newAssignment takes the members that the operators' file names to be there.
func newAssignment(name, zone string, s config.Peers) *assignment {
	a := &assignment{regions: s.Regions, self: name, presumed: []shard.Member{{Name: name, Zone: zone}}}
	for _, m := range s.Members {
		a.presumed = append(a.presumed, shard.Member{Name: m.Name, Zone: m.Zone})
	}
	return a
}

// endPresumption ends the time in which members are taken to be there that the table does not hold.
func (a *assignment) endPresumption() {
	if len(a.view) > 0 {
		a.presumed = nil
		a.apply(a.current())
	}
}

// onView takes a stable view of the table of members. One without this orchestrator is of a table
// that it has not joined yet, or that holds another process under its name: it changes nothing.
func (a *assignment) onView(members []membership.Member) {
	if !slices.ContainsFunc(members, func(m membership.Member) bool { return m.Name == a.self }) {
		return
	}
	a.view = nil
	for _, m := range members {
		a.view = append(a.view, shard.Member{Name: m.Name, Zone: m.Zone})
	}
	a.apply(a.current())
}

// connect divides the workers among the members as they are now.
func (a *assignment) current() discovery.Assignment {
	members := slices.Concat(a.presumed, a.view)
	return func(zone string) shard.Bits { return a.regions.Assigned(zone, members, a.self) }
}

package main

// This file joins the table of members with the shards that this orchestrator places tasks in.

import (
	"cmp"
	"slices"

	"ravenhitch/internal/config"
	"ravenhitch/internal/loop"
	"ravenhitch/internal/membership"
	"ravenhitch/internal/platform"
	"ravenhitch/internal/shard"
)

// presumedFor is how long after the start members that the operators' file names are taken to be
// there though the table does not hold them yet: as long as the death of one that vanished takes
// to be found. Without it each of a fleet that starts together would ask for all workers.
const presumedFor = 7_000_000

// assignment divides the workers among the members that are there.
type assignment struct {
	channel  *platform.Channel
	regions  shard.Regions
	self     string
	presumed []shard.Member // that are taken to be there
	view     []shard.Member // of the last stable view
}

// newAssignment begins with the members that the operators' file names.
func newAssignment(l *loop.Loop, channel *platform.Channel, cfg config.Config, s config.Peers) *assignment {
	a := &assignment{channel: channel, regions: s.Regions, self: cfg.Name,
		presumed: []shard.Member{{Name: cfg.Name, Zone: cmp.Or(s.Hall, cfg.Settings.Zone)}}}
	for _, m := range s.Members {
		a.presumed = append(a.presumed, shard.Member{Name: m.Name, Zone: m.Zone})
	}
	channel.Partition(a.owner())
	l.After(presumedFor, func() {
		a.presumed = nil
		a.assign()
	})
	return a
}

// viewed takes a stable view of the table of members. One without this orchestrator is of a table
// that it has not joined yet, or that holds another process under its name: it changes nothing.
func (a *assignment) viewed(members []membership.Member) {
	if !slices.ContainsFunc(members, func(m membership.Member) bool { return m.Name == a.self }) {
		return
	}
	a.view = nil
	for _, m := range members {
		a.view = append(a.view, shard.Member{Name: m.Name, Zone: m.Zone})
	}
	a.assign()
}

func (a *assignment) assign() {
	if len(a.presumed)+len(a.view) > 0 {
		a.channel.Own(a.owner())
	}
}

// owner divides the workers among the members as they are now.
func (a *assignment) owner() platform.Owner {
	members := slices.Concat(a.presumed, a.view)
	return func(zone string) shard.Bits { return a.regions.Own(zone, members, a.self) }
}

package main

// This file divides the workers among the orchestrators in the membership table. The result is the shards of
// workers on which this orchestrator places tasks. If a view of the table does not list this orchestrator, its
// shards stay as they are.

import (
	"cmp"
	"slices"

	"ravenhitch/internal/config"
	"ravenhitch/internal/discovery"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/membership"
	"ravenhitch/internal/shard"
)

// presumptionUs is a period after the start, in microseconds. During this period, the members named in the
// operators' file are presumed alive even if the membership table does not list them yet. The period is as long
// as the detection of a dead member takes. Without the presumption, if a whole fleet started at the same time,
// each orchestrator would request all workers, because its table would not list the others yet.
const presumptionUs = 7 * second

// assignment divides the workers among the live members. It is used on the event loop only.
type assignment struct {
	apply    func(discovery.Assignment) // applies a new division of the workers
	regions  shard.Regions
	name     string         // name of this orchestrator
	presumed []shard.Member // members presumed alive, this orchestrator included; nil once the presumption has ended
	view     []shard.Member // members of the last stable view; empty before the first one
}

// startAssignment starts to divide the workers, initially among the members named in the operators' file.
func startAssignment(loop *eventloop.Loop, follower *discovery.Follower, cfg config.Config, peers config.Peers) *assignment {
	a := newAssignment(cfg.Name, cmp.Or(peers.Zone, cfg.Settings.Zone), peers)
	follower.EnableAssignment(a.current())
	a.apply = follower.SetAssignment
	loop.After(presumptionUs, a.endPresumption)
	return a
}

// newAssignment returns an assignment that presumes the members named in the operators' file alive.
func newAssignment(name, zone string, peers config.Peers) *assignment {
	a := &assignment{regions: peers.Regions, name: name, presumed: []shard.Member{{Name: name, Zone: zone}}}
	for _, member := range peers.Members {
		a.presumed = append(a.presumed, shard.Member{Name: member.Name, Zone: member.Zone})
	}
	return a
}

// endPresumption ends the presumption that the members named in the operators' file are alive. From then on,
// only the members that the membership table lists count. If there has been no stable view of the table yet,
// endPresumption changes nothing, and the members stay presumed alive.
func (a *assignment) endPresumption() {
	if len(a.view) > 0 {
		a.presumed = nil
		a.apply(a.current())
	}
}

// onView divides the workers among the members of a new stable view. It ignores a view that does not list
// this orchestrator: either the orchestrator has not joined the membership table yet, or the table lists
// another process under its name.
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

// current returns the division of the workers among the current members.
func (a *assignment) current() discovery.Assignment {
	members := slices.Concat(a.presumed, a.view)
	return func(zone string) shard.Bits { return a.regions.Assigned(zone, members, a.name) }
}

package main

// This file divides the workers among the orchestrators that count as alive: the members of the stable view of
// the membership table and, at first, the members named in the operators' file. The result is the set of shards
// of workers on which this orchestrator places tasks. A view that does not list this orchestrator changes nothing.

import (
	"cmp"
	"slices"

	"ravenhitch/internal/config"
	"ravenhitch/internal/discovery"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/membership"
	"ravenhitch/internal/shard"
)

// presumptionUs is the time after the start, in microseconds, for which the members named in the operators' file are
// presumed alive even if the membership table does not list them yet. A dead member is usually detected within the
// same time. Without the presumption, if all orchestrators started at the same time, each would use all workers of
// its region, because its table would not list the others yet.
const presumptionUs = 7 * second

// assignment divides the workers among the live members. It is used on the event loop only.
type assignment struct {
	apply    func(discovery.Assignment) // applies a new division of the workers
	regions  shard.Regions
	name     string         // name of this orchestrator
	presumed []shard.Member // members presumed alive, this orchestrator included; nil once the presumption has ended
	view     []shard.Member // members of the last stable view that lists this orchestrator; empty before the first one
}

// startAssignment starts to divide the workers, initially among this orchestrator and the members named in the
// operators' file.
func startAssignment(loop *eventloop.Loop, follower *discovery.Follower, cfg config.Config, peers config.Peers) *assignment {
	a := newAssignment(cfg.Name, cmp.Or(peers.Zone, cfg.Settings.Zone), peers)
	follower.EnableAssignment(a.current())
	a.apply = follower.SetAssignment
	loop.After(presumptionUs, a.endPresumption)
	return a
}

// newAssignment returns an assignment that presumes alive this orchestrator and the members named in the
// operators' file.
func newAssignment(name, zone string, peers config.Peers) *assignment {
	a := &assignment{regions: peers.Regions, name: name, presumed: []shard.Member{{Name: name, Zone: zone}}}
	for _, member := range peers.Members {
		a.presumed = append(a.presumed, shard.Member{Name: member.Name, Zone: member.Zone})
	}
	return a
}

// endPresumption ends the presumption that the members named in the operators' file are alive. From then on, only
// the members of the stable view count. If no stable view has listed this orchestrator yet, endPresumption changes
// nothing. In this case, the members named in the file stay presumed alive until the process ends, because
// endPresumption is called only once.
func (a *assignment) endPresumption() {
	if len(a.view) > 0 {
		a.presumed = nil
		a.apply(a.current())
	}
}

// onView divides the workers among the members of a new stable view and the members that are still presumed alive.
// It ignores a view that does not list this orchestrator. A view omits an orchestrator that has not joined the
// membership table yet, whose name another process owns, or that is leaving.
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

// current returns the division of the workers among the presumed members and the members of the last view.
func (a *assignment) current() discovery.Assignment {
	members := slices.Concat(a.presumed, a.view)
	return func(zone string) shard.Bits { return a.regions.Assigned(zone, members, a.name) }
}

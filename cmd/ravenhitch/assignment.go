package main

// This file joins the table of members with the shards that this orchestrator places tasks in.

import (
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
	self     string
	presumed []string // members that are taken to be there
	view     []string // members of the last stable view
}

// newAssignment begins with the members that the operators' file names.
func newAssignment(l *loop.Loop, channel *platform.Channel, self string, s config.Peers) *assignment {
	a := &assignment{channel: channel, self: self, presumed: []string{self}}
	for _, m := range s.Members {
		a.presumed = append(a.presumed, m.Name)
	}
	channel.Partition(shard.Assign(a.presumed, self))
	l.After(presumedFor, func() {
		a.presumed = nil
		a.assign()
	})
	return a
}

// viewed takes a stable view of the table of members. One without this orchestrator is of a table
// that it has not joined yet, or that holds another process under its name: it changes nothing.
func (a *assignment) viewed(v membership.View) {
	if slices.Contains(v.Names, a.self) {
		a.view = v.Names
		a.assign()
	}
}

func (a *assignment) assign() {
	if members := slices.Concat(a.presumed, a.view); len(members) > 0 {
		a.channel.Own(shard.Assign(members, a.self))
	}
}

package membership

// This file handles members that are dead or have left. Dead members are pinged periodically, and dead and
// departed ones are removed from the table when there are too many.

import "slices"

// pingDead pings one member that is dead, or one peer of the settings that is not in the table. Without these
// pings, the end of a partition would never be detected. It also removes one dead or departed member if there are
// more than maxDeadMembers.
func (t *Table) pingDead() {
	var dead []string
	for _, name := range t.names {
		if t.members[name].State == Dead {
			dead = append(dead, name)
		}
	}
	for _, p := range t.Peers {
		if t.members[p.Name] == nil {
			dead = append(dead, p.Name)
		}
	}
	if len(dead) > 0 {
		t.ping(dead[t.rng.IntN(len(dead))])
	}
	if len(t.names)-t.liveCount > maxDeadMembers {
		t.forgetDead()
	}
}

// forgetDead removes the dead or departed member with the oldest proof that it was alive. A member
// that became silent recently may only be partitioned off, and must be pinged to be found again.
func (t *Table) forgetDead() {
	oldest := -1
	for i, name := range t.names {
		m := t.members[name]
		if m.State >= Dead && (oldest < 0 || m.lastAliveAt < t.members[t.names[oldest]].lastAliveAt) {
			oldest = i
		}
	}
	delete(t.members, t.names[oldest])
	t.names = slices.Delete(t.names, oldest, oldest+1)
}

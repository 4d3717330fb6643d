package membership

// This file handles members that are dead or have left. Dead members are pinged periodically, and dead and
// departed ones are removed from the table when there are too many.

import "slices"

// pingDead pings one member, chosen at random among the dead members and the configured peers that are not in the
// table. These pings detect the end of a partition whose sides have declared each other dead. pingDead also removes one
// dead or departed member if the table holds more than maxDeadMembers of them.
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

// forgetDead removes the dead or departed member whose last proof of being alive is the oldest. A member that became
// silent recently may be alive on the other side of a partition. It stays in the table, so that pingDead can find it
// again.
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

package membership

// This file owns what is done about members that are dead or have left: they are pinged now and then, and
// forgotten once there are too many.

import "slices"

// pingDead pings one of the dead: a partition that heals would never show otherwise.
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

// forgetDead removes the dead or departed member that was last alive the longest time ago: one that fell
// silent lately may only be partitioned off, and must be pinged to be found again.
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

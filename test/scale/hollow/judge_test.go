package hollow

import (
	"fmt"

	"ravenhitch/internal/membership"
)

const (
	// reachedWithin is how lately a member must have been in reach for its death to be wrong.
	reachedWithin = 6 * second
	// startGrace is how long after its start a process may be taken for the one before.
	startGrace = 2 * second
)

// judge looks at a death that an instance declares. It is wrong where the member runs and
// both could reach each other throughout the last seconds: the network has no cut but that
// of a region, so within one side a way always leads there and back.
func (f *fleet) judge(by int, e membership.Event) {
	j := f.byName[e.Name]
	o := f.instances[j]
	if !o.running || o.life != e.Life || f.now-o.startedAt < startGrace || f.network.cutWithin(by, j, f.now-reachedWithin, f.now) {
		return
	}
	f.wrong = append(f.wrong, fmt.Sprintf("%.2f s: %s holds %s for dead, which is in reach: %s",
		float64(f.now)/second, f.instances[by].name, e.Name, e.Evidence))
}

// agrees reports whether the tables of all that run hold exactly those that run and that
// the network carries to, each in its present life.
func (f *fleet) agrees() bool {
	sides := map[bool]int{}
	for i, x := range f.instances {
		if x.running {
			sides[f.side(i)]++
		}
	}
	for i, x := range f.instances { // the sizes first, which is cheap
		if x.running && x.Size() != sides[f.side(i)] {
			return false
		}
	}
	for i, x := range f.instances {
		if x.running && !f.holdsAll(i) {
			return false
		}
	}
	return true
}

// side is the side of the cut that an instance is on; there is only one without a cut.
func (f *fleet) side(i int) bool {
	return f.network.inCutRegion(i) && f.now >= f.network.cutFrom && f.now < f.network.cutUntil
}

// holdsAll reports whether the table of i has each other instance of its side in its
// present life.
func (f *fleet) holdsAll(i int) bool {
	for j, o := range f.instances {
		if i == j || !o.running || f.side(i) != f.side(j) {
			continue
		}
		if _, life, ok := f.instances[i].Locate(o.name); !ok || life != o.life {
			return false
		}
	}
	return true
}

// remembered counts the entries of dead members in all tables, and the most in one.
func (f *fleet) remembered() (all, most int) {
	for _, x := range f.instances {
		if !x.running {
			continue
		}
		n := 0
		for _, m := range x.Members() {
			if m.State == membership.Dead {
				n++
			}
		}
		all, most = all+n, max(most, n)
	}
	return all, most
}

package core

// This file owns which minions are out by hand and how that goes together with what
// the channel lists. A minion that is out drains for this orchestrator, whatever the
// list says, until it is put back by hand; it must never be put back by a list.

import (
	"maps"
	"slices"

	"ravenhitch"
)

// roster is what was listed last, and what is out by hand.
type roster struct {
	last map[string]ravenhitch.Entry // as the channel told it
	out  map[string]bool
	back map[string]bool // put back, and not ready since
}

// list takes a list and returns its entries as they hold here.
func (o *roster) list(l ravenhitch.List) []ravenhitch.Entry {
	if l.Kind == ravenhitch.ListFull || l.Kind == ravenhitch.ListCached {
		clear(o.last)
	}
	entries := slices.Clone(l.Entries)
	for i, e := range entries {
		if o.last[e.Machine] = e; e.State == ravenhitch.Gone {
			delete(o.last, e.Machine)
		}
		entries[i] = o.held(e)
	}
	return entries
}

func (o *roster) held(e ravenhitch.Entry) ravenhitch.Entry {
	if o.out[e.Machine] && e.State == ravenhitch.Ready {
		e.State = ravenhitch.Draining
	}
	if o.back[e.Machine] && e.State == ravenhitch.Ready {
		e.Returned = true
		delete(o.back, e.Machine)
	}
	return e
}

// Known reports whether a node is listed, or out by hand.
func (c *Core) Known(node string) bool { return c.listed[node] || c.roster.out[node] }

// Hand takes nodes out and puts them back: out by hand is who is named, and nobody else.
func (c *Core) Hand(now int64, out map[string]bool) {
	c.now = now
	o := &c.roster
	l := ravenhitch.List{Kind: ravenhitch.ListDelta}
	change := func(node string) {
		c.log.Info("a minion was taken out or put back by hand", "node", node, "out", out[node])
		if e, ok := o.last[node]; ok {
			l.Entries = append(l.Entries, e)
		}
	}
	for _, node := range slices.Sorted(maps.Keys(out)) {
		if out[node] && !o.out[node] {
			o.out[node] = true
			delete(o.back, node)
			change(node)
		}
	}
	for _, node := range slices.Sorted(maps.Keys(o.out)) {
		if !out[node] {
			delete(o.out, node)
			o.back[node] = true
			change(node)
		}
	}
	if len(l.Entries) > 0 {
		c.List(now, l)
	}
}

// Pool is how many nodes are listed, and how many of these are avoided by hand or by
// the module's choice.
func (c *Core) Pool() (listed, avoided int) {
	for node := range c.listed {
		if c.roster.out[node] || c.placer.Avoids(node) {
			avoided++
		}
	}
	return len(c.listed), avoided
}

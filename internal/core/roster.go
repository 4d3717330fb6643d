package core

// This file owns which minions are out by hand and how that goes together with what
// the channel lists, and what became of requests by class. A minion that is out drains
// for this orchestrator, whatever the list says, until it is put back by hand.

import (
	"slices"

	"ravenhitch"
)

// Ends counts what became of the requests of one class.
type Ends struct{ Started, Refused, Failed int64 }

func (c *Core) tally(class string, kind AnswerKind) {
	if _, ok := c.classes[class]; !ok {
		return // else whoever names classes of its own makes this grow
	}
	e := c.ends[class]
	switch kind {
	case Started:
		e.Started++
	case Refused:
		e.Refused++
	case Failed:
		e.Failed++
	}
	c.ends[class] = e
}

// Ends returns what became of the requests of each class of the settings.
func (c *Core) Ends() map[string]Ends {
	out := map[string]Ends{}
	for name := range c.classes {
		out[name] = c.ends[name]
	}
	return out
}

// Turned counts a request that a front turned away by itself.
func (c *Core) Turned(class string, kind AnswerKind) { c.tally(class, kind) }

// roster is what was listed last, and what is out by hand.
type roster struct {
	last map[string]ravenhitch.Entry // as the channel told it
	out  map[string]bool
	back map[string]bool // put back, and not ready since
}

// list takes a list and returns its entries as they hold here.
func (o *roster) list(l ravenhitch.List) []ravenhitch.Entry {
	if o.last == nil {
		o.last, o.out, o.back = map[string]ravenhitch.Entry{}, map[string]bool{}, map[string]bool{}
	}
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
	if o.last == nil {
		o.list(ravenhitch.List{})
	}
	var changed []string
	for _, node := range c.union(out) {
		if out[node] == o.out[node] {
			continue
		}
		if out[node] {
			o.out[node] = true
			delete(o.back, node)
		} else {
			delete(o.out, node)
			o.back[node] = true
		}
		changed = append(changed, node)
	}
	if len(changed) == 0 {
		return
	}
	l := ravenhitch.List{Kind: ravenhitch.ListDelta}
	for _, node := range changed {
		c.log.Info("a minion was taken out or put back by hand", "node", node, "out", out[node])
		if e, ok := o.last[node]; ok {
			l.Entries = append(l.Entries, e)
		}
	}
	if len(l.Entries) > 0 {
		c.List(now, l)
	}
}

func (c *Core) union(out map[string]bool) (all []string) {
	for node := range out {
		all = append(all, node)
	}
	for node := range c.roster.out {
		if !out[node] {
			all = append(all, node)
		}
	}
	slices.Sort(all)
	return all
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

package dispatch

// This file owns which workers are out by hand or belong to another orchestrator, and how that
// goes together with what the channel lists. A worker that is out drains for this orchestrator,
// whatever the list says, until it is put back by hand; it must never be put back by a list.

import (
	"maps"
	"slices"

	"ravenhitch/placement"
)

// roster is what was listed last, and what is out by hand.
type roster struct {
	last map[string]placement.Entry // as the channel told it
	out  map[string]bool
	back map[string]bool        // put back, and not ready since
	own  func(node string) bool // places tasks there, nil: at all nodes
}

// list takes a list and returns its entries as they hold here.
func (o *roster) list(l placement.WorkerList) []placement.Entry {
	if l.Kind == placement.ListFull || l.Kind == placement.ListCached {
		clear(o.last)
	}
	entries := slices.Clone(l.Entries)
	for i, e := range entries {
		if o.last[e.Worker] = e; e.State == placement.Removed {
			delete(o.last, e.Worker)
		}
		entries[i] = o.held(e)
	}
	return entries
}

func (o *roster) held(e placement.Entry) placement.Entry {
	if o.out[e.Worker] && e.State == placement.Ready {
		e.State = placement.Draining
	}
	if o.back[e.Worker] && e.State == placement.Ready {
		e.Uncordoned = true
		delete(o.back, e.Worker)
	}
	if e.State == placement.Ready && !o.owns(e.Worker) {
		e.State = placement.Foreign
	}
	return e
}

// owns reports whether this orchestrator places tasks at a node.
func (o *roster) owns(node string) bool { return o.own == nil || o.own(node) }

// SetAssignedWorkers says at which nodes this orchestrator places tasks from now on; the others are left to other
// orchestrators. What stands there stays. own must answer alike until the next call.
func (c *Dispatcher) SetAssignedWorkers(now int64, own func(node string) bool) {
	o, before := &c.roster, c.roster.own
	o.own = own
	l := placement.WorkerList{Kind: placement.ListDelta}
	for _, node := range slices.Sorted(maps.Keys(o.last)) {
		if (before == nil || before(node)) != o.owns(node) {
			l.Entries = append(l.Entries, o.last[node])
		}
	}
	if len(l.Entries) > 0 {
		c.UpdateWorkers(now, l)
	}
}

// HasWorker reports whether a node is listed, or out by hand.
func (c *Dispatcher) HasWorker(node string) bool { return c.listed[node] || c.roster.out[node] }

// SetCordoned takes nodes out and puts them back: out by hand is who is named, and nobody else.
func (c *Dispatcher) SetCordoned(now int64, out map[string]bool) {
	c.now = now
	o := &c.roster
	l := placement.WorkerList{Kind: placement.ListDelta}
	change := func(node string) {
		c.log.Info("worker cordoned or uncordoned", "worker", node, "cordoned", out[node])
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
		c.UpdateWorkers(now, l)
	}
}

// PoolSize is how many nodes are listed, and how many of these are avoided by hand or by
// the module's choice.
func (c *Dispatcher) PoolSize() (listed, avoided int) {
	for node := range c.listed {
		if c.roster.out[node] || c.placer.Avoids(node) {
			avoided++
		}
	}
	return len(c.listed), avoided
}

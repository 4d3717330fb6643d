package dispatch

// This file owns which workers are out by hand or belong to another orchestrator, and how that
// goes together with what the channel lists. A worker that is out drains for this orchestrator,
// whatever the list says, until it is put back by hand; it must never be put back by a list.

import (
	"maps"
	"slices"

	"ravenhitch/placement"
)

// listFilter is what was listed last, and what is out by hand.
type listFilter struct {
	listed     map[string]placement.Entry // as the channel told it
	cordoned   map[string]bool
	uncordoned map[string]bool        // put back, and not ready since
	isAssigned func(node string) bool // places tasks there, nil: at all nodes
}

// updateWorkers takes a list and returns its entries as they hold here.
func (o *listFilter) list(l placement.WorkerList) []placement.Entry {
	if l.Kind == placement.ListFull || l.Kind == placement.ListCached {
		clear(o.listed)
	}
	entries := slices.Clone(l.Entries)
	for i, e := range entries {
		if o.listed[e.Worker] = e; e.State == placement.Removed {
			delete(o.listed, e.Worker)
		}
		entries[i] = o.adjust(e)
	}
	return entries
}

func (o *listFilter) adjust(e placement.Entry) placement.Entry {
	if o.cordoned[e.Worker] && e.State == placement.Ready {
		e.State = placement.Draining
	}
	if o.uncordoned[e.Worker] && e.State == placement.Ready {
		e.Uncordoned = true
		delete(o.uncordoned, e.Worker)
	}
	if e.State == placement.Ready && !o.assigned(e.Worker) {
		e.State = placement.Foreign
	}
	return e
}

// assigned reports whether this orchestrator places tasks at a node.
func (o *listFilter) assigned(node string) bool { return o.isAssigned == nil || o.isAssigned(node) }

// SetAssignedWorkers says at which nodes this orchestrator places tasks from now on; the others are left to other
// orchestrators. What stands there stays. own must answer alike until the next call.
func (c *Dispatcher) SetAssignedWorkers(now int64, own func(node string) bool) {
	o, before := &c.listFilter, c.listFilter.isAssigned
	o.isAssigned = own
	l := placement.WorkerList{Kind: placement.ListDelta}
	for _, node := range slices.Sorted(maps.Keys(o.listed)) {
		if (before == nil || before(node)) != o.assigned(node) {
			l.Entries = append(l.Entries, o.listed[node])
		}
	}
	if len(l.Entries) > 0 {
		c.UpdateWorkers(now, l)
	}
}

// HasWorker reports whether a node is listed, or out by hand.
func (c *Dispatcher) HasWorker(node string) bool {
	return c.listed[node] || c.listFilter.cordoned[node]
}

// SetCordoned takes nodes out and puts them back: out by hand is who is named, and nobody else.
func (c *Dispatcher) SetCordoned(now int64, out map[string]bool) {
	c.now = now
	o := &c.listFilter
	l := placement.WorkerList{Kind: placement.ListDelta}
	change := func(node string) {
		c.log.Info("worker cordoned or uncordoned", "worker", node, "cordoned", out[node])
		if e, ok := o.listed[node]; ok {
			l.Entries = append(l.Entries, e)
		}
	}
	for _, node := range slices.Sorted(maps.Keys(out)) {
		if out[node] && !o.cordoned[node] {
			o.cordoned[node] = true
			delete(o.uncordoned, node)
			change(node)
		}
	}
	for _, node := range slices.Sorted(maps.Keys(o.cordoned)) {
		if !out[node] {
			delete(o.cordoned, node)
			o.uncordoned[node] = true
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
		if c.listFilter.cordoned[node] || c.scheduler.Avoids(node) {
			avoided++
		}
	}
	return len(c.listed), avoided
}

package platform

// This file owns the partition of the workers among orchestrators, as this one has it: the shards
// that it places tasks in, and those that it wants and has not been told the workers' room of yet.
// A shard that is lost is given up at once; one that is won is used once the command channel has
// told it, so that no task is placed by a view that another orchestrator has outrun.

import "ravenhitch/internal/shard"

// partition is the part of one orchestrator.
type partition struct {
	held   shard.Set // where it places tasks
	wanted shard.Set // where it is to
	asked  shard.Set // that the call under way names
}

// want sets the shards that are to be held, and reports whether any was lost.
func (p *partition) want(wanted shard.Set) (lost bool) {
	p.wanted = wanted
	kept := p.held.And(wanted)
	lost = kept != p.held
	p.held = kept
	return lost
}

// ask is the part of a call that tells the command channel whose room is wanted, and whose is to
// be told anew.
func (p *partition) ask() string {
	if p == nil {
		return ""
	}
	p.asked = p.wanted
	text := "&shards=" + p.wanted.String()
	if won := p.wanted.Minus(p.held); !won.Empty() {
		text += "&fresh=" + won.String()
	}
	return text
}

// answered takes it that the call under way was answered, and reports whether shards were won.
func (p *partition) answered() (won bool) {
	if p == nil {
		return false
	}
	before := p.held
	p.held = p.held.Or(p.asked.And(p.wanted))
	return p.held != before
}

// Partition makes this orchestrator place tasks in its shards alone; the first ones are held from
// the start on, as what is known at the start tells all workers' room. It is called before Apply.
func (ch *Channel) Partition(first shard.Set) {
	ch.partition = &partition{held: first, wanted: first}
	ch.owned()
}

// Own changes the shards that this orchestrator is to place tasks in.
func (ch *Channel) Own(wanted shard.Set) {
	if ch.partition.want(wanted) {
		ch.owned()
	}
}

// owned tells the core and the connections to workers which shards are held.
func (ch *Channel) owned() {
	held := ch.partition.held
	ch.nodes.Own(held.HasWorker)
	ch.core.Own(ch.l.Now(), held.HasWorker)
	ch.log.log.Info("the workers of this orchestrator", "shards", held.Len(), "wanted", ch.partition.wanted.Len())
}

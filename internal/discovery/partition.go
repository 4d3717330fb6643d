package discovery

// This file owns the partition of the workers among orchestrators, as this one has it: the shards
// that it places tasks in, and those that it wants and has not been told the workers' room of yet.
// A shard that is lost is given up at once; one that is won is used once the command channel has
// told it, so that no task is placed by a view that another orchestrator has outrun.

import (
	"maps"
	"strings"

	"ravenhitch/internal/config"
	"ravenhitch/internal/shard"
	"ravenhitch/placement"
)

// Assignment says which shards of a zone this orchestrator is to place tasks in.
type Assignment func(zone string) shard.Bits

// partition is the part of one orchestrator.
type partition struct {
	owner  Assignment
	zones  map[string]string // of the workers that were listed
	held   shard.Set         // where it places tasks, by zone
	wanted shard.Set         // where it is to
	asked  shard.Set         // that the call under way names
}

func newPartition(owner Assignment) *partition {
	return &partition{owner: owner, zones: map[string]string{}, held: shard.Set{}, wanted: shard.Set{}}
}

// want changes the shards that are to be held, and reports whether any was lost.
func (p *partition) want(owner Assignment) (lost bool) {
	p.owner = owner
	wanted := shard.Set{}
	for zone := range p.wanted {
		wanted[zone] = owner(zone)
	}
	p.wanted = wanted
	kept := p.held.And(wanted)
	lost = !kept.Equal(p.held)
	p.held = kept
	return lost
}

// listed notes the zones of workers, of those alone where the list is whole. Those of a zone that was
// not named are told to everybody, so the shards of a new zone are held at once; it reports whether
// there is one.
func (p *partition) listed(members []config.Member, whole bool) (found bool) {
	if whole {
		clear(p.zones)
	}
	for _, m := range members {
		if m.State == placement.Removed {
			delete(p.zones, m.Worker)
			continue
		}
		p.zones[m.Worker] = m.Zone
		if _, there := p.wanted[m.Zone]; there {
			continue
		}
		if !found {
			p.wanted, p.held = maps.Clone(p.wanted), maps.Clone(p.held)
		}
		found = true
		p.wanted[m.Zone] = p.owner(m.Zone)
		p.held[m.Zone] = p.wanted[m.Zone]
	}
	return found
}

// lateRoomMs is how long a call may wait where the workers are divided: nobody else places tasks at
// those of this orchestrator, so that their room changes by what it does itself, and news of nothing
// but that may come together.
const lateRoomMs = 4000

// block is how long a call may wait for news, in milliseconds.
func (p *partition) block() int64 {
	if p == nil {
		return blockMs
	}
	return lateRoomMs
}

// ask is the part of a call that tells the command channel whose room is wanted, and whose is to
// be told anew.
func (p *partition) ask() string {
	if p == nil {
		return ""
	}
	p.asked = p.wanted
	text := "&room=late&shards=" + inQuery(p.wanted)
	if won := p.wanted.Minus(p.held); won.Len() > 0 {
		text += "&fresh=" + inQuery(won)
	}
	return text
}

// wins reports whether shards are wanted that were not asked for yet.
func (p *partition) wins() bool { return p.wanted.Minus(p.held).Minus(p.asked).Len() > 0 }

// inQuery is a set as the value in a URL's query: all its characters may stand there but one.
func inQuery(s shard.Set) string { return strings.ReplaceAll(s.String(), "%", "%25") }

// answered takes it that the call under way was answered, and reports whether shards were won.
func (p *partition) answered() (won bool) {
	if p == nil {
		return false
	}
	held := p.held.Or(p.asked.And(p.wanted))
	won = !held.Equal(p.held)
	p.held = held
	return won
}

// EnablePartition makes this orchestrator place tasks in its shards alone. It is called before Apply.
func (ch *Follower) EnablePartition(owner Assignment) {
	ch.partition = newPartition(owner)
	ch.owned()
}

// SetAssignment changes the shards that this orchestrator is to place tasks in.
func (ch *Follower) SetAssignment(owner Assignment) {
	if ch.partition.want(owner) {
		ch.owned()
	}
	if ch.c != nil && ch.partition.wins() {
		ch.startIn(0) // the call under way may wait for long, and does not name what was won
	}
}

// listed notes the zones of workers, where these are divided.
func (ch *Follower) listed(members []config.Member, whole bool) {
	if ch.partition != nil && ch.partition.listed(members, whole) {
		ch.owned()
	}
}

// owned tells the core and the connections to workers which shards are held.
func (ch *Follower) owned() {
	held, zones := ch.partition.held, ch.partition.zones
	own := func(worker string) bool { return held.Has(zones[worker], worker) }
	ch.nodes.SetAssigned(own)
	ch.core.SetAssignedWorkers(ch.l.Now(), own)
	ch.log.Info("shard assignment", "shards", held.Len(), "wanted", ch.partition.wanted.Len())
}

package membership

// This file owns the simulated cluster: tables joined by a simulated network, on one clock, with timers that
// are a little late. What the network does is in sim_network_test.go, what faults do in sim_faults_test.go,
// and what must hold of the members in sim_invariants_test.go.

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
)

// maxTimerDelay is by how much any timer may be late.
const maxTimerDelay = 1 * millisecond

// maxSlowDelay is by how much the turns of a slow member may be late.
const maxSlowDelay = 400 * millisecond

// simMember is a member of the simulated cluster: a table, and the process that it runs in.
type simMember struct {
	*Table
	sharedName        string // its name, where it has that of another
	up, left          bool
	hostDown          bool // it went down without its host refusing connections
	pausedUntil       int64
	starts            uint64
	diedAt            int64
	savedIncarnation  uint64 // the one that its folder holds
	deathAllowedUntil int64  // until when it may rightly be declared dead
	nextTickAt        int64
	ticks             int
	eventCounts       map[EventKind]int
}

// simEvent is what happens at a time; of two at the same time the one that was scheduled first comes first.
type simEvent struct {
	at, order int64
	run       func()
}

// eventQueue implements heap.Interface.
type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// cluster is the simulated cluster, and what it showed.
type cluster struct {
	rng             *rand.Rand
	now, eventCount int64
	queue           eventQueue
	members         []*simMember
	indexByAddr     map[string]int
	zones           int
	faults          []fault
	delay           int64 // of a datagram, on average
	bytes           int64 // sent so far

	violations        []string           // of the invariants
	detectionTimes    map[string][]int64 // from a death to its detection, by kind of death
	oneWayFound       map[int]bool       // one-way faults that either end found, by index
	deathDeclarations map[[2]uint64]int  // by member and start
	// transcript is written whatever the members send, ask for and report; nil where nobody reads it.
	transcript io.Writer
}

func newCluster(size int, seed uint64, faults []fault) *cluster {
	c := &cluster{
		rng:               rand.New(rand.NewPCG(seed, 3)),
		indexByAddr:       map[string]int{},
		zones:             max(1, min(4, size/3)),
		faults:            faults,
		delay:             1 * millisecond,
		oneWayFound:       map[int]bool{},
		deathDeclarations: map[[2]uint64]int{},
		detectionTimes:    map[string][]int64{},
	}
	for i := range size {
		c.members = append(c.members, &simMember{})
		c.indexByAddr[memberAddr(i)] = i
	}
	for i := range size {
		c.start(i)
	}
	for _, f := range faults {
		c.schedule(f.start, func() { c.startFault(f) })
	}
	return c
}

func memberName(i int) string { return fmt.Sprintf("n%d", i) }
func memberAddr(i int) string { return fmt.Sprintf("127.0.0.1:%d", 7000+i) }

func (c *cluster) zone(i int) int { return i % c.zones }

// schedule has something happen at a time.
func (c *cluster) schedule(at int64, run func()) {
	c.eventCount++
	heap.Push(&c.queue, simEvent{at, c.eventCount, run})
}

// run lets time pass until a time.
func (c *cluster) run(until int64) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(simEvent)
		c.now = e.at
		e.run()
	}
	c.now = until
}

// startIntruder starts a further process under the name of another.
func (c *cluster) startIntruder(of int) *simMember {
	i := len(c.members)
	c.members = append(c.members, &simMember{sharedName: memberName(of)})
	c.indexByAddr[memberAddr(i)] = i
	c.start(i)
	return c.members[i]
}

// start starts the process of a member.
func (c *cluster) start(i int) {
	process := c.members[i]
	process.starts++
	var peers []Peer
	for fifth := range min(len(c.members), 5) {
		peer := (fifth * len(c.members) / 5) % len(c.members)
		peers = append(peers, Peer{memberName(peer), memberAddr(peer)})
	}
	name := memberName(i)
	if process.sharedName != "" {
		name = process.sharedName
	}
	process.Table = New(c.now, Config{
		Self: Update{Name: name, Zone: fmt.Sprint("zone-", c.zone(i)), Addr: memberAddr(i),
			Nonce: c.rng.Uint64(), Incarnation: process.savedIncarnation + 1},
		Peers: peers,
		Seed:  c.rng.Uint64(),
	})
	process.up, process.left, process.hostDown, process.pausedUntil = true, false, false, 0
	process.nextTickAt = 0
	c.tickMemberAt(i, c.now+c.rng.Int64N(tickInterval))
}

// scheduleTick has a member's table called when it wants to be, unless that is due sooner already.
func (c *cluster) scheduleTick(i int) {
	process := c.members[i]
	at := max(process.NextTick(), c.now+1) + c.rng.Int64N(maxTimerDelay) + c.slowDelay(i)
	if process.nextTickAt <= c.now || at < process.nextTickAt {
		c.tickMemberAt(i, at)
	}
}

// tickMemberAt calls a member's table at a time, if no other time is set until then.
func (c *cluster) tickMemberAt(i int, at int64) {
	process, start := c.members[i], c.members[i].starts
	process.nextTickAt = at
	c.schedule(at, func() {
		switch {
		case !process.up || process.starts != start || process.nextTickAt != at:
		case process.pausedUntil > c.now:
			c.tickMemberAt(i, process.pausedUntil+1)
		default:
			process.ticks++
			c.perform(i, process.Tick(c.now))
			c.checkEvents(i)
		}
	})
}

// slowDelay is what a slow member adds to each of its turns.
func (c *cluster) slowDelay(i int) int64 {
	for _, f := range c.active(faultSlow) {
		if f.target == i {
			return c.rng.Int64N(maxSlowDelay)
		}
	}
	return 0
}

// record writes to the transcript what a member wants done or reports.
func (c *cluster) record(i int, what any) {
	if c.transcript != nil {
		_, _ = fmt.Fprintf(c.transcript, "%d %d %v\n", c.now, i, what) // a digest takes all
	}
}

package membership

// This file implements the simulated cluster: tables connected by a simulated network, with one clock and timers that
// are slightly late. The network is in sim_network_test.go, the faults are in sim_faults_test.go, and the invariants of
// the members are in sim_invariants_test.go.

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
)

// maxTimerDelay is the upper bound of the delay of a timer, in microseconds.
const maxTimerDelay = 1 * millisecond

// maxSlowDelay is the upper bound of the additional delay of a timer, a datagram or a handshake at a slow member, in
// microseconds.
const maxSlowDelay = 400 * millisecond

// simMember is a member of the simulated cluster: its table and the state of its process. Times are in microseconds.
type simMember struct {
	*Table
	sharedName        string // name that this member shares with another member, or ""
	up, left          bool   // whether the process runs; whether it ended after leaving intentionally
	hostDown          bool   // whether the host is down, so that it does not refuse connections
	pausedUntil       int64
	starts            uint64 // number of starts of the process
	diedAt            int64  // time of the last kill or vanish fault
	savedIncarnation  uint64 // incarnation that is stored across restarts
	deathAllowedUntil int64  // time until which others may declare the running process dead
	nextTickAt        int64
	ticks             int // number of calls of Tick
	eventCounts       map[EventKind]int
}

// simEvent is a scheduled event. Of two events at the same time, the one that was scheduled first runs first.
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

// cluster is the simulated cluster and the results of its run. Times are in microseconds.
type cluster struct {
	rng             *rand.Rand
	now, eventCount int64
	queue           eventQueue
	members         []*simMember
	indexByAddr     map[string]int
	zones           int
	faults          []fault
	delay           int64 // average delay of a datagram
	bytes           int64 // number of bytes sent so far

	violations        []string           // violations of the invariants
	detectionTimes    map[string][]int64 // times from a death to the first declaration of it, by kind of death
	oneWayFound       map[int]bool       // one-way faults that a member at either end reported, by index in faults
	deathDeclarations map[[2]uint64]int  // number of declarations of a death, by index and start number of the member
	// transcript receives all actions and events of the members; nil disables it.
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

// schedule adds an event that runs at the given time.
func (c *cluster) schedule(at int64, run func()) {
	c.eventCount++
	heap.Push(&c.queue, simEvent{at, c.eventCount, run})
}

// run runs all events up to the given time and advances the clock to it.
func (c *cluster) run(until int64) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(simEvent)
		c.now = e.at
		e.run()
	}
	c.now = until
}

// startIntruder adds a member whose process uses the name of another member, and starts it.
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

// scheduleTick schedules the next call of a member's Tick at the time that the table requests plus a random timer
// delay, unless an earlier call is scheduled already.
func (c *cluster) scheduleTick(i int) {
	process := c.members[i]
	at := max(process.NextTick(), c.now+1) + c.rng.Int64N(maxTimerDelay) + c.slowDelay(i)
	if process.nextTickAt <= c.now || at < process.nextTickAt {
		c.tickMemberAt(i, at)
	}
}

// tickMemberAt schedules a call of a member's Tick. The call does not run if the process has ended or restarted by
// then, or if another call replaced it.
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

// slowDelay draws the additional delay of a timer, a datagram or a handshake at a member, 0 if the member is not slow.
func (c *cluster) slowDelay(i int) int64 {
	for _, f := range c.active(faultSlow) {
		if f.target == i {
			return c.rng.Int64N(maxSlowDelay)
		}
	}
	return 0
}

// record writes an action or an event of a member to the transcript.
func (c *cluster) record(i int, what any) {
	if c.transcript != nil {
		_, _ = fmt.Fprintf(c.transcript, "%d %d %v\n", c.now, i, what) // the transcript is a hash, which never fails
	}
}

package membership

// This file implements the simulated network: it determines which datagrams and connections pass, and when they arrive.

import (
	"fmt"
	"math"
	"slices"
)

const (
	// simHandshakeTimeout is the time after which a handshake without an answer times out, in microseconds.
	simHandshakeTimeout = 300 * millisecond
	// duplicateOdds is the inverse of the probability that a datagram arrives twice.
	duplicateOdds = 100
	// handshakePackets is the number of packets of a handshake.
	handshakePackets = 4
	// flapPeriod is the time after which a flapping path changes between failing and working, in microseconds.
	flapPeriod = 700 * millisecond
	// partitionWindow is the time, in microseconds, for which two members must have been connected so that they do
	// not count as partitioned.
	partitionWindow = 6 * second
	// partitionCheckInterval is the interval between the checks in the partition window, in microseconds.
	partitionCheckInterval = 500 * millisecond
)

// perform carries out the actions of a member's table and schedules the member's next call of Tick.
func (c *cluster) perform(i int, actions []Action) {
	for _, action := range actions {
		c.record(i, action)
		switch action := action.(type) {
		case Send:
			c.send(i, action)
		case HandshakeProbe:
			c.handshake(i, action)
		}
	}
	c.scheduleTick(i)
}

// send sends a datagram, which may be lost or arrive twice.
func (c *cluster) send(from int, s Send) {
	to, ok := c.indexByAddr[s.Addr]
	if !ok {
		return
	}
	size := s.Message.Size()
	c.bytes += int64(size)
	if size > MaxDatagramSize {
		c.violations = append(c.violations, fmt.Sprintf("%s sent a datagram of %d bytes, want at most %d",
			memberName(from), size, MaxDatagramSize))
	}
	copies := 1
	if !c.datagramPasses(from, to) {
		copies = 0
	} else if c.rng.IntN(duplicateOdds) == 0 {
		copies = 2
	}
	for range copies {
		m := s.Message
		c.schedule(c.now+c.delay/2+c.rng.Int64N(c.delay), func() { c.deliver(to, &m) })
	}
}

// deliver passes a datagram to a running member. For a paused member it waits for the end of the pause, and for a slow
// member it adds a delay.
func (c *cluster) deliver(to int, m *Message) {
	process := c.members[to]
	if !process.up {
		return
	}
	if process.pausedUntil > c.now { // the datagram waits in the socket buffer
		c.schedule(process.pausedUntil, func() { c.deliver(to, m) })
		return
	}
	if late := c.slowDelay(to); late > 0 {
		c.schedule(c.now+late, func() {
			if process.up {
				c.perform(to, process.Receive(c.now, m))
			}
		})
		return
	}
	c.perform(to, process.Receive(c.now, m))
	c.checkEvents(to)
}

// handshake simulates a handshake probe and schedules its result.
func (c *cluster) handshake(from int, h HandshakeProbe) {
	to := c.indexByAddr[h.Addr]
	prober, start, target := c.members[from], c.members[from].starts, c.members[to]
	end := func(after int64, result HandshakeResult, nonce uint64) {
		c.schedule(c.now+after, func() {
			if prober.up && prober.starts == start && prober.pausedUntil <= c.now {
				c.perform(from, prober.HandshakeProbeDone(c.now, h.Name, nonce, result))
			}
		})
	}
	refused := slices.ContainsFunc(c.active(faultRefuse), func(f fault) bool { return f.target == from && f.other == to })
	switch {
	case refused:
		end(c.delay, HandshakeRefused, 0)
	case !c.handshakePasses(from, to): // a packet is lost, and its retransmission arrives too late
		end(simHandshakeTimeout, HandshakeTimedOut, 0)
	case !c.pathOpen(from, to, c.now, true) || !c.pathOpen(to, from, c.now, true) ||
		target.hostDown || target.up && target.pausedUntil > c.now:
		end(simHandshakeTimeout, HandshakeTimedOut, 0)
	case !target.up:
		end(c.delay, HandshakeRefused, 0)
	default:
		end(2*c.delay+c.slowDelay(to), HandshakeAnswered, target.Self.Nonce)
	}
}

// datagramPasses draws whether a datagram from one member to another arrives.
func (c *cluster) datagramPasses(from, to int) bool {
	for _, f := range c.active(faultLoss) {
		if (f.target < 0 || f.target == from || f.target == to) && c.rng.Float64() < f.probability {
			return false
		}
	}
	return c.pathOpen(from, to, c.now, true)
}

// handshakePasses draws whether all packets of a handshake arrive in time despite random loss. A loss probability of 1
// simulates a firewall that drops datagrams and lets connections pass.
func (c *cluster) handshakePasses(from, to int) bool {
	for _, f := range c.active(faultLoss) {
		concerned := f.target < 0 || f.target == from || f.target == to
		if f.probability < 1 && concerned && c.rng.Float64() > math.Pow(1-f.probability, handshakePackets) {
			return false
		}
	}
	return true
}

// pathOpen reports whether the direct path from one member to another works at the given time, apart from random
// loss. If flaps is false, flapping paths count as working.
func (c *cluster) pathOpen(from, to int, at int64, flaps bool) bool {
	for _, f := range c.faults {
		if f.start <= at && at < f.end && c.closesPath(f, from, to, at, flaps) {
			return false
		}
	}
	return true
}

// closesPath reports whether a fault blocks the path from one member to another at the given time. The caller
// ensures that the fault is active at that time.
func (c *cluster) closesPath(f fault, from, to int, at int64, flaps bool) bool {
	switch f.kind {
	case faultOneWay, faultRefuse:
		return f.target == from && f.other == to
	case faultFlap:
		return flaps && (f.target == from || f.target == to) && (at-f.start)/flapPeriod%2 == 0
	case faultCut: // blocks the paths into and out of the zone, except those of the member f.other if it is set
		crosses := (c.zone(from) == f.target) != (c.zone(to) == f.target)
		bridged := f.other >= 0 && (from == f.other || to == f.other)
		return crosses && !bridged
	}
	return false
}

// partitioned reports whether two members were disconnected (see connected) at one or more of the checked times. These
// times are at intervals of partitionCheckInterval, from partitionWindow ago until now.
func (c *cluster) partitioned(from, to int) bool {
	for at := c.now; at > c.now-partitionWindow; at -= partitionCheckInterval {
		if !c.connected(from, to, at) {
			return true
		}
	}
	return false
}

// connected reports whether two members were connected at the given time, either directly or through other members.
// Each path on the way must have worked in both directions; flapping paths count as working. A member on the way counts
// only if it is running now, and if at the given time it was not paused and its deathAllowedUntil had passed.
func (c *cluster) connected(from, to int, at int64) bool {
	seen, queue := map[int]bool{from: true}, []int{from}
	for len(queue) > 0 && !seen[to] {
		reached := queue[0]
		queue = queue[1:]
		for neighbour, process := range c.members {
			running := neighbour == to || process.deathAllowedUntil < at && process.pausedUntil <= at
			if !seen[neighbour] && process.up && running &&
				c.pathOpen(reached, neighbour, at, false) && c.pathOpen(neighbour, reached, at, false) {
				seen[neighbour] = true
				queue = append(queue, neighbour)
			}
		}
	}
	return seen[to]
}

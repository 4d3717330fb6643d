package membership

// This file owns the simulated network: which datagrams and connections pass, and when they arrive.

import (
	"fmt"
	"math"
	"slices"
)

const (
	// simHandshakeTimeout is after how long a handshake without an answer is over.
	simHandshakeTimeout = 300 * millisecond
	// duplicateOdds is one in how many datagrams arrives twice.
	duplicateOdds = 100
	// handshakePackets is how many packets a handshake takes.
	handshakePackets = 4
	// flapPeriod is how long a flapping path works, and then does not.
	flapPeriod = 700 * millisecond
	// partitionWindow is for how long a path must have existed for members not to count as partitioned, and
	// partitionCheckEvery at which distance in time that is looked at.
	partitionWindow        = 6 * second
	partitionCheckInterval = 500 * millisecond
)

// perform does what a member's table wants done.
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

// send sends a datagram: it may be lost, or arrive twice.
func (c *cluster) send(from int, s Send) {
	to, ok := c.indexByAddr[s.Addr]
	if !ok {
		return
	}
	size := s.Message.Size()
	c.bytes += int64(size)
	if size > MaxDatagramSize {
		c.violations = append(c.violations, fmt.Sprintf("a datagram of %d bytes", size))
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

// deliver hands a datagram to a member.
func (c *cluster) deliver(to int, m *Message) {
	process := c.members[to]
	if !process.up {
		return
	}
	if process.pausedUntil > c.now { // it waits in the system's buffer
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

// handshake carries out a handshake probe.
func (c *cluster) handshake(from int, h HandshakeProbe) {
	to := c.indexByAddr[h.Addr]
	prober, start, target := c.members[from], c.members[from].starts, c.members[to]
	end := func(after int64, result HandshakeResult, nonce uint64) {
		c.schedule(c.now+after, func() {
			if prober.up && prober.starts == start && prober.pausedUntil <= c.now {
				c.perform(from, prober.HandshakeProbed(c.now, h.Name, nonce, result))
			}
		})
	}
	refused := slices.ContainsFunc(c.active(faultRefuse), func(f fault) bool { return f.target == from && f.other == to })
	switch {
	case refused:
		end(c.delay, HandshakeRefused, 0)
	case !c.handshakePasses(from, to): // a packet is lost, and comes again too late
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

// datagramPasses says whether a datagram gets from one member to another.
func (c *cluster) datagramPasses(from, to int) bool {
	for _, f := range c.active(faultLoss) {
		if (f.target < 0 || f.target == from || f.target == to) && c.rng.Float64() < f.probability {
			return false
		}
	}
	return c.pathOpen(from, to, c.now, true)
}

// handshakePasses says whether the packets of a handshake get through in time, as far as loss goes. A loss of
// all datagrams is a firewall's, which lets connections pass.
func (c *cluster) handshakePasses(from, to int) bool {
	for _, f := range c.active(faultLoss) {
		concerned := f.target < 0 || f.target == from || f.target == to
		if f.probability < 1 && concerned && c.rng.Float64() > math.Pow(1-f.probability, handshakePackets) {
			return false
		}
	}
	return true
}

// pathOpen says whether the direct path from one member to another works at a time, as far as chance does not
// decide it. Flapping paths count as open where flaps is false.
func (c *cluster) pathOpen(from, to int, at int64, flaps bool) bool {
	for _, f := range c.faults {
		if f.start <= at && at < f.end && c.closesPath(f, from, to, at, flaps) {
			return false
		}
	}
	return true
}

// closesPath says whether a fault closes the path from one member to another at a time within it.
func (c *cluster) closesPath(f fault, from, to int, at int64, flaps bool) bool {
	switch f.kind {
	case faultOneWay, faultRefuse:
		return f.target == from && f.other == to
	case faultFlap:
		return flaps && (f.target == from || f.target == to) && (at-f.start)/flapPeriod%2 == 0
	case faultCut: // a zone, but for the paths to and from one member that still work
		crosses := (c.zone(from) == f.target) != (c.zone(to) == f.target)
		bridged := f.other >= 0 && (from == f.other || to == f.other)
		return crosses && !bridged
	}
	return false
}

// partitioned says whether at any time of late no path led from one member to another and back, by whatever
// members that ran.
func (c *cluster) partitioned(from, to int) bool {
	for at := c.now; at > c.now-partitionWindow; at -= partitionCheckInterval {
		if !c.connected(from, to, at) {
			return true
		}
	}
	return false
}

// connected says whether a path led from one member to another at a time.
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

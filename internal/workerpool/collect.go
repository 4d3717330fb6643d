package workerpool

// This file owns the collection of the completions that workers keep for an earlier process of this orchestrator. The end of a
// task that comes while no process runs is reported on the next connection that is opened to its worker. If there are more
// workers than descriptors, the connections that offers and running tasks need do not reach all of them, so that each worker is
// connected once, a few at a time. A collection must never end a connection that anything needs, nor take descriptors from
// clients, and never starts unless there was an earlier process (see Dispatcher.InheritsTasks).

import "ravenhitch/internal/eventloop"

const (
	// collectInterval is the time between two steps of a collection.
	collectInterval = 10 * millisecond
	// maxStepSize is the maximum number of workers that a step of a collection dials or pings. It bounds the length of a turn,
	// and what a collection takes from the processor and from workers that other orchestrators connect to at the same time.
	maxStepSize = 16
	// maxOpenCollectors is the maximum number of workers whose answers a collection awaits at a time.
	maxOpenCollectors = 64
	// collectorTimeout is the time for which a collection awaits the answer of one worker before it goes on without it. The
	// connection stays open for the answer as long as no other connection needs its descriptor.
	collectorTimeout = lateCompletionConnLifetime
)

// collection is the state of the pool with regard to the completions that workers keep for an earlier process.
type collection struct {
	active    bool
	startedAt int64
	complete  bool          // each worker has been connected, and it was logged
	waiting   []*link       // links without a connection that are to be connected in this round
	unpinged  []*workerConn // idle connections that were up before the round and may give up their descriptors once answered
	closable  []*workerConn // connections whose workers have answered
	late      []*workerConn // connections whose workers have not answered within collectorTimeout, oldest first
	open      int           // number of connections whose answers are awaited
	dialled   int           // number of connections dialled since the start of the collection
	// exceedsDescriptors is true if workers were left without a connection.
	exceedsDescriptors bool
	timer              *eventloop.Timer
}

// collectorState is what a collection knows about one connection. The zero value is a connection that it does not use.
type collectorState struct {
	awaiting bool             // the connection counts in collection.open
	pingTag  string           // tag of the ping that was sent, "" for none
	timer    *eventloop.Timer // ends the wait for the answer
}

// isAnswer reports whether pingTag is the tag of the ping that was sent for the collection.
func (s *collectorState) isAnswer(pingTag string) bool {
	return s.pingTag != "" && pingTag == s.pingTag
}

// sweepCollection starts a collection if one is needed, begins its next round, and ends it once the time for it is over.
func (p *Pool) sweepCollection() {
	c := &p.collection
	needed := !p.retired && p.dispatcher.InheritsTasks(p.loop.Now())
	switch {
	case needed && !c.active:
		c.active, c.startedAt = true, p.loop.Now()
		p.log.Info("collecting completions for an earlier process", "workers", len(p.links), "unconnected", p.countUncollected())
	case !needed && c.active:
		p.endCollection()
	}
	if c.active {
		p.logCompleteCollection()
		p.beginCollectionRound()
		p.collect()
	}
}

// logCompleteCollection logs once that each worker has been connected and has answered, or hangs.
func (p *Pool) logCompleteCollection() {
	c := &p.collection
	if c.complete || c.open > 0 || p.countUncollected() > 0 {
		return
	}
	c.complete = true
	p.log.Info("completions for an earlier process collected", "workers", len(p.links), "dialled", c.dialled,
		"unanswered", len(c.late), "age_us", p.loop.Now()-c.startedAt)
}

// beginCollectionRound lists the workers that are still to be connected, and the idle connections that may make room for them.
// The order differs between orchestrators, so that those that start at the same time connect to different workers.
func (p *Pool) beginCollectionRound() {
	c := &p.collection
	c.waiting, c.unpinged = c.waiting[:0], c.unpinged[:0]
	for _, l := range p.linksByID() {
		switch {
		case l.collected:
		case l.needsDial() && !p.dispatcher.HasTasksOn(l.workerID):
			c.waiting = append(c.waiting, l)
		case l.isSpare() && l.conns[0].collector.pingTag == "":
			c.unpinged = append(c.unpinged, l.conns[0])
		}
	}
	p.random.Shuffle(len(c.waiting), func(i, j int) { c.waiting[i], c.waiting[j] = c.waiting[j], c.waiting[i] })
	c.exceedsDescriptors = c.exceedsDescriptors || len(c.waiting) > 0
	p.budget.ReserveForCollection(len(c.waiting) > 0)
}

// collect is one step of a collection. It connects to the next workers while descriptors are free or can be freed. If there are
// more workers than descriptors, it also pings those that were connected before, since their connections may have to be closed.
func (p *Pool) collect() {
	c := &p.collection
	c.timer.Stop()
	for range maxStepSize {
		if c.open >= maxOpenCollectors || !p.dialNext() && !c.pingNext() {
			break
		}
	}
	if len(c.waiting) > 0 || c.hasPingsLeft() {
		c.timer = p.loop.After(collectInterval, p.collect)
	}
}

// dialNext connects to the next worker, and reports whether there was one and a descriptor for it.
func (p *Pool) dialNext() bool {
	c := &p.collection
	l := c.next()
	if l == nil || !p.ensureCollectorDescriptor() {
		return false
	}
	c.waiting = c.waiting[1:]
	c.dialled++
	if conn := l.dial(); conn != nil {
		conn.awaitAnswer()
	}
	return true
}

// hasPingsLeft reports whether workers that were connected before are still to be pinged.
func (c *collection) hasPingsLeft() bool { return c.exceedsDescriptors && len(c.unpinged) > 0 }

// next returns the next link to connect, or nil. It drops those that were connected or unlisted since the round began.
func (c *collection) next() *link {
	for len(c.waiting) > 0 {
		l := c.waiting[0]
		if l.needsDial() && l.pool.links[l.workerID] == l {
			return l
		}
		c.waiting = c.waiting[1:]
	}
	return nil
}

// pingNext sends a ping on the next idle connection that was up before the round, and reports whether there was one.
func (c *collection) pingNext() bool {
	for c.hasPingsLeft() {
		conn := c.unpinged[0]
		c.unpinged = c.unpinged[1:]
		if conn.link.isSpare() {
			conn.awaitAnswer()
			conn.requestAnswer()
			return true
		}
	}
	return false
}

// ensureCollectorDescriptor reports whether a descriptor is available for a connection of the collection. It first looks for a
// free one, then closes a spare connection whose worker has answered, and then one whose worker has not answered in time.
func (p *Pool) ensureCollectorDescriptor() bool {
	c := &p.collection
	return p.budget.AdmitsWorker() || closeSpare(&c.closable) || p.budget.AdmitsCollector() || closeSpare(&c.late)
}

// closeSpare closes the first connection of a list that is still spare, and reports whether there was one.
func closeSpare(conns *[]*workerConn) bool {
	for len(*conns) > 0 {
		c := (*conns)[0]
		*conns = (*conns)[1:]
		if c.link.isSpare() && c.link.conns[0] == c {
			c.close(errIdle)
			return true
		}
	}
	return false
}

// isSpare reports whether the link has one connection, and nothing needs it.
func (l *link) isSpare() bool {
	return len(l.conns) == 1 && l.conns[0].isIdle() && !l.pool.dispatcher.HasTasksOn(l.workerID)
}

// awaitsCollection reports whether the worker may still keep completions for an earlier process.
func (l *link) awaitsCollection() bool { return l.pool.collection.active && !l.collected }

// awaitAnswer counts the connection as one whose worker's answer is awaited.
func (c *workerConn) awaitAnswer() {
	c.collector.awaiting = true
	c.link.pool.collection.open++
}

// stopAwaiting ends the wait for the worker's answer.
func (c *workerConn) stopAwaiting() {
	c.collector.timer.Stop()
	if collection := &c.link.pool.collection; c.collector.awaiting && collection.active {
		collection.open--
	}
	c.collector.awaiting = false
}

// requestAnswer makes the worker answer on a connection that is up. Its answer follows the completions that it kept, which it
// sends when the connection is opened. If the deployment does not allow pings, the worker is given collectorTimeout instead.
func (c *workerConn) requestAnswer() {
	pool := c.link.pool
	if pool.pingsAllowed {
		c.collector.pingTag = pool.nextPingTag()
		c.ping(c.collector.pingTag)
		c.conn.Flush()
	}
	c.collector.timer = pool.loop.After(collectorTimeout, c.collectorTimedOut)
}

// collectorTimedOut handles a worker that has not answered in time. Without pings, the time itself is the answer.
func (c *workerConn) collectorTimedOut() {
	pool := c.link.pool
	if !pool.pingsAllowed {
		c.answered()
		return
	}
	c.stopAwaiting()
	pool.collection.late = append(pool.collection.late, c)
}

// answered records that the worker has sent on this connection what it kept for an earlier process.
func (c *workerConn) answered() {
	pool := c.link.pool
	c.link.collected = true
	c.stopAwaiting()
	pool.collection.closable = append(pool.collection.closable, c)
}

// endCollection ends the collection and logs what it reached.
func (p *Pool) endCollection() {
	c := &p.collection
	c.timer.Stop()
	p.budget.ReserveForCollection(false)
	p.log.Info("collection of completions for an earlier process ended", "workers", len(p.links), "dialled", c.dialled,
		"unconnected", p.countUncollected(), "age_us", p.loop.Now()-c.startedAt)
	*c = collection{}
}

// countUncollected returns the number of listed workers without a connection that may still keep completions.
func (p *Pool) countUncollected() (count int) {
	for _, l := range p.links {
		if l.listed && !l.collected && len(l.conns) == 0 {
			count++
		}
	}
	return count
}

package workerpool

// This file owns probes: the pings with which the dispatcher checks a worker, and the load reports in the
// answers. It must never report the result of a probe more than once.

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"ravenhitch/placement"
)

// Probe implements dispatch.WorkerPool.
func (p *Pool) Probe(worker string) {
	var c *workerConn
	if l := p.links[worker]; l != nil {
		c = l.connForSending(anyConnection)
	}
	if c == nil {
		p.reportLater(func() {
			result := placement.ProbeResult{Worker: worker, Outcome: placement.ConnectFailed}
			p.dispatcher.ProbeAnswered(p.loop.Now(), result)
		})
		return
	}
	pingTag := p.nextPingTag()
	c.probes[pingTag] = p.loop.Now()
	c.ping(pingTag)
	p.loop.After(p.dialTimeoutUs, func() { c.endProbe(pingTag, placement.TimedOut, "") })
}

// endProbe reports the outcome of a probe if the probe is still open. load is the load report in the worker's answer.
func (c *workerConn) endProbe(pingTag string, outcome placement.Outcome, load string) {
	sentAt, ok := c.probes[pingTag]
	if !ok {
		return
	}
	delete(c.probes, pingTag)
	pool := c.link.pool
	now := pool.loop.Now()
	pool.dispatcher.ProbeAnswered(now, placement.ProbeResult{
		Worker:  c.link.workerID,
		Outcome: outcome,
		RTTUs:   now - sentAt,
		Load:    parseLoad(load),
	})
}

// failProbes reports ConnectFailed for the probes that are open on a connection that ended.
func (c *workerConn) failProbes() {
	for _, pingTag := range slices.Sorted(maps.Keys(c.probes)) {
		c.endProbe(pingTag, placement.ConnectFailed, "")
	}
}

// parseLoad parses a load report, which consists of name:number pairs separated by semicolons or commas. A value that
// is absent or not a number is NaN.
func parseLoad(text string) placement.Load {
	nan := math.NaN()
	load := placement.Load{FreeCores: nan, FreeMemory: nan, Utilization: nan, Queued: nan}
	for _, pair := range strings.FieldsFunc(text, isLoadSeparator) {
		name, number, _ := strings.Cut(pair, ":")
		value, err := strconv.ParseFloat(number, 64)
		if err != nil {
			continue
		}
		switch name {
		case "x0":
			load.FreeCores = value
		case "x1":
			load.FreeMemory = value
		case "util", "utilization":
			load.Utilization = value
		case "queue", "backlog":
			load.Queued = value
		}
	}
	return load
}

func isLoadSeparator(r rune) bool { return r == ';' || r == ',' }

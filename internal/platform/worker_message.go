package platform

// This file turns what workers send into outcomes for the core.

import (
	"math"
	"strconv"
	"strings"

	"ravenhitch"
)

var noteKinds = map[string]ravenhitch.NoteKind{"up": ravenhitch.NoteRuns, "cpu": ravenhitch.NoteCores,
	"mem": ravenhitch.NoteMemory, "share": ravenhitch.NoteService, "tight": ravenhitch.NotePressure}

var whys = map[string]ravenhitch.Why{"cpu_full": ravenhitch.WhyCores, "mem_full": ravenhitch.WhyMemory,
	"busy": ravenhitch.WhyQueue, "wrong_host": ravenhitch.WhyNotHere, "oom": ravenhitch.WhyEvicted,
	"preempted": ravenhitch.WhyPushedOut, "drained": ravenhitch.WhySentAway}

var statuses = map[int]ravenhitch.Status{causeGivenUp: ravenhitch.OK, causeCancelled: ravenhitch.Cancelled,
	causeFull: ravenhitch.Full, causeError: ravenhitch.Failed, causeMoot: ravenhitch.Moot}

func (nc *workerConn) message(m *Message) {
	n, id, now := nc.k.n, nc.k.id, nc.k.n.l.Now()
	switch m.Verb {
	case verbStarted:
		if s := nc.open[m.Tag]; s != nil && s.end > 0 {
			nc.settled(s)
			n.core.NodeStarted(now, id, m.Tag, m.Blob)
			nc.k.prune()
		}
	case verbFinish:
		st, ok := statuses[m.RC]
		if !ok {
			st = ravenhitch.Reset
		}
		// An offer is answered on its own connection. Anything else is the end of a task
		// that stands, or a copy or a foreign answer, which must end no attempt. That it never
		// ran is no end of a task that stands: it is a copy of what was said to an attempt before.
		delete(nc.k.unheard, m.Tag)
		if s := nc.open[m.Tag]; s != nil && s.end > 0 {
			nc.settled(s)
			if st == ravenhitch.OK && m.HasBlob { // the yes and the end in one: it was over before it was to say yes
				n.core.NodeStarted(now, id, m.Tag, m.Blob)
			}
			n.core.NodeEnded(now, id, m.Tag, st, whys[m.Opt("note")])
			nc.k.prune()
		} else if st != ravenhitch.Full && st != ravenhitch.Moot && (n.core.Stands(m.Tag) || n.core.Leaves(m.Tag)) {
			n.core.NodeEnded(now, id, m.Tag, st, whys[m.Opt("note")])
		} else if !n.core.Knows(m.Tag) {
			n.core.NodeEndedUnclaimed(now, id, m.Tag, st, whys[m.Opt("note")])
		}
	case verbNotice:
		v, err := strconv.ParseFloat(m.Opt("value"), 64)
		if kind, ok := noteKinds[m.Opt("note")]; ok && (err == nil && v >= 0 && v < 1e9 || kind == ravenhitch.NoteRuns) {
			n.core.NodeNote(now, id, m.Tag, kind, v)
		}
	case verbFinished:
		delete(nc.k.unheard, m.Tag)
	case verbEchoed:
		if m.Tag == nc.ends.test && nc.ends.any() {
			nc.proved()
			return
		}
		st := ravenhitch.OK
		if m.RC != 1 {
			st = ravenhitch.Failed
		}
		nc.probed(m.Tag, st, m.Opt("load"))
	case verbEcho:
		nc.send(&Message{Verb: verbEchoed, Tag: m.Tag, RC: 1, HasRC: true})
	}
}

// report reads a load report.
func report(load string) ravenhitch.Load {
	l := ravenhitch.Load{X0: nan, X1: nan, Util: nan, Queue: nan}
	for _, pair := range strings.FieldsFunc(load, func(r rune) bool { return r == ';' || r == ',' }) {
		name, value, _ := strings.Cut(pair, ":")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		switch name {
		case "x0":
			l.X0 = v
		case "x1":
			l.X1 = v
		case "util", "utilization":
			l.Util = v
		case "queue", "backlog":
			l.Queue = v
		}
	}
	return l
}

var nan = math.NaN()

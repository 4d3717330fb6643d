package workerpool

// This file turns what workers send into outcomes for the core.

import (
	"math"
	"strconv"
	"strings"

	"ravenhitch/internal/jsonlines"
	"ravenhitch/placement"
)

var noteKinds = map[string]placement.NoteKind{"up": placement.NoteRuns, "cpu": placement.NoteCores,
	"mem": placement.NoteMemory, "share": placement.NoteService, "tight": placement.NotePressure}

var whys = map[string]placement.Why{"cpu_full": placement.WhyCores, "mem_full": placement.WhyMemory,
	"busy": placement.WhyQueue, "wrong_host": placement.WhyNotHere, "oom": placement.WhyEvicted,
	"preempted": placement.WhyPushedOut, "drained": placement.WhySentAway}

var statuses = map[int]placement.Status{jsonlines.CauseGivenUp: placement.OK, jsonlines.CauseCancelled: placement.Cancelled,
	jsonlines.CauseFull: placement.Full, jsonlines.CauseError: placement.Failed, jsonlines.CauseMoot: placement.Moot}

func (nc *workerConn) message(m *jsonlines.Message) {
	n, id, now := nc.k.n, nc.k.id, nc.k.n.l.Now()
	switch m.Verb {
	case jsonlines.VerbStarted:
		if s := nc.open[m.Tag]; s != nil && s.end > 0 {
			nc.settled(s)
			n.core.NodeStarted(now, id, m.Tag, m.Blob)
			nc.k.prune()
		}
	case jsonlines.VerbFinish:
		st, ok := statuses[m.RC]
		if !ok {
			st = placement.Reset
		}
		// An offer is answered on its own connection. Anything else is the end of a task
		// that stands, or a copy or a foreign answer, which must end no attempt. That it never
		// ran is no end of a task that stands: it is a copy of what was said to an attempt before.
		delete(nc.k.unheard, m.Tag)
		if s := nc.open[m.Tag]; s != nil && s.end > 0 {
			nc.settled(s)
			if st == placement.OK && m.HasBlob { // the yes and the end in one: it was over before it was to say yes
				n.core.NodeStarted(now, id, m.Tag, m.Blob)
			}
			n.core.NodeEnded(now, id, m.Tag, st, whys[m.Opt("note")])
			nc.k.prune()
		} else if st != placement.Full && st != placement.Moot && (n.core.Stands(m.Tag) || n.core.Leaves(m.Tag)) {
			n.core.NodeEnded(now, id, m.Tag, st, whys[m.Opt("note")])
		} else if !n.core.Knows(m.Tag) {
			n.core.NodeEndedUnclaimed(now, id, m.Tag, st, whys[m.Opt("note")])
		}
	case jsonlines.VerbNotice:
		v, err := strconv.ParseFloat(m.Opt("value"), 64)
		if kind, ok := noteKinds[m.Opt("note")]; ok && (err == nil && v >= 0 && v < 1e9 || kind == placement.NoteRuns) {
			n.core.NodeNote(now, id, m.Tag, kind, v)
		}
	case jsonlines.VerbFinished:
		delete(nc.k.unheard, m.Tag)
	case jsonlines.VerbEchoed:
		if m.Tag == nc.ends.test && nc.ends.any() {
			nc.proved()
			return
		}
		st := placement.OK
		if m.RC != 1 {
			st = placement.Failed
		}
		nc.probed(m.Tag, st, m.Opt("load"))
	case jsonlines.VerbEcho:
		nc.send(&jsonlines.Message{Verb: jsonlines.VerbEchoed, Tag: m.Tag, RC: 1, HasRC: true})
	}
}

// report reads a load report.
func report(load string) placement.Load {
	l := placement.Load{X0: nan, X1: nan, Util: nan, Queue: nan}
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

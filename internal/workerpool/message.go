package workerpool

// This file turns what workers send into outcomes for the core.

import (
	"math"
	"strconv"
	"strings"

	"ravenhitch/internal/jsonlines"
	"ravenhitch/placement"
)

var noteKinds = map[string]placement.ReportKind{"up": placement.ReportRunning, "cpu": placement.ReportCores,
	"mem": placement.ReportMemory, "share": placement.ReportService, "tight": placement.ReportMemoryPressure}

var whys = map[string]placement.Cause{"cpu_full": placement.CauseCores, "mem_full": placement.CauseMemory,
	"busy": placement.CauseQueue, "wrong_host": placement.CauseWrongWorker, "oom": placement.CauseEvicted,
	"preempted": placement.CausePreempted, "drained": placement.CauseDrained}

var statuses = map[int]placement.Outcome{jsonlines.CauseGivenUp: placement.Completed, jsonlines.CauseCancelled: placement.Cancelled,
	jsonlines.CauseFull: placement.Rejected, jsonlines.CauseError: placement.Failed, jsonlines.CauseMoot: placement.NeverSent}

func (nc *workerConn) message(m *jsonlines.Message) {
	n, id, now := nc.k.n, nc.k.id, nc.k.n.l.Now()
	switch m.Verb {
	case jsonlines.VerbStarted:
		if s := nc.open[m.Tag]; s != nil && s.end > 0 {
			nc.settled(s)
			n.core.AttemptAccepted(now, id, m.Tag, m.Blob)
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
			if st == placement.Completed && m.HasBlob { // the yes and the end in one: it was over before it was to say yes
				n.core.AttemptAccepted(now, id, m.Tag, m.Blob)
			}
			n.core.TaskEnded(now, id, m.Tag, st, whys[m.Opt("note")])
			nc.k.prune()
		} else if st != placement.Rejected && st != placement.NeverSent && (n.core.IsRunning(m.Tag) || n.core.IsTerminating(m.Tag)) {
			n.core.TaskEnded(now, id, m.Tag, st, whys[m.Opt("note")])
		} else if !n.core.Contains(m.Tag) {
			n.core.UnknownTaskEnded(now, id, m.Tag, st, whys[m.Opt("note")])
		}
	case jsonlines.VerbNotice:
		v, err := strconv.ParseFloat(m.Opt("value"), 64)
		if kind, ok := noteKinds[m.Opt("note")]; ok && (err == nil && v >= 0 && v < 1e9 || kind == placement.ReportRunning) {
			n.core.TaskReported(now, id, m.Tag, kind, v)
		}
	case jsonlines.VerbFinished:
		delete(nc.k.unheard, m.Tag)
	case jsonlines.VerbEchoed:
		if m.Tag == nc.ends.test && nc.ends.any() {
			nc.proved()
			return
		}
		st := placement.Completed
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
	l := placement.Load{FreeCores: nan, FreeMemory: nan, Utilization: nan, Queued: nan}
	for _, pair := range strings.FieldsFunc(load, func(r rune) bool { return r == ';' || r == ',' }) {
		name, value, _ := strings.Cut(pair, ":")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		switch name {
		case "x0":
			l.FreeCores = v
		case "x1":
			l.FreeMemory = v
		case "util", "utilization":
			l.Utilization = v
		case "queue", "backlog":
			l.Queued = v
		}
	}
	return l
}

var nan = math.NaN()

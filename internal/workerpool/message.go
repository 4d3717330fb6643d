package workerpool

// This file translates the messages of workers into outcomes for the dispatcher. An answer to an offer counts only on the
// connection of the offer. The dispatcher decides on the reports that arrive on other connections.

import (
	"strconv"

	"ravenhitch/internal/jsonlines"
	"ravenhitch/placement"
)

// maxReportValue is the upper bound of the values in reports on tasks. Only values below it are valid.
const maxReportValue = 1e9

// reportKindsByNote maps the note of a NOTICE message to the kind of report.
var reportKindsByNote = map[string]placement.ReportKind{
	"up":    placement.ReportRunning,
	"cpu":   placement.ReportCores,
	"mem":   placement.ReportMemory,
	"share": placement.ReportService,
	"tight": placement.ReportMemoryPressure,
}

// causesByNote maps the note of a FINISH message to the cause of the end.
var causesByNote = map[string]placement.Cause{
	"cpu_full":   placement.CauseCores,
	"mem_full":   placement.CauseMemory,
	"busy":       placement.CauseQueue,
	"wrong_host": placement.CauseWrongWorker,
	"oom":        placement.CauseEvicted,
	"preempted":  placement.CausePreempted,
	"drained":    placement.CauseDrained,
}

// outcomesByCode maps the code of a FINISH message to the outcome.
var outcomesByCode = map[int]placement.Outcome{
	jsonlines.CodeEnded:     placement.Completed,
	jsonlines.CodeCancelled: placement.Cancelled,
	jsonlines.CodeRejected:  placement.Rejected,
	jsonlines.CodeFailed:    placement.Failed,
	// The worker has received the offer, so that the outcome is not NeverSent.
	jsonlines.CodeNeverSent: placement.Rejected,
}

// pingSucceeded is the code with which a healthy worker answers a ping.
const pingSucceeded = 1

// handleLine parses and handles one line from the worker. An error ends the connection.
func (c *workerConn) handleLine(line []byte) error {
	m, err := jsonlines.Parse(line)
	if err == nil && m.Verb == jsonlines.VerbStarted && !m.HasBlob {
		err = errNoDescription
	}
	if err != nil {
		c.link.pool.log.Warn("malformed worker message", "worker", c.link.workerID, "connection", c.number, "err", err)
		return err
	}
	c.handleMessage(&m)
	return nil
}

// handleMessage handles one message from the worker. Messages with an unknown verb are ignored.
func (c *workerConn) handleMessage(m *jsonlines.Message) {
	switch m.Verb {
	case jsonlines.VerbStarted:
		c.handleStarted(m)
	case jsonlines.VerbFinish:
		c.handleFinish(m)
	case jsonlines.VerbNotice:
		c.handleNotice(m)
	case jsonlines.VerbFinished:
		c.link.releases.confirm(m.Tag)
	case jsonlines.VerbEchoed:
		c.handleEchoed(m)
	case jsonlines.VerbEcho:
		c.send(&jsonlines.Message{Verb: jsonlines.VerbEchoed, Tag: m.Tag, RC: pingSucceeded, HasRC: true})
	}
}

// handleStarted handles the acceptance of an offer.
func (c *workerConn) handleStarted(m *jsonlines.Message) {
	offer, pool := c.writtenOffer(m.Tag), c.link.pool
	if offer == nil {
		c.trace("acceptance ignored, no open offer", m.Tag, "connection_age_us", c.age())
		return
	}
	c.removeOffer(offer)
	pool.dispatcher.AttemptAccepted(pool.loop.Now(), c.link.workerID, m.Tag, m.Blob)
	c.link.pruneConns()
}

// handleFinish handles the end of an attempt or of a running task.
func (c *workerConn) handleFinish(m *jsonlines.Message) {
	outcome, known := outcomesByCode[m.RC]
	if !known {
		outcome = placement.Reset
	}
	if outcome != placement.Rejected { // a rejection is a copy of the answer to an offer before the released task's
		c.link.releases.confirm(m.Tag)
	}
	if offer := c.writtenOffer(m.Tag); offer != nil {
		c.finishOffer(offer, outcome, m)
		return
	}
	c.finishTask(outcome, m)
}

// finishOffer handles the end of an attempt whose offer is open on this connection.
func (c *workerConn) finishOffer(offer *openOffer, outcome placement.Outcome, m *jsonlines.Message) {
	dispatcher, worker, now := c.link.pool.dispatcher, c.link.workerID, c.link.pool.loop.Now()
	c.removeOffer(offer)
	c.trace("worker ended offer", m.Tag, "code", m.RC, "note", m.Opt("note"), "description", m.HasBlob,
		"offer_age_us", c.link.pool.loop.Clock()-offer.writtenAt)
	if outcome == placement.Completed && m.HasBlob { // the task completed before the acceptance was sent: report both
		dispatcher.AttemptAccepted(now, worker, m.Tag, m.Blob)
	}
	cause := causesByNote[m.Opt("note")]
	if outcome == placement.Rejected {
		dispatcher.OfferRejected(now, worker, m.Tag, cause, c.number)
	} else {
		dispatcher.TaskEnded(now, worker, m.Tag, outcome, cause)
	}
	c.link.pruneConns()
}

// finishTask handles a FINISH for a request for which no written offer is open on this connection. If its offer is open on
// another connection, that connection may bring the acceptance and the end of the task first, or it may be dead. The
// message is then handled after crossingTime.
func (c *workerConn) finishTask(outcome placement.Outcome, m *jsonlines.Message) {
	requestID, cause := m.Tag, causesByNote[m.Opt("note")]
	l, pool := c.link, c.link.pool
	elsewhere := l.connOfOffer(requestID)
	c.trace("worker reported end", requestID, "connection_age_us", c.age(), "code", m.RC, "note", m.Opt("note"),
		"known", pool.dispatcher.Contains(requestID), "lingering", c.lingering, "offer_open_elsewhere", elsewhere != nil)
	report := func() { pool.dispatcher.EndReported(pool.loop.Now(), l.workerID, requestID, outcome, cause) }
	if elsewhere != nil {
		pool.loop.After(crossingTime, report)
		return
	}
	report()
}

// handleNotice handles a report on a running task. Only the report that the task is running may lack a valid value.
func (c *workerConn) handleNotice(m *jsonlines.Message) {
	value, err := strconv.ParseFloat(m.Opt("value"), 64)
	kind, known := reportKindsByNote[m.Opt("note")]
	valid := err == nil && value >= 0 && value < maxReportValue
	if known && (valid || kind == placement.ReportRunning) {
		pool := c.link.pool
		pool.dispatcher.TaskReported(pool.loop.Now(), c.link.workerID, m.Tag, kind, value)
	}
}

// handleEchoed handles the answer to a ping. Pings are sent behind cancels, as probes, by a
// collection and by pingAll. The answer to a
// ping of pingAll needs no handling: the received data alone shows that the worker's process is alive.
func (c *workerConn) handleEchoed(m *jsonlines.Message) {
	if c.cancels.isAnswer(m.Tag) {
		c.pingAnswered()
		return
	}
	if c.collector.isAnswer(m.Tag) {
		c.answered()
		return
	}
	outcome := placement.Completed
	if m.RC != pingSucceeded {
		outcome = placement.Failed
	}
	c.endProbe(m.Tag, outcome, m.Opt("load"))
}

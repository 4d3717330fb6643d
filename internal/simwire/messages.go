package simwire

// This file decodes the simulator's messages into events, and the rows of its pages into entries. It reads the fields
// in their order on the wire, so this order must not change.

import (
	"fmt"
	"strconv"

	"ravenhitch/placement"
)

// Bits of the field StateBits.
const (
	runHintBit = 1 << 0 // set if the field LastsUs is valid
	retryBit   = 1 << 4 // set if the request is a retry
)

// stateBits reads the field StateBits and returns its bits.
func (f *fields) stateBits() (hasRunHint, retry bool) {
	bits := f.int("StateBits")
	return bits&runHintBit != 0, bits&retryBit != 0
}

// decodeFunc reads the fields of a message that follow the number of the instance, and stores their content in item.
type decodeFunc func(d *Decoder, f *fields, item *Item) error

// messageDecoders maps the name of each message to its decodeFunc.
var messageDecoders = map[string]decodeFunc{
	"ENLIST":           decodeEnlist,
	"DOWN":             decodeDown,
	"ENDPOINTS":        decodeEndpoints,
	"REQUEST":          eventDecoder(requestEvent),
	"EXISTING":         eventDecoder(adoptedEvent),
	"ACCEPTED":         eventDecoder(acceptedEvent),
	"DONE":             eventDecoder(attemptEndedEvent),
	"PROGRESS":         eventDecoder(taskReportEvent),
	"SAMPLED":          eventDecoder(probeResultEvent),
	"BELL":             eventDecoder(timerEvent),
	"TIMED_OUT_CLIENT": eventDecoder(clientCancelledEvent),
	"DATAGRAM":         decodeDatagram,
}

// eventDecoder returns a decodeFunc for a message whose event depends only on the fields of the message. The
// function read reads these fields and returns the event.
func eventDecoder(read func(f *fields) placement.Event) decodeFunc {
	return func(_ *Decoder, f *fields, item *Item) error {
		item.Event = read(f)
		return nil
	}
}

// decodeEnlist reads an ENLIST message, which starts an instance.
func decodeEnlist(_ *Decoder, f *fields, item *Item) (err error) {
	item.Kind = InstanceStarted
	item.Seed = f.uint("Prng")
	item.Settings, err = ParseSettings(f.rest())
	return err
}

// decodeDown reads a DOWN message, which stops an instance.
func decodeDown(_ *Decoder, _ *fields, item *Item) error {
	item.Kind = InstanceStopped
	return nil
}

// decodeDatagram skips a DATAGRAM. Instances may send each other such messages, but schedulers do not use them.
func decodeDatagram(_ *Decoder, f *fields, item *Item) error {
	item.Kind = Ignored
	f.int("From")
	f.next()
	return nil
}

// decodeEndpoints reads an ENDPOINTS message, which is a list of workers. The message refers to a page that
// was sent earlier and that contains the entries of the list. In a list of the kind ListFailed, which has no
// entries, the number of the page is ignored.
func decodeEndpoints(d *Decoder, f *fields, item *Item) error {
	kind := f.int("Scope")
	f.next()
	pageText := f.next()
	if kind < 0 || kind > int64(placement.ListFailed) {
		return fmt.Errorf("unknown Scope %d", kind)
	}
	list := placement.WorkerList{Kind: placement.ListKind(kind)}
	if list.Kind != placement.ListFailed {
		number, err := strconv.Atoi(pageText)
		if err != nil || number < 0 || number >= maxPages || !d.pages[number].sent {
			return fmt.Errorf("list page %.20q was never sent", pageText)
		}
		list.Entries = d.pages[number].entries
	}
	item.Event = list
	return nil
}

func requestEvent(f *fields) placement.Event {
	var t placement.Task
	t.RequestID = f.required("Ticket")
	t.KeyHash = f.uint("Workload")
	t.DeadlineUs = f.int("DeadlineUs")
	t.Cores = f.float("WantCores")
	t.Memory = f.float("MemNeeded")
	t.Class = f.next()
	t.ExpectedRunUs = f.int("LastsUs")
	t.HasRunHint, t.Retry = f.stateBits()
	t.Tenant = f.next()
	t.Program = f.uint("Program")
	return placement.Request{Task: t}
}

func adoptedEvent(f *fields) placement.Event {
	var e placement.Adopted
	e.RequestID = f.required("Ticket")
	e.Worker = f.required("Machine")
	e.HasRunHint, e.Retry = f.stateBits()
	e.ExpectedRunUs = f.int("LastsUs")
	e.Tenant = f.next()
	e.DeadlineUs = f.int("DeadlineUs")
	e.KeyHash = f.uint("Workload")
	e.Class = f.next()
	e.Cores = f.float("WantCores")
	e.Program = f.uint("Program")
	e.Memory = f.float("MemNeeded")
	return e
}

func acceptedEvent(f *fields) placement.Event {
	var e placement.Accepted
	e.RequestID = f.required("Ticket")
	e.Attempt = int(f.int("Copy"))
	e.Worker = f.required("Machine")
	e.RTTUs = f.int("RttUs")
	return e
}

func attemptEndedEvent(f *fields) placement.Event {
	var e placement.AttemptEnded
	e.RequestID = f.required("Ticket")
	e.Cause = placement.Cause(f.int("Info"))
	e.Final = f.int("Closed") == 1
	e.RTTUs = f.int("RttUs")
	e.Outcome = placement.Outcome(f.int("StateCode"))
	e.Attempt = int(f.int("Copy"))
	e.Worker = f.required("Machine")
	f.load()
	return e
}

func taskReportEvent(f *fields) placement.Event {
	var e placement.TaskReport
	e.RequestID = f.required("Ticket")
	e.Attempt = int(f.int("Copy"))
	e.Worker = f.required("Machine")
	e.Kind = placement.ReportKind(f.int("What"))
	e.Value = f.float("Value")
	return e
}

func probeResultEvent(f *fields) placement.Event {
	var e placement.ProbeResult
	e.Worker = f.required("Machine")
	e.Outcome = placement.Outcome(f.int("StateCode"))
	e.RTTUs = f.int("RttUs")
	e.Load = f.load()
	return e
}

func timerEvent(f *fields) placement.Event {
	return placement.TimerFired{Ref: f.required("Ref")}
}

func clientCancelledEvent(f *fields) placement.Event {
	return placement.ClientCancelled{RequestID: f.required("Ticket")}
}

// parseRow parses a ROW line, which describes one worker of a page.
func parseRow(line string) (placement.Entry, error) {
	f := newFields(line)
	if f.next() != "ROW" {
		return placement.Entry{}, fmt.Errorf("expected ROW, got %.40q", line)
	}
	var e placement.Entry
	e.Cell = int(f.int("Pack"))
	e.StartedAtUs = f.int("StartTimeUs")
	e.Worker = f.required("Machine")
	e.Kind = f.next()
	e.Zone = f.next()
	f.float("PowerHint")
	e.State = placement.WorkerState(f.int("StageState"))
	e.FreeMemory = f.float("UnaskedMemory")
	e.FreeCores = f.float("SpareCpu")
	if err := f.end(); err != nil {
		return placement.Entry{}, fmt.Errorf("ROW: %w", err)
	}
	return e, nil
}

package simwire

// This file writes replies. Lines are buffered, and a reply is flushed when it is complete.

import (
	"bufio"
	"fmt"
	"io"
	"strings"

	"ravenhitch/placement"
)

// Encoder writes replies to the simulator. It is not safe for concurrent use.
type Encoder struct{ w *bufio.Writer }

// NewEncoder returns an Encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder {
	return &Encoder{w: bufio.NewWriterSize(w, bufferSize)}
}

// WriteActions writes the actions of one instance, one per line.
func (e *Encoder) WriteActions(instance int, actions []placement.Action) error {
	for _, action := range actions {
		if err := e.action(instance, action); err != nil {
			return err
		}
	}
	return nil
}

// action writes one action.
func (e *Encoder) action(instance int, action placement.Action) (err error) {
	switch a := action.(type) {
	case placement.Place:
		_, err = fmt.Fprintf(e.w, "PLACE %d %s %s %d\n", instance, a.RequestID, a.Worker, a.AbandonAtUs)
	case placement.Reject:
		_, err = fmt.Fprintf(e.w, "DENY %d %s 0\n", instance, a.RequestID)
	case placement.Fail:
		_, err = fmt.Fprintf(e.w, "ERROR %d %s\n", instance, a.RequestID)
	case placement.Migrate:
		_, err = fmt.Fprintf(e.w, "MOVE %d %s\n", instance, a.RequestID)
	case placement.Abandon:
		_, err = fmt.Fprintf(e.w, "MOVE %d %s\n", instance, a.RequestID)
	case placement.Probe:
		_, err = fmt.Fprintf(e.w, "ASK_LOAD %d %s\n", instance, a.Worker)
	case placement.WatchWorkers:
		active := 0
		if a.Active {
			active = 1
		}
		_, err = fmt.Fprintf(e.w, "OBSERVE %d %d\n", instance, active)
	case placement.RefreshWorkers:
		_, err = fmt.Fprintf(e.w, "REFRESH %d\n", instance)
	case placement.CancelAttempt:
		_, err = fmt.Fprintf(e.w, "CANCEL %d %s %d\n", instance, a.RequestID, a.Attempt)
	case placement.SetTimer:
		_, err = fmt.Fprintf(e.w, "SET_ALARM %d %d %s\n", instance, a.OffsetUs, a.Ref)
	case placement.Log:
		_, err = fmt.Fprintf(e.w, "SAY_LOG %d %s\n", instance, singleLine(a.Text))
	default:
		err = fmt.Errorf("cannot write action %T", action)
	}
	return err
}

// WriteFault writes a FAULT line, which reports that the scheduler of an instance could not be created or has failed.
// text is the reason.
func (e *Encoder) WriteFault(instance int, text string) error {
	_, err := fmt.Fprintf(e.w, "FAULT %d %s\n", instance, singleLine(text))
	return err
}

// EndReply completes the reply to the batch with the sequence number seq and flushes it.
func (e *Encoder) EndReply(seq string) error {
	if _, err := fmt.Fprintf(e.w, "READY %s\n", seq); err != nil {
		return err
	}
	return e.w.Flush()
}

// singleLine returns text with each run of white space, including line breaks, replaced by a single space. It returns
// "no text" if nothing is left.
func singleLine(text string) string {
	text = strings.Join(strings.Fields(text), " ")
	if text == "" {
		return "no text"
	}
	return text
}

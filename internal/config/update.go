package config

// This file owns the format of discovery's lists of workers. An invalid worker must never cause the
// other workers of its list to be left out.

import (
	"fmt"
	"net/netip"

	"github.com/tidwall/gjson"

	"ravenhitch/placement"
)

// errInvalidJSON is the error for a text that is not valid JSON.
var errInvalidJSON = fmt.Errorf("%w: not valid JSON", ErrConfig)

// errNotAnObject is the error for a list of workers that is no JSON object.
var errNotAnObject = fmt.Errorf("%w: expected an object", ErrConfig)

// Update is a response of discovery, or the initial list of workers in the configuration: a cursor
// and the events up to this cursor.
type Update struct {
	Cursor         int64
	Events         []Event
	InvalidWorkers []error // one for each worker left out: a *WorkerError, or another error if the worker has no ID
}

// Event is one event of discovery, which may contain a list of workers. Cursor is its number.
type Event struct {
	Cursor   int64
	HasList  bool // the event contains a list of workers
	Complete bool // the list contains all workers
	Workers  []Worker
}

// Worker is one entry of a list of workers.
type Worker struct {
	placement.Entry
	Addr string // address:port; not validated if the worker is removed
}

// ParseUpdate parses a response of discovery that is in memory as a whole. Its errors wrap ErrConfig.
func ParseUpdate(text []byte) (update Update, err error) {
	decoder := NewUpdateDecoder(func(event Event, invalidWorkers []error) {
		update.Events = append(update.Events, event)
		update.InvalidWorkers = append(update.InvalidWorkers, invalidWorkers...)
	})
	if err := decoder.Write(text); err != nil {
		return Update{}, err
	}
	if update.Cursor, err = decoder.End(); err != nil {
		return Update{}, err
	}
	return update, nil
}

// workerStates maps the phases in a list of workers to worker states.
var workerStates = map[string]placement.WorkerState{
	"up":       placement.Ready,
	"draining": placement.Draining,
	"removed":  placement.Removed,
}

// parseWorker parses one entry of a list of workers.
func parseWorker(object gjson.Result) (Worker, error) {
	worker := Worker{
		Addr: object.Get("host_port").String(),
		Entry: placement.Entry{
			Worker:      object.Get("id").String(),
			Kind:        object.Get("flavor").String(),
			Zone:        object.Get("locality").String(),
			Cell:        int(object.Get("cell").Int()),
			StartedAtUs: object.Get("up_since_ms").Int() * 1000,
			FreeCores:   object.Get("spare.0").Float(),
			FreeMemory:  object.Get("spare.1").Float(),
		},
	}
	if worker.Worker == "" {
		return Worker{}, fmt.Errorf("%w: a member without an id", ErrConfig)
	}
	phase := object.Get("phase").String()
	state, known := workerStates[phase]
	if !known {
		return Worker{}, &WorkerError{Name: worker.Worker, Problem: fmt.Sprintf("phase %.40q is unknown", phase)}
	}
	worker.State = state
	if _, err := netip.ParseAddrPort(worker.Addr); err != nil && state != placement.Removed {
		problem := fmt.Sprintf("host_port %.60q is no address", worker.Addr)
		return Worker{}, &WorkerError{Name: worker.Worker, Problem: problem}
	}
	return worker, nil
}

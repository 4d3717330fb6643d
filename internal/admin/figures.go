package admin

// This file owns the form of the figures. It must never round or guess one.

import "encoding/json"

// Class counts the responses to requests of one class since the start.
type Class struct {
	OK     int64 `json:"ok"`     // started
	Shed   int64 `json:"shed"`   // rejected
	Errors int64 `json:"errors"` // failed
}

// Figures are the figures in the reply to Dump.
type Figures struct {
	Responses map[string]Class `json:"responses"`    // by name of the class
	Attempts  int64            `json:"tries"`        // offers sent to workers
	Active    int              `json:"active"`       // requests without a response, and running tasks
	Pool      int              `json:"pool_size"`    // workers on the list
	Ejected   int              `json:"pool_ejected"` // of these, the cordoned and the suspected ones
}

// Reply returns the reply to Dump: the figures as one line of JSON, then a line ".".
func (f Figures) Reply() []byte {
	b, err := json.Marshal(f)
	if err != nil { // impossible: Marshal fails on floats only, and no figure is one
		return ErrorReply(err.Error())
	}
	return append(b, "\n.\n"...)
}

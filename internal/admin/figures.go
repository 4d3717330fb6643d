package admin

// This file owns the figures that a DUMP call returns, and their format. It must never round or estimate
// a figure.

import "encoding/json"

// Class counts the requests of one class since the orchestrator started, by their final response. Requests
// that a front rejects without passing them to the dispatcher are not counted.
type Class struct {
	OK     int64 `json:"ok"`     // number of started requests
	Shed   int64 `json:"shed"`   // number of rejected requests
	Errors int64 `json:"errors"` // number of failed requests
}

// Figures is the content of the reply to Dump.
type Figures struct {
	Responses map[string]Class `json:"responses"`    // counts of each class, by the name of the class
	Attempts  int64            `json:"tries"`        // number of offers sent completely to workers
	Active    int              `json:"active"`       // number of requests without a final response plus running tasks
	Pool      int              `json:"pool_size"`    // number of listed workers
	Ejected   int              `json:"pool_ejected"` // number of listed workers that are cordoned or suspected
}

// Reply returns the reply to Dump: the figures as one line of JSON, followed by the line ".".
func (f Figures) Reply() []byte {
	b, err := json.Marshal(f)
	if err != nil { // cannot happen: the only numbers that Marshal may reject are floats, and no figure is a float
		return ErrorReply(err.Error())
	}
	return append(b, "\n.\n"...)
}

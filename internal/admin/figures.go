package admin

import "encoding/json"

// This file owns the form of the figures. It must never round or guess one.

// Class is what became of the requests of one class since the start.
type Class struct {
	OK     int64 `json:"ok"`     // served
	Shed   int64 `json:"shed"`   // refused
	Errors int64 `json:"errors"` // failed
}

// Figures are what DUMP tells.
type Figures struct {
	Responses map[string]Class `json:"responses"`
	Attempts  int64            `json:"tries"`        // attempts written whole to minions
	Active    int              `json:"active"`       // requests taken and not ended
	Pool      int              `json:"pool_size"`    // minions on the list
	Ejected   int              `json:"pool_ejected"` // of these, the ones avoided by hand or by choice
}

// Reply is the answer to DUMP: the figures as one line of JSON, then a line ".".
func (f Figures) Reply() []byte {
	b, err := json.Marshal(f)
	if err != nil { // no figure is a float: this can't happen
		return ErrorReply(err.Error())
	}
	return append(b, "\n.\n"...)
}

package dispatch

// This file owns the totals of final responses for each class in the settings. It must never count a class
// that is not in the settings: a client that invents class names would make the totals grow without limit.

// ClassTotals counts the final responses to the requests of one class.
type ClassTotals struct{ Started, Rejected, Failed int64 }

// countResponse counts a final response to a request of a class. It ignores other responses, and classes that are not
// in the settings.
func (d *Dispatcher) countResponse(class string, kind ResponseKind) {
	if _, known := d.classIndex[class]; !known {
		return
	}
	totals := d.totals[class]
	switch kind {
	case Started:
		totals.Started++
	case Rejected:
		totals.Rejected++
	case Failed:
		totals.Failed++
	}
	d.totals[class] = totals
}

// ClassTotals returns the totals of each class in the settings.
func (d *Dispatcher) ClassTotals() map[string]ClassTotals {
	totals := make(map[string]ClassTotals, len(d.classIndex))
	for class := range d.classIndex {
		totals[class] = d.totals[class]
	}
	return totals
}

package dispatch

// This file owns the totals of final responses by class of the settings. It must never count a
// class that the settings lack: a client that invents class names would make it grow.

// ClassTotals counts what became of the requests of one class.
type ClassTotals struct{ Started, Rejected, Failed int64 }

// countResponse counts a response to a request of a class.
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

// ClassTotals returns what became of the requests of each class of the settings.
func (d *Dispatcher) ClassTotals() map[string]ClassTotals {
	totals := make(map[string]ClassTotals, len(d.classIndex))
	for class := range d.classIndex {
		totals[class] = d.totals[class]
	}
	return totals
}

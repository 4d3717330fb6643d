package dispatch

// This file owns the counts of what became of requests, by class of the settings. It
// must never count a class that the settings lack: whoever names some of its own would
// make it grow.

// ClassTotals counts what became of the requests of one class.
type ClassTotals struct{ Started, Rejected, Failed int64 }

func (c *Dispatcher) tally(class string, kind ResponseKind) {
	if _, ok := c.classIndex[class]; !ok {
		return
	}
	e := c.totals[class]
	switch kind {
	case Started:
		e.Started++
	case Rejected:
		e.Rejected++
	case Failed:
		e.Failed++
	}
	c.totals[class] = e
}

// ClassTotals returns what became of the requests of each class of the settings.
func (c *Dispatcher) ClassTotals() map[string]ClassTotals {
	out := map[string]ClassTotals{}
	for name := range c.classIndex {
		out[name] = c.totals[name]
	}
	return out
}

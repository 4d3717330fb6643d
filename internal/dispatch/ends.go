package dispatch

// This file owns the counts of what became of requests, by class of the settings. It
// must never count a class that the settings lack: whoever names some of its own would
// make it grow.

// Ends counts what became of the requests of one class.
type Ends struct{ Started, Refused, Failed int64 }

func (c *Core) tally(class string, kind AnswerKind) {
	if _, ok := c.classes[class]; !ok {
		return
	}
	e := c.ends[class]
	switch kind {
	case Started:
		e.Started++
	case Refused:
		e.Refused++
	case Failed:
		e.Failed++
	}
	c.ends[class] = e
}

// Ends returns what became of the requests of each class of the settings.
func (c *Core) Ends() map[string]Ends {
	out := map[string]Ends{}
	for name := range c.classes {
		out[name] = c.ends[name]
	}
	return out
}

package clientfront

// This file owns the account of what the front would lose if the process ended now.

// Undelivered counts what the front would lose if the process ended now.
type Undelivered struct {
	Unreported      int // completions that wait for a connection
	Unconfirmed     int // completions whose confirmation is expected soon
	InTransit       int // completions that may not have reached their clients yet
	PartialMessages int // connections on which a message was received only in part
	UnsentOutput    int // connections whose output the kernel has not accepted completely
}

// Undelivered returns the counts of what is undelivered now.
func (f *Front) Undelivered() Undelivered {
	undelivered := Undelivered{Unreported: len(f.unreported), Unconfirmed: f.awaitedConfirmations(),
		InTransit: f.completionsInTransit()}
	for client := range f.clients {
		if client.partialSince > 0 {
			undelivered.PartialMessages++
		}
		if client.conn.BytesBuffered() > 0 {
			undelivered.UnsentOutput++
		}
	}
	return undelivered
}

// HasUndelivered reports whether anything is undelivered, besides completions in transit.
func (f *Front) HasUndelivered() bool {
	undelivered := f.Undelivered()
	undelivered.InTransit = 0
	return undelivered != Undelivered{}
}

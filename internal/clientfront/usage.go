package clientfront

// This file owns the usage of connections, by which they are ranked: one of the lowest usage is evicted first, and
// one of the highest gets the completions. It must decide nothing by itself.

// usage says how far a connection has been used by a client, least first.
type usage int

const (
	usageNone    usage = iota
	usagePartial       // it sent a part of its first message
	usageMessage       // it sent a message
	usageTask          // a running task was adopted on it
	usageStarted       // a task was started for a request on it
)

// usage returns the highest usage that the connection has reached.
func (c *clientConn) usage() usage {
	switch {
	case c.hasStarted:
		return usageStarted
	case c.hasTask:
		return usageTask
	case c.hasMessage:
		return usageMessage
	case c.partialSince > 0:
		return usagePartial
	}
	return usageNone
}

package clientfront

// This file owns the usage of connections, by which they are ranked: connections with the lowest usage are evicted
// first, and those with the highest usage get the completions of requests whose own connection is closed. This file
// must only rank connections and decide nothing by itself.

// usage is the extent to which a client has used a connection. Higher values mean more use.
type usage int

const (
	usageNone    usage = iota // the client sent nothing
	usagePartial              // the client sent a part of its first message
	usageMessage              // the client sent a complete message
	usageTask                 // a running task was adopted for a request on the connection
	usageStarted              // a task was started for a request on the connection
)

// usage returns the highest of the values above that applies to the connection.
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

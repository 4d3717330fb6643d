package workerpool

// Counts counts events of connections to workers since the pool was created. Opened counts the connections that were
// established, without those for late completions. Aborted and Closed count the connections that this side ended,
// Broken those that ended otherwise after they were established. LateCompletions counts the connections for late
// completions, and ReadAtClose the connections on which messages were received that this side had not read when it
// ended the connection.
type Counts struct{ Opened, Aborted, Closed, Broken, LateCompletions, ReadAtClose int64 }

// Counts returns the counts of events of connections.
func (p *Pool) Counts() Counts { return p.counts }

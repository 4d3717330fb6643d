package clientfront

// This file owns the record of which connection each running task belongs to. Completions are reported on that connection, so it
// must not count as idle while one of its tasks runs: its client sends nothing until the task has ended.

// taskRecord holds the connections to which the running tasks belong, by request ID.
type taskRecord map[string]*clientConn

// add records that a task runs for a request on a connection.
func (t taskRecord) add(requestID string, owner *clientConn) {
	t.remove(requestID)
	t[requestID] = owner
	owner.taskCount++
}

// remove records that a task has ended or was released. It does nothing if the task is not recorded.
func (t taskRecord) remove(requestID string) {
	if owner := t[requestID]; owner != nil {
		owner.taskCount--
		delete(t, requestID)
	}
}

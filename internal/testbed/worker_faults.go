package testbed

import "net"

// This file owns the faults that a test injects into a stand-in worker.

// RefuseConnections refuses new connections. Open connections stay open.
func (w *Worker) RefuseConnections() { Refuse(w.host, w.listener) }

// Crash ends the worker like a killed process: open connections are reset, new ones are refused,
// and running tasks and unsent reports are lost.
func (w *Worker) Crash() {
	Refuse(w.host, w.listener)
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.connections {
		ResetConnection(conn)
	}
	w.loseTasks()
}

// Recover restarts a crashed worker at the same address, without running tasks.
func (w *Worker) Recover() {
	w.mu.Lock()
	defer w.mu.Unlock()
	listenAfterRefusal(w.host, w.listener)
	go w.accept(w.listener)
}

// Replace ends the worker's process with its tasks, and lets another process listen at its address at once, so that no
// connection is refused. end ends the open connections.
func (w *Worker) Replace(end func(net.Conn)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.connections {
		delete(w.connections, conn)
		end(conn)
	}
	w.loseTasks()
}

// ReplaceMachine is like Replace after the loss of the whole machine: the open connections stay open and silent. The next
// machine knows nothing of them, and resets one on which something arrives.
func (w *Worker) ReplaceMachine() { w.Replace(func(conn net.Conn) { w.replaced[conn] = true }) }

// loseTasks ends all tasks without a report. The caller holds mu.
func (w *Worker) loseTasks() {
	w.incarnation++
	clear(w.running)
	clear(w.offerConnections)
	w.unreported = nil
	w.attempts.workerLost(w.Name)
}

// isOfReplaced reports whether a connection belongs to a replaced process and is still open.
func (w *Worker) isOfReplaced(conn net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.replaced[conn]
}

// resetIfReplaced resets a connection of a replaced process.
func (w *Worker) resetIfReplaced(conn net.Conn) {
	if w.isOfReplaced(conn) {
		ResetConnection(conn)
	}
}

// Hang makes the worker ignore all messages. It still accepts connections.
func (w *Worker) Hang() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unresponsive = true
}

// BecomeUnreachable emulates a power failure of the worker's host: open connections stay open, but the worker
// ignores all messages. New connections are refused, although a host without power would not answer them at all.
func (w *Worker) BecomeUnreachable() {
	w.mu.Lock()
	w.unresponsive = true
	w.mu.Unlock()
	Refuse(w.host, w.listener)
}

// CloseGracefully ends the worker like a process that shuts down: open connections are closed, and new
// connections are refused.
func (w *Worker) CloseGracefully() {
	Refuse(w.host, w.listener)
	w.CloseConnections()
}

// CloseConnections closes the open connections. New connections are accepted.
func (w *Worker) CloseConnections() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.connections {
		CloseQuietly(conn)
	}
}

// ResetConnections resets the open connections. New connections are accepted.
func (w *Worker) ResetConnections() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.connections {
		ResetConnection(conn)
	}
}

// ForgetConnections makes the worker report completions only on new connections, as if it had lost the open ones.
// The open connections are not closed, and the worker still answers messages on them. ForgetConnections returns
// when the worker has accepted a new connection.
func (w *Worker) ForgetConnections() {
	w.mu.Lock()
	defer w.mu.Unlock()
	dials := w.dials
	clear(w.connections)
	for w.dials == dials {
		w.dialled.Wait()
	}
}

// isResponsive reports whether the worker handles the messages of a connection that it accepted in the given
// incarnation. It returns false if the worker hangs, is unreachable, or has crashed since it accepted the connection.
func (w *Worker) isResponsive(incarnation int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.unresponsive && w.incarnation == incarnation
}

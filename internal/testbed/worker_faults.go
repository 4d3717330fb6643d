package testbed

// This file owns the faults that a test injects into a stand-in worker.

// RefuseConnections refuses new connections; open ones stay.
func (w *Worker) RefuseConnections() { Refuse(w.host, w.listener) }

// Crash ends it as a process is killed: open connections are reset, new ones refused.
func (w *Worker) Crash() {
	Refuse(w.host, w.listener)
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.connections {
		ResetConnection(conn)
	}
}

// BecomeUnreachable ends it as a power cut does: new connections are refused, and those that are open
// stay open and unresponsive.
func (w *Worker) BecomeUnreachable() {
	w.mu.Lock()
	w.unresponsive = true
	w.mu.Unlock()
	Refuse(w.host, w.listener)
}

// CloseGracefully ends it as a process does that shuts down: open connections are closed,
// new ones refused.
func (w *Worker) CloseGracefully() {
	Refuse(w.host, w.listener)
	w.CloseConnections()
}

// CloseConnections closes its connections and accepts new ones.
func (w *Worker) CloseConnections() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.connections {
		CloseQuietly(conn)
	}
}

// Forget takes its connections for lost, and waits for a new one.
func (w *Worker) Forget() {
	w.mu.Lock()
	defer w.mu.Unlock()
	dials := w.dials
	clear(w.connections)
	for w.dials == dials {
		w.dialled.Wait()
	}
}

func (w *Worker) isUnresponsive() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unresponsive
}

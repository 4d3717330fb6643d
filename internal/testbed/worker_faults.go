package testbed

// This file owns the faults that a test injects into a stand-in worker.

// RefuseConnections refuses new connections; open ones stay.
func (w *Worker) RefuseConnections() { Refuse(w.host, w.listener) }

// Crash ends it as a process is killed: open connections are reset, new ones refused.
func (w *Worker) Crash() {
	Refuse(w.host, w.listener)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation++
	for conn := range w.connections {
		ResetConnection(conn)
	}
	clear(w.running)
	w.Attempts.workerLost(w.Name)
}

// Recover starts a new process at the address of one that Crash has ended: nothing runs there.
func (w *Worker) Recover() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	addr := w.listener.Addr().String()
	CloseQuietly(w.listener)
	listener, err := listenAgain(addr)
	if err != nil {
		return err
	}
	w.listener, w.unreported = listener, nil
	clear(w.offerConnections)
	go w.accept(listener)
	return nil
}

// Hang lets it accept connections, and neither act on anything nor answer.
func (w *Worker) Hang() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unresponsive = true
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

// reads reports whether the process of an incarnation lives and acts on what it reads.
func (w *Worker) reads(incarnation int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.unresponsive && w.incarnation == incarnation
}

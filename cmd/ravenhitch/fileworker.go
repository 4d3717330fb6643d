package main

// This file owns the goroutine that reads and writes the handover files. It must never touch the
// server's fields: what it finds is posted to the event loop.

import (
	"maps"
	"time"

	"ravenhitch/internal/admin"
)

const (
	// handoverReadInterval is how often the files are read for what another process wrote.
	handoverReadInterval = 200 * time.Millisecond
	// maxQueuedFileTasks is how many admin calls may wait for the file worker.
	maxQueuedFileTasks = 64
)

// fileWorker does the disk work of admin calls, and reads what other processes write.
type fileWorker struct {
	server  *server
	store   handoverStore
	cordons admin.Cordons // as read last
	tasks   <-chan func()
}

// run works until the server has stopped. The server doesn't wait for it, as the disk may be slow: the
// end of the process must not hang on it.
func (w *fileWorker) run() {
	ticker := time.NewTicker(handoverReadInterval)
	defer ticker.Stop()
	for {
		select {
		case task := <-w.tasks:
			task()
		case <-w.server.stopped:
			return
		case <-w.server.successorChecks:
			w.checkSuccessor()
		case <-ticker.C:
			w.readFiles()
		}
	}
}

// checkSuccessor looks for a successor on behalf of a shutdown, which begins with the result.
func (w *fileWorker) checkSuccessor() {
	s, found := w.server, w.store.hasSuccessor()
	s.loop.Post(func() {
		s.hasSuccessor = s.hasSuccessor || found
		s.beginShutdown()
	})
}

// readFiles takes up what other processes wrote since the last time.
func (w *fileWorker) readFiles() {
	s := w.server
	if w.store.hasSuccessor() {
		s.loop.Post(func() { s.hasSuccessor = true })
	}
	cordons, err := w.store.readCordons()
	if err != nil {
		s.log.Error("cordoned workers not read", "err", err)
		return
	}
	if !maps.Equal(cordons, w.cordons) {
		w.cordons = cordons
		s.loop.Post(func() { s.dispatcher.SetCordoned(s.loop.Now(), cordons) })
	}
}

package main

// This file owns the goroutine that reads and writes the handover files. The goroutine posts its results to the
// event loop and never accesses state that the loop changes.

import (
	"maps"
	"time"

	"ravenhitch/internal/admin"
)

const (
	// handoverReadInterval is the interval at which the files are read for changes by other processes.
	handoverReadInterval = 200 * time.Millisecond
	// maxQueuedFileTasks is the maximum number of admin calls that wait for the file worker. Further calls that
	// need disk work get an error.
	maxQueuedFileTasks = 64
)

// fileWorker does the disk work of admin calls and polls the handover files for changes by other processes.
type fileWorker struct {
	server  *server
	store   handoverStore
	cordons admin.Cordons // cordoned workers, as last read from the file
	tasks   <-chan func() // disk work of admin calls
}

// run does the disk work until the server has stopped. The server does not wait for run to return, because a
// slow disk must not delay the exit of the process.
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

// checkSuccessor checks whether this process has a successor. Stop requests this check before the shutdown begins.
// The function that checkSuccessor posts to the event loop stores the result and begins the shutdown.
func (w *fileWorker) checkSuccessor() {
	s, found := w.server, w.store.hasSuccessor()
	s.loop.Post(func() {
		s.hasSuccessor = s.hasSuccessor || found
		s.beginShutdown()
	})
}

// readFiles reads the handover files and posts what it finds to the event loop. It posts that there is a successor
// whenever it finds one. It posts the cordoned workers only if the list has changed since the last read. If the list
// cannot be read, readFiles logs the error, and the cordons stay as they are.
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

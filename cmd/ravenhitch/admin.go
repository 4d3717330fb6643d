package main

// This file carries out admin calls. A call that changes the handover files is answered with success only after the
// change is stored. Disk work never runs on the event loop: fileWorker.run does it on a goroutine of its own.

import (
	"fmt"

	"ravenhitch/internal/admin"
)

// listenAdmin cordons the workers that are listed in the handover files, listens for admin calls at addr and starts
// the file worker. dir is the directory of the handover files.
func (s *server) listenAdmin(addr, dir string) (err error) {
	store := newHandoverStore(dir)
	cordons, err := store.readCordons()
	if err != nil {
		return fmt.Errorf("read the cordoned workers: %w", err)
	}
	s.dispatcher.SetCordoned(s.loop.Now(), cordons)
	tasks := make(chan func(), maxQueuedFileTasks)
	calls := &adminCalls{server: s, store: store, tasks: tasks}
	if s.adminAddr, err = admin.NewListener(s.loop, s.log, calls.handle).Listen(addr); err != nil {
		return err
	}
	s.successorChecks = make(chan struct{}, 1)
	worker := &fileWorker{server: s, store: store, cordons: cordons, tasks: tasks}
	go worker.run() // run returns when the server has stopped
	return nil
}

// adminCalls carries out admin calls. Its methods run on the event loop.
type adminCalls struct {
	server         *server
	store          handoverStore
	tasks          chan<- func() // disk work for the file worker
	claimedServing bool          // true once the handover files name this process as the one that serves
}

// handle carries out one call and passes the reply to answer.
func (a *adminCalls) handle(call admin.Call, answer func([]byte)) {
	switch call.Verb {
	case admin.Health:
		a.health(answer)
	case admin.Dump:
		answer(a.server.dumpFigures().Reply())
	case admin.Peers:
		answer(a.server.statusReport())
	default:
		a.cordon(call, answer)
	}
}

// health answers whether this orchestrator is ready for clients. Before the first positive answer, it records
// in the handover files that this process serves. If that fails, the answer is an error, and the next call tries
// again.
func (a *adminCalls) health(answer func([]byte)) {
	switch {
	case a.server.shuttingDown:
		answer(admin.ErrorReply("ending"))
	case !a.server.follower.Synced():
		answer(admin.ErrorReply("the list of workers is not up to date"))
	case a.claimedServing:
		answer(admin.OKReply())
	default:
		a.runOffLoop(a.store.claimServing, answer, func() { a.claimedServing = true })
	}
}

// cordon stores the change that the call requests, and then cordons or uncordons the worker. If the worker is
// neither listed nor cordoned, the reply is an error and nothing changes.
func (a *adminCalls) cordon(call admin.Call, answer func([]byte)) {
	s := a.server
	if !s.dispatcher.HasWorker(call.ID) {
		answer(admin.ErrorReply("no worker " + call.ID))
		return
	}
	var cordons admin.Cordons
	change := func() (err error) {
		cordons, err = a.store.changeCordons(call)
		return err
	}
	a.runOffLoop(change, answer, func() { s.dispatcher.SetCordoned(s.loop.Now(), cordons) })
}

// runOffLoop queues work for the file worker. If work succeeds, apply runs on the event loop before the
// success reply. If work fails or the queue is full, the reply is an error and apply does not run.
func (a *adminCalls) runOffLoop(work func() error, answer func([]byte), apply func()) {
	s := a.server
	task := func() {
		err := work()
		s.loop.Post(func() {
			if err != nil {
				s.log.Error("admin call not stored", "err", err)
				answer(admin.ErrorReply("not kept: " + err.Error()))
				return
			}
			apply()
			answer(admin.OKReply())
		})
	}
	select {
	case a.tasks <- task:
	default:
		answer(admin.ErrorReply("too many calls"))
	}
}

// dumpFigures returns the figures that the admin call DUMP reports.
func (s *server) dumpFigures() admin.Figures {
	figures := admin.Figures{
		Responses: map[string]admin.Class{},
		Attempts:  s.pool.OffersSent(),
		Active:    s.dispatcher.OpenCount() + s.dispatcher.RunningCount(),
	}
	figures.Pool, figures.Ejected = s.dispatcher.PoolSize()
	for name, total := range s.dispatcher.ClassTotals() {
		figures.Responses[name] = admin.Class{OK: total.Started, Shed: total.Rejected, Errors: total.Failed}
	}
	return figures
}

package main

// This file owns what an admin call does. It must never answer a change with success before the change
// is stored, and never do disk work on the event loop: the file worker does that.

import (
	"fmt"

	"ravenhitch/internal/admin"
)

// listenAdmin starts to take admin calls at an address; dir holds the handover files.
func (s *server) listenAdmin(addr, dir string) (err error) {
	store := newHandoverStore(dir)
	cordons, err := store.readCordons()
	if err != nil {
		return fmt.Errorf("cordoned workers: %w", err)
	}
	s.dispatcher.SetCordoned(s.loop.Now(), cordons)
	tasks := make(chan func(), maxQueuedFileTasks)
	calls := &adminCalls{server: s, store: store, tasks: tasks}
	if s.adminAddr, err = admin.NewListener(s.loop, s.log, calls.handle).Listen(addr); err != nil {
		return err
	}
	s.successorChecks = make(chan struct{}, 1)
	worker := &fileWorker{server: s, store: store, cordons: cordons, tasks: tasks}
	go worker.run() // until the server has stopped
	return nil
}

// adminCalls carries out admin calls. It belongs to the event loop.
type adminCalls struct {
	server         *server
	store          handoverStore
	tasks          chan<- func() // run by the file worker
	claimedServing bool          // the handover files say that this process serves
}

// handle carries out one call.
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

// health answers whether clients may be sent here. The first success claims that this process serves.
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

// cordon cordons or uncordons a worker.
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

// runOffLoop has work done by the file worker. Where that succeeds it calls apply on the loop; it
// answers either way.
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

// dumpFigures are the figures that operators read by an admin call.
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

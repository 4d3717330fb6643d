package main

// This file joins the admin listener with the program: what an operator's call does. It
// must never answer yes before what was asked is kept, and never do disk work on the loop.

import (
	"fmt"
	"log/slog"
	"maps"
	"time"

	"ravenhitch/internal/admin"
)

// outsEvery is how often the file is read for what another process wrote.
const outsEvery = 200 * time.Millisecond

// listenAdmin starts to take operators' calls at an address; dir holds the files.
func (p *server) listenAdmin(addr, dir string, log *slog.Logger) (err error) {
	store := newHandoverStore(dir)
	outs, err := store.readCordons()
	if err != nil {
		return fmt.Errorf("minions out by hand: %w", err)
	}
	p.dispatcher.SetCordoned(p.loop.Now(), outs)
	calls := make(chan func(), 64)
	handle := p.adminHandler(store, calls)
	if p.adminAddr, err = admin.NewListener(p.loop, log, handle).Listen(addr); err != nil {
		return err
	}
	p.successorChecks = make(chan struct{}, 1)
	go p.runFileWorker(store, outs, calls)
	return nil
}

// adminHandler returns what carries out operators' calls.
func (p *server) adminHandler(store handoverStore, calls chan<- func()) admin.Handler {
	claimed := false // the file says that this process serves
	return func(c admin.Call, answer func([]byte)) {
		switch c.Verb {
		case admin.Health:
			switch {
			case p.shuttingDown:
				answer(admin.ErrorReply("ending"))
			case !p.follower.Synced():
				answer(admin.ErrorReply("the list of minions is not up to date"))
			case claimed:
				answer(admin.OKReply())
			default:
				p.runOffLoop(calls, store.claimServing, answer, func() { claimed = true })
			}
		case admin.Dump:
			answer(p.dumpFigures().Reply())
		case admin.Peers:
			answer(p.statusReport())
		default:
			p.cordon(store, calls, c, answer)
		}
	}
}

// cordon takes a minion out or puts it back.
func (p *server) cordon(store handoverStore, calls chan<- func(), c admin.Call, answer func([]byte)) {
	if !p.dispatcher.HasWorker(c.ID) {
		answer(admin.ErrorReply("no minion " + c.ID))
		return
	}
	var outs admin.Cordons
	p.runOffLoop(calls, func() (err error) { outs, err = store.changeCordons(c); return err }, answer,
		func() { p.dispatcher.SetCordoned(p.loop.Now(), outs) })
}

// runOffLoop has work on files done off the loop, then calls then on the loop, and answers.
func (p *server) runOffLoop(calls chan<- func(), work func() error, answer func([]byte), then func()) {
	task := func() {
		err := work()
		p.loop.Post(func() {
			if err != nil {
				p.log.Error("admin call not stored", "err", err)
				answer(admin.ErrorReply("not kept: " + err.Error()))
				return
			}
			then()
			answer(admin.OKReply())
		})
	}
	select {
	case calls <- task:
	default:
		answer(admin.ErrorReply("too many calls"))
	}
}

// runFileWorker does the work of calls on files, and reads what another process changed.
func (p *server) runFileWorker(store handoverStore, seen admin.Cordons, calls <-chan func()) {
	for tick := time.NewTicker(outsEvery); ; {
		select {
		case work := <-calls:
			work()
		case <-p.stopped:
			tick.Stop()
			return
		case <-p.successorChecks:
			successor := store.hasSuccessor()
			p.loop.Post(func() { p.hasSuccessor = p.hasSuccessor || successor; p.beginShutdown() })
		case <-tick.C:
			if store.hasSuccessor() {
				p.loop.Post(func() { p.hasSuccessor = true })
			}
			if outs, err := store.readCordons(); err != nil {
				p.log.Error("cordoned workers not read", "err", err)
			} else if !maps.Equal(outs, seen) {
				seen = outs
				p.loop.Post(func() { p.dispatcher.SetCordoned(p.loop.Now(), outs) })
			}
		}
	}
}

// dumpFigures is the figures as they stand.
func (p *server) dumpFigures() admin.Figures {
	f := admin.Figures{Responses: map[string]admin.Class{}, Attempts: p.pool.OffersSent(), Active: p.dispatcher.OpenCount() + p.dispatcher.RunningCount()}
	f.Pool, f.Ejected = p.dispatcher.PoolSize()
	for name, e := range p.dispatcher.ClassTotals() {
		f.Responses[name] = admin.Class{OK: e.Started, Shed: e.Rejected, Errors: e.Failed}
	}
	return f
}

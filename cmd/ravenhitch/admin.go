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
	outs, err := store.read()
	if err != nil {
		return fmt.Errorf("minions out by hand: %w", err)
	}
	p.c.SetCordoned(p.l.Now(), outs)
	calls := make(chan func(), 64)
	handle := p.adminHandler(store, calls)
	if p.maddr, err = admin.NewListener(p.l, log, handle).Listen(addr); err != nil {
		return err
	}
	p.look = make(chan struct{}, 1)
	go p.keep(store, outs, calls)
	return nil
}

// adminHandler returns what carries out operators' calls.
func (p *server) adminHandler(store handoverStore, calls chan<- func()) admin.Handler {
	claimed := false // the file says that this process serves
	return func(c admin.Call, answer func([]byte)) {
		switch c.Verb {
		case admin.Health:
			switch {
			case p.leaving:
				answer(admin.ErrorReply("ending"))
			case !p.channel.Synced():
				answer(admin.ErrorReply("the list of minions is not up to date"))
			case claimed:
				answer(admin.OKReply())
			default:
				p.beside(calls, store.claim, answer, func() { claimed = true })
			}
		case admin.Dump:
			answer(p.dump().Reply())
		case admin.Peers:
			answer(p.statusReport())
		default:
			p.hand(store, calls, c, answer)
		}
	}
}

// hand takes a minion out or puts it back.
func (p *server) hand(store handoverStore, calls chan<- func(), c admin.Call, answer func([]byte)) {
	if !p.c.HasWorker(c.ID) {
		answer(admin.ErrorReply("no minion " + c.ID))
		return
	}
	var outs admin.Cordons
	p.beside(calls, func() (err error) { outs, err = store.change(c); return err }, answer,
		func() { p.c.SetCordoned(p.l.Now(), outs) })
}

// beside has work on files done off the loop, then calls then on the loop, and answers.
func (p *server) beside(calls chan<- func(), work func() error, answer func([]byte), then func()) {
	task := func() {
		err := work()
		p.l.Post(func() {
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

// keep does the work of calls on files, and reads what another process changed.
func (p *server) keep(store handoverStore, seen admin.Cordons, calls <-chan func()) {
	for tick := time.NewTicker(outsEvery); ; {
		select {
		case work := <-calls:
			work()
		case <-p.over:
			tick.Stop()
			return
		case <-p.look:
			successor := store.claimed()
			p.l.Post(func() { p.successor = p.successor || successor; p.leave() })
		case <-tick.C:
			if store.claimed() {
				p.l.Post(func() { p.successor = true })
			}
			if outs, err := store.read(); err != nil {
				p.log.Error("cordoned workers not read", "err", err)
			} else if !maps.Equal(outs, seen) {
				seen = outs
				p.l.Post(func() { p.c.SetCordoned(p.l.Now(), outs) })
			}
		}
	}
}

// dump is the figures as they stand.
func (p *server) dump() admin.Figures {
	f := admin.Figures{Responses: map[string]admin.Class{}, Attempts: p.nodes.OffersSent(), Active: p.c.OpenCount() + p.c.RunningCount()}
	f.Pool, f.Ejected = p.c.PoolSize()
	for name, e := range p.c.ClassTotals() {
		f.Responses[name] = admin.Class{OK: e.Started, Shed: e.Rejected, Errors: e.Failed}
	}
	return f
}

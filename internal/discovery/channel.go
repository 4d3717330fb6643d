package discovery

// This file owns the connection to the command channel and the number of the
// last event heard. It asks without pause, since an event counts as told once it
// is in the channel. It must never skip an event, apply one twice, or stop asking.

import (
	"errors"
	"fmt"
	"log/slog"
	"strconv"

	"ravenhitch/internal/config"
	"ravenhitch/internal/dispatch"
	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/ratelog"
	"ravenhitch/internal/workerpool"
	"ravenhitch/placement"
)

const (
	// A call is given up blockMs and answerSlack after it was made. Where a channel that
	// fell silent is back, but not on the connection of that call, what it has to tell is
	// read within listWithin.
	blockMs     = 1000
	answerSlack = 800_000
	againAfter  = 100_000
	listWithin  = 2_000_000
	// followedAfter is how long what is known already takes to come at the most: the
	// channel answers at once where it has something to tell.
	followedAfter = 300_000
)

// Follower follows the command channel.
type Follower struct {
	l      *eventloop.Loop
	core   *dispatch.Dispatcher
	nodes  *workerpool.Pool
	log    *ratelog.Logger
	addr   string
	dialUs int64
	cursor int64
	c      *eventloop.Conn  // the call under way, or nil
	limit  *eventloop.Timer // of that call
	again  *eventloop.Timer // the next dial

	askedAt int64 // when it was first asked, or 0
	told    bool  // it has answered

	partition *partition // of the workers among orchestrators, nil where this one uses all
}

// Synced reports whether this process has been told what the channel knows: it has
// answered once, or was asked and had nothing to tell for followedAfter.
func (ch *Follower) Synced() bool {
	return ch.told || ch.askedAt > 0 && ch.l.Now()-ch.askedAt > followedAfter
}

// NewFollower returns a follower that begins after cursor.
func NewFollower(l *eventloop.Loop, c *dispatch.Dispatcher, n *workerpool.Pool, addr string, dialUs int64, log *slog.Logger) *Follower {
	return &Follower{l: l, core: c, nodes: n, addr: addr, dialUs: dialUs, log: ratelog.New(log)}
}

// Apply takes events in order; known says that they came with the configuration.
func (ch *Follower) Apply(u config.Update, known bool) {
	now := ch.l.Now()
	var all []placement.Entry
	at := map[string]int{}
	for _, ev := range u.Events {
		if ev.Cursor <= ch.cursor {
			continue
		}
		ch.cursor = ev.Cursor
		if !ev.HasNodes {
			continue
		}
		named := map[string]bool{}
		entries := make([]placement.Entry, 0, len(ev.Members))
		for _, m := range ev.Members {
			named[m.Worker] = true
			entries = append(entries, m.Entry)
		}
		if known {
			// The start's events are folded into one list.
			if ev.Complete {
				all, at = nil, map[string]int{}
			}
			for _, e := range entries {
				if i, ok := at[e.Worker]; ok {
					all[i] = e
					continue
				}
				at[e.Worker] = len(all)
				all = append(all, e)
			}
		}
		if ev.Complete {
			ch.nodes.RemoveUnlisted(named)
		}
		ch.listed(ev.Members, ev.Complete)
		for _, m := range ev.Members {
			ch.nodes.UpdateWorker(m.Worker, m.Addr, m.State != placement.Removed)
			ch.nodes.WorkerStarted(m.Worker, m.StartedAtUs)
		}
		if !known {
			kind := placement.ListDelta
			if ev.Complete {
				kind = placement.ListFull
			}
			ch.core.UpdateWorkers(now, placement.WorkerList{Kind: kind, Entries: entries})
		}
	}
	if known {
		var left []placement.Entry
		for _, e := range all {
			if e.State != placement.Removed {
				left = append(left, e)
			}
		}
		ch.core.UpdateWorkers(now, placement.WorkerList{Kind: placement.ListCached, Entries: left})
	}
	ch.cursor = max(ch.cursor, u.Cursor)
}

// Start begins to ask.
func (ch *Follower) Start() {
	c, err := ch.l.Dial(ch.addr, ch.dialUs, ch)
	if err != nil {
		ch.log.Warn("discovery unreachable", "err", err)
		ch.startIn(againAfter)
		return
	}
	ch.c = c
}

// startIn asks anew after a while. What the last call had not brought whole comes
// again, as the cursor stands after the last event that was applied.
func (ch *Follower) startIn(us int64) {
	ch.limit.Stop()
	ch.again.Stop()
	if ch.c != nil {
		ch.c.Close()
		ch.c = nil
	}
	ch.again = ch.l.After(us, ch.Start)
}

// SetAddress goes on at another address with what follows the last event. The old
// one tells nothing more, so what it was asked is dropped.
func (ch *Follower) SetAddress(addr string) {
	if addr != ch.addr {
		ch.addr = addr
		ch.startIn(0)
	}
}

func (ch *Follower) ask() {
	block := ch.partition.block()
	ch.c.Write([]byte(fmt.Sprintf("GET /cmd/next?resume=%d&block=%d%s HTTP/1.1\r\nHost: %s\r\n\r\n",
		ch.cursor, block, ch.partition.ask(), ch.addr)))
	if ch.askedAt == 0 {
		ch.askedAt = ch.l.Now()
	}
	ch.limit.Stop()
	ch.limit = ch.l.After(block*1000+answerSlack, func() {
		ch.log.Warn("discovery timed out", "cursor", ch.cursor)
		ch.startIn(0)
	})
}

// Opened implements loop.Handler.
func (ch *Follower) Opened(*eventloop.Conn) { ch.ask() }

// Closed implements loop.Handler.
func (ch *Follower) Closed(_ *eventloop.Conn, err error) {
	if !errors.Is(err, eventloop.ErrEOF) {
		ch.log.Warn("discovery disconnected", "cursor", ch.cursor, "err", err)
	}
	ch.startIn(againAfter)
}

// Data implements loop.Handler. One answer is owed at a time. What comes behind it was not
// asked for: taken as the next one, it would put all that follow one answer late.
func (ch *Follower) Data(_ *eventloop.Conn, b []byte) (int, error) {
	r, used, err := parseResponse(b)
	for err == nil && used > 0 && r.status >= 100 && r.status < 200 {
		var more int
		r, more, err = parseResponse(b[used:])
		if used += more; more == 0 {
			return used, err
		}
	}
	if err != nil || used == 0 {
		return 0, err
	}
	if r.status != 200 {
		return used, fmt.Errorf("%w: the command channel answered %s", ErrResponse, strconv.Itoa(r.status))
	}
	u, err := config.ParseUpdate(r.body)
	if err != nil {
		return used, err
	}
	for _, err := range u.Bad {
		ch.log.Warn("invalid worker entry skipped", "err", err)
	}
	ch.limit.Stop()
	ch.told = true
	ch.Apply(u, false)
	if ch.partition.answered() {
		ch.owned()
	}
	if used < len(b) {
		ch.log.Warn("unexpected bytes after discovery response", "cursor", ch.cursor)
	}
	if !r.keep || used < len(b) {
		ch.startIn(0)
		return used, nil
	}
	ch.ask()
	return used, nil
}

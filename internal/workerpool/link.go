package workerpool

// This file owns the connections to one worker: at most one for new offers, older ones until
// what is open on them has ended; when they are opened, given up and opened again, and what
// refused connections prove of the worker.

import (
	"errors"
	"fmt"
	"slices"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/jsonlines"
)

// link is one worker.
type link struct {
	n      *Pool
	id     string
	addr   string
	listed bool
	own    bool // this orchestrator places tasks there
	// startedAt is when the list says that the process of the worker began, 0 for long ago, and
	// restarted that this was not yet held against what stood there.
	startedAt int64
	restarted bool
	conns     []*workerConn // the last one takes new offers
	wait      int64         // before the next dial
	redial    *eventloop.Timer
	broke     bool // a connection was reset; a refused one now proves the death
	failed    bool // a connection failed or fell silent, and none came up since

	// refusedAt is since when connections were refused while nothing came, or 0.
	refusedAt int64
	fading    map[string]bool  // offers reset with their connection; the worker may not know yet
	wayUs     int64            // the least that a connection took to come up, 0 while none has
	unheard   map[string]int64 // releases of tasks that stand, and when they were first written
	goneAt    int64            // when a connection last ended that the worker may believe in
	openedAt  int64            // when one last came up, or one for late ends was opened
	prunedAt  int64            // when one was last closed here that the worker believed in till then
}

// usable returns the connection for new messages, perhaps one that is not up
// yet, or nil where none could even be started.
func (k *link) usable() *workerConn {
	if n := len(k.conns); n > 0 {
		nc := k.conns[n-1]
		if !nc.c.IsClosed() && !nc.stale() {
			nc.usedAt = k.n.l.Now()
			return nc
		}
	}
	if !k.n.makeRoom() {
		k.n.log.Warn("no descriptor for worker connection", "worker", k.id)
		return nil
	}
	return k.dial()
}

func (k *link) dial() *workerConn {
	if len(k.conns) >= maxStray {
		k.conns[0].end(eventloop.ErrBudget)
	}
	nc := &workerConn{k: k, open: map[string]*sent{}, probes: map[string]int64{}, dialAt: k.n.l.Now(), usedAt: k.n.l.Now()}
	c, err := k.n.l.Dial(k.addr, k.n.dialUs, nc)
	if err != nil {
		k.n.log.Warn("worker dial failed", "worker", k.id, "err", err)
		if errors.Is(err, unix.ECONNREFUSED) {
			k.refused()
		}
		k.later()
		return nil
	}
	nc.c = c
	k.conns = append(k.conns, nc)
	k.n.budget.WorkersConnected(1)
	return nc
}

// ensure keeps a connection to a listed worker of this orchestrator, where there is room: tasks
// that stand belong to no connection, and their end comes on any.
func (k *link) ensure() {
	if k.own && k.unconnected() && k.n.budget.AdmitsWorker() {
		k.dial()
	}
}

// takeStart holds a new start of the worker against what stood there before, once no connection
// is left that was opened before it: where one is, the process lives that held it, whatever the list
// says. A worker that dies and starts while it has no connection shows neither a reset nor, if it is
// quick, refused connections for long.
func (k *link) takeStart() {
	older := func(nc *workerConn) bool { return nc.c.IsUp() && nc.dialAt < k.startedAt }
	if !k.restarted || slices.ContainsFunc(k.conns, older) {
		return
	}
	k.restarted = false
	k.n.core.WorkerRestarted(k.n.l.Now(), k.id, k.startedAt)
}

// part closes the connection to a worker of another orchestrator that nothing waits on. No task
// stands there.
func (k *link) part() {
	if !k.own && len(k.conns) == 1 && k.conns[0].isIdle() {
		k.conns[0].end(nil)
	}
}

// require keeps a connection to a listed worker where tasks stand: others make room for it.
func (k *link) require() {
	if k.unconnected() && k.n.makeRoom() {
		k.dial()
	}
}

// unconnected reports whether a listed worker has no connection, and none is due.
func (k *link) unconnected() bool {
	return k.listed && len(k.conns) == 0 && (k.redial == nil || !k.redial.Pending())
}

// later dials again after a while that grows with each failure.
func (k *link) later() {
	if !k.listed || k.redial != nil && k.redial.Pending() {
		return
	}
	k.wait = min(maxRedial, max(minRedial, k.wait*2))
	k.redial = k.n.l.After(k.wait, func() {
		if k.own && k.listed && len(k.conns) == 0 && k.n.budget.AdmitsWorker() {
			k.dial()
		}
	})
}

// refused takes a refused connection: nobody listens there. After a reset that proves the
// death of the process. Else it may have gone without a word, or may only take no further
// connections: then it answers a test on those that it has. Where nothing comes while
// connections are refused for deadEntriesAfter, it is dead, and nobody will tell what stood there.
func (k *link) refused() {
	now := k.n.l.Now()
	if k.refusedAt == 0 {
		k.refusedAt = now
		for _, nc := range k.conns {
			if nc.c.IsUp() && k.n.tests {
				nc.send(&jsonlines.Message{Verb: jsonlines.VerbEcho, Tag: fmt.Sprintf("%016x", now), HasRC: true})
			}
		}
	}
	wait := int64(deadAfter)
	if !k.n.tests {
		wait = deadUntested
	}
	if !k.broke && now-k.refusedAt < wait {
		return
	}
	k.broke, k.refusedAt = false, 0
	k.n.log.Warn("worker died", "worker", k.id)
	k.n.later(func() {
		for len(k.conns) > 0 {
			k.conns[0].end(errSilent)
		}
		k.later()
		k.n.core.WorkerDied(k.n.l.Now(), k.id)
	})
}

// prune closes older connections with nothing on them.
func (k *link) prune() {
	for i := 0; i < len(k.conns)-1; {
		if nc := k.conns[i]; len(nc.open) == 0 && k.conns[len(k.conns)-1].c.IsUp() {
			k.prunedAt = k.n.l.Now()
			nc.end(nil)
			continue
		}
		i++
	}
}

func (k *link) closeAll() {
	for len(k.conns) > 0 {
		k.conns[0].end(nil)
	}
}

package storm

import (
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// This file owns the history of a storm, as machines and owners saw it, and what must
// hold of each set-up: one final answer, one attempt out, none begun after the end.

// what happened to a set-up.
type what int

const (
	begins   what = iota // an offer reached a machine
	refuses              // the machine turned it away
	accepts              // or took it
	givesUp              // it was withdrawn there
	answered             // its owner got the final answer
)

// step is one operation on a set-up.
type step struct {
	tag  string
	what what
	node string // that took part; of an answer "stands", "refused" or "failed"
}

// life is what has become of a set-up.
type life struct {
	out   string // the machine that an attempt is out to
	stood string // the machine that took it
	final string
}

// history notes operations. The zero value is ready.
type history struct {
	mu    sync.Mutex
	begun time.Time
	sent  map[string]int64
	ops   []porcupine.Operation
}

func (h *history) now() int64 {
	if h.begun.IsZero() {
		h.begun = time.Now()
		h.sent = map[string]int64{}
	}
	return int64(time.Since(h.begun))
}

// asked notes that an owner sends a set-up.
func (h *history) asked(tag string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent[tag] = h.now()
}

// add notes an operation that was seen now. What a machine reads late happened at the
// orchestrator some time since the set-up was sent; what a machine says happens now.
func (h *history) add(s step) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	from := h.sent[s.tag]
	if s.what == refuses || s.what == accepts {
		from = now
	}
	h.ops = append(h.ops, porcupine.Operation{Input: s, Call: from, Return: now, ClientId: len(h.ops)})
}

var model = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, o := range ops {
			tag := o.Input.(step).tag
			by[tag] = append(by[tag], o)
		}
		var out [][]porcupine.Operation
		for _, o := range by {
			out = append(out, o)
		}
		return out
	},
	Init: func() any { return life{} },
	Step: func(state, input, _ any) (bool, any) {
		l, s := state.(life), input.(step)
		switch s.what {
		case begins:
			ok := l.out == "" && l.stood == "" && l.final == ""
			l.out = s.node
			return ok, l
		case refuses:
			ok := l.out == s.node
			l.out = ""
			return ok, l
		case accepts:
			if l.out != s.node {
				return true, l // given up meanwhile: a copy, which the machine is told to end
			}
			l.out, l.stood = "", s.node
			return true, l
		case givesUp:
			if l.out == s.node {
				l.out = ""
			}
			return true, l
		}
		ok := l.final == "" && (s.node == "stands") == (l.stood != "")
		l.final = s.node
		return ok, l
	},
	Equal: func(a, b any) bool { return a == b },
}

// check reports whether the history can have come of set-ups that each keep the rules.
func (h *history) check(limit time.Duration) porcupine.CheckResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	return porcupine.CheckOperationsTimeout(model, h.ops, limit)
}

// The checker finds what it is there to find.
func TestHistoriesThatBreakRules(t *testing.T) {
	for name, steps := range map[string][]step{
		"two attempts out":           {{"t", begins, "a"}, {"t", begins, "b"}, {"t", refuses, "a"}},
		"two final answers":          {{"t", answered, "refused"}, {"t", answered, "refused"}},
		"an attempt after the end":   {{"t", begins, "a"}, {"t", accepts, "a"}, {"t", answered, "stands"}, {"t", begins, "b"}, {"t", refuses, "b"}},
		"a yes that no machine gave": {{"t", begins, "a"}, {"t", refuses, "a"}, {"t", answered, "stands"}},
		"a no where one took it":     {{"t", begins, "a"}, {"t", accepts, "a"}, {"t", answered, "refused"}},
	} {
		var h history
		h.now()
		for i, s := range steps {
			h.ops = append(h.ops, porcupine.Operation{Input: s, Call: int64(2 * i), Return: int64(2*i + 1), ClientId: i})
		}
		if r := h.check(time.Second); r != porcupine.Illegal {
			t.Errorf("%s: %s", name, r)
		}
	}
}

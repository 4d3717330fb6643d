package testbed

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// This file owns schedules of faults: their text, how they are drawn from a seed, and how
// one that fails is made shorter. A schedule is steps with ; between them:
//
//	2s cut a->b; 4s pause c 3s; 6s kill d empty; 8s heal
//
// A way is a->b, a<->b, hall-x (all ways between a hall and the others) or all.

// Step is one fault.
type Step struct {
	At    time.Duration
	Verb  string
	Where string   // a process or a way, "" with heal
	Args  []string // as the verb has them
}

// verbs are what may be done, to what, and with how many arguments at least and at most.
var verbs = map[string]struct {
	way         bool
	least, most int
	args        string
}{
	"cut": {true, 0, 1, "[but PROCESS]"}, "refuse": {true, 0, 0, ""}, "reset": {true, 0, 0, ""},
	"delay": {true, 1, 2, "TIME [JITTER]"}, "loss": {true, 1, 1, "SHARE"}, "twice": {true, 1, 1, "SHARE"},
	"overtake": {true, 1, 1, "SHARE"}, "bandwidth": {true, 1, 1, "BYTES"}, "flap": {true, 1, 1, "TIME"},
	"mend": {true, 0, 0, ""}, "pause": {false, 1, 1, "TIME"}, "kill": {false, 0, 0, ""}, "term": {false, 0, 0, ""},
	"start": {false, 0, 1, "[empty | old]"}, "restart": {false, 0, 1, "[empty | old]"},
}

func (s Step) String() string {
	words := []string{s.At.String(), s.Verb}
	if s.Where != "" {
		words = append(words, s.Where)
	}
	return strings.Join(append(words, s.Args...), " ")
}

// Text is a schedule as ParseSchedule reads it.
func Text(steps []Step) string {
	var out []string
	for _, s := range steps {
		out = append(out, s.String())
	}
	return strings.Join(out, "; ")
}

// ErrSchedule is wrapped by what is wrong with a schedule.
var ErrSchedule = errors.New("schedule")

// ParseSchedule reads a schedule.
func ParseSchedule(text string) (steps []Step, err error) {
	for n, part := range strings.Split(text, ";") {
		words := strings.Fields(part)
		if len(words) == 0 {
			continue
		}
		bad := func(want, got string) ([]Step, error) {
			return nil, fmt.Errorf("%w: step %d: expected %s, got %.40q", ErrSchedule, n+1, want, got)
		}
		s := Step{}
		if s.At, err = time.ParseDuration(words[0]); err != nil || s.At < 0 {
			return bad("a time, as 2s or 500ms", words[0])
		}
		if len(words) < 2 {
			return bad("what is done", "")
		}
		s.Verb = words[1]
		if s.Verb == "heal" {
			if len(words) > 2 {
				return bad("nothing after heal", words[2])
			}
			steps = append(steps, s)
			continue
		}
		v, ok := verbs[s.Verb]
		if !ok {
			return bad("one of "+strings.Join(slices.Sorted(mapKeys), ", "), s.Verb)
		}
		if len(words) < 3 {
			return bad("a process or a way after "+s.Verb, "")
		}
		if s.Where, s.Args = words[2], words[3:]; s.Verb == "cut" && len(s.Args) == 2 && s.Args[0] == "but" {
			s.Args = []string{"but", s.Args[1]}
		} else if len(s.Args) < v.least || len(s.Args) > v.most || s.Verb == "cut" && len(s.Args) > 0 {
			return bad(fmt.Sprintf("%s %s %s", s.Verb, s.Where, v.args), part)
		}
		for i, a := range s.Args {
			if want := wrong(s.Verb, i, a); want != "" {
				return bad(want, a)
			}
		}
		steps = append(steps, s)
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps, nil
}

func mapKeys(yield func(string) bool) {
	if !yield("heal") {
		return
	}
	for v := range verbs {
		if !yield(v) {
			return
		}
	}
}

// wrong says what was expected in place of an argument, "" where it will do.
func wrong(verb string, i int, a string) string {
	switch verb {
	case "delay", "pause", "flap":
		if d, err := time.ParseDuration(a); err != nil || d < 0 || verb == "flap" && d == 0 {
			return "a time, as 2s or 500ms"
		}
	case "loss", "twice", "overtake":
		if p, err := strconv.ParseFloat(a, 64); err != nil || !(p >= 0 && p <= 1) {
			return "a share of 0 to 1"
		}
	case "bandwidth":
		if n, err := strconv.Atoi(a); err != nil || n < 1 {
			return "bytes a second, 1 or more"
		}
	case "start", "restart":
		if a != "empty" && a != "old" {
			return "empty or old"
		}
	}
	return ""
}

// Draw makes a schedule of faults that are all over, and healed, by the end of the time.
// The names are those of processes by hall. At most a third of the processes is ended.
func Draw(seed uint64, halls map[string][]string, length time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, 6))
	var names, hallNames []string
	for h, of := range halls {
		hallNames = append(hallNames, h)
		names = append(names, of...)
	}
	slices.Sort(names)
	slices.Sort(hallNames)
	r.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	kinds := []string{"kill", "restart", "pause", "oneway", "loss", "flap", "delay", "hall", "bridge", "twice", "refuse"}
	r.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	// The first always have somebody end and a way that carries in one direction only.
	kinds = append([]string{"kill", "oneway"}, kinds...)
	var steps []Step
	add := func(at time.Duration, verb, where string, args ...string) {
		steps = append(steps, Step{At: at.Round(100 * time.Millisecond), Verb: verb, Where: where, Args: args})
	}
	heal := length - 3*time.Second
	ended, next := 0, 0
	// Each process has its own fault, so that it can be told what each did.
	take := func() string { next++; return names[next-1] }
	at := time.Second
	for _, kind := range kinds {
		at += time.Duration(r.Int64N(int64(1200 * time.Millisecond)))
		if at > heal-2*time.Second {
			break
		}
		most := len(names) - next // processes without a fault
		if needs := map[string]int{"oneway": 2, "refuse": 2, "flap": 2, "kill": 1, "restart": 1, "pause": 1, "bridge": 1}[kind]; needs > most {
			continue
		}
		switch kind {
		case "kill":
			if ended++; ended > len(names)/3 || at > heal-9*time.Second {
				continue
			}
			add(at, "kill", take())
		case "restart":
			add(at, "restart", take(), []string{"empty", "old"}[r.IntN(2)])
		case "pause":
			add(at, "pause", take(), fmt.Sprintf("%dms", 500+r.IntN(2300)))
		case "oneway":
			add(at, "cut", take()+"->"+take())
		case "refuse":
			add(at, "refuse", take()+"->"+take())
		case "loss":
			add(at, "loss", "all", fmt.Sprintf("%.2f", 0.05+0.15*r.Float64()))
		case "twice":
			add(at, "twice", "all", "0.10")
			add(at, "overtake", "all", "0.10")
		case "flap":
			add(at, "flap", take()+"<->"+take(), "700ms")
		case "delay":
			add(at, "delay", "all", "5ms", "20ms")
		case "hall":
			h := hallNames[r.IntN(len(hallNames))]
			add(at, "cut", h)
			add(min(heal, at+time.Duration(1500+r.IntN(3000))*time.Millisecond), "mend", h)
		case "bridge":
			h := hallNames[r.IntN(len(hallNames))]
			add(at, "cut", h, "but", take())
		}
	}
	steps = append(steps, Step{At: heal, Verb: "heal"})
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

// Shrink leaves out what a failing schedule does not need to fail.
func Shrink(steps []Step, fails func([]Step) bool) []Step {
	for i := 0; i < len(steps); {
		if less := slices.Delete(slices.Clone(steps), i, i+1); steps[i].Verb != "heal" && fails(less) {
			steps = less
		} else {
			i++
		}
	}
	return steps
}

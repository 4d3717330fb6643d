package testbed

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// This file owns the text form of fault schedules: steps with ; between them.
//
//	2s cut a->b; 4s pause c 3s; 6s kill d empty; 8s heal
//
// A path is a->b, a<->b, hall-x (all paths between a zone and the others) or all. The words
// of the text form are the program's command line: they must never change.

// Verbs of a schedule.
const (
	verbCut       = "cut"
	verbRefuse    = "refuse"
	verbReset     = "reset"
	verbDelay     = "delay"
	verbLoss      = "loss"
	verbDuplicate = "twice"
	verbReorder   = "overtake"
	verbBandwidth = "bandwidth"
	verbFlap      = "flap"
	verbMend      = "mend"
	verbPause     = "pause"
	verbKill      = "kill"
	verbTerminate = "term"
	verbStart     = "start"
	verbRestart   = "restart"
	verbHeal      = "heal"
)

// allPaths names the paths between all processes, and except those that a cut spares.
const (
	allPaths = "all"
	except   = "but"
)

// What the folder of a process that is started again holds.
const (
	folderEmpty = "empty"
	folderOld   = "old"
)

// Step is one fault, or the end of faults.
type Step struct {
	At    time.Duration // since the begin of the schedule
	Verb  string
	Where string   // a process or a path, "" with heal
	Args  []string // as the verb has them
}

// verbForm says what a verb takes.
type verbForm struct {
	minArgs, maxArgs int // but for a cut
	usage            string
}

// verbForms are those of all verbs but heal, which takes nothing.
var verbForms = map[string]verbForm{
	verbCut:       {usage: "[but PROCESS]"},
	verbRefuse:    {},
	verbReset:     {},
	verbDelay:     {minArgs: 1, maxArgs: 2, usage: "TIME [JITTER]"},
	verbLoss:      {minArgs: 1, maxArgs: 1, usage: "SHARE"},
	verbDuplicate: {minArgs: 1, maxArgs: 1, usage: "SHARE"},
	verbReorder:   {minArgs: 1, maxArgs: 1, usage: "SHARE"},
	verbBandwidth: {minArgs: 1, maxArgs: 1, usage: "BYTES"},
	verbFlap:      {minArgs: 1, maxArgs: 1, usage: "TIME"},
	verbMend:      {},
	verbPause:     {minArgs: 1, maxArgs: 1, usage: "TIME"},
	verbKill:      {},
	verbTerminate: {},
	verbStart:     {maxArgs: 1, usage: "[empty | old]"},
	verbRestart:   {maxArgs: 1, usage: "[empty | old]"},
}

// String is the step as ParseSchedule reads it.
func (s Step) String() string {
	words := []string{s.At.String(), s.Verb}
	if s.Where != "" {
		words = append(words, s.Where)
	}
	return strings.Join(append(words, s.Args...), " ")
}

// Text is a schedule as ParseSchedule reads it.
func Text(steps []Step) string {
	var texts []string
	for _, step := range steps {
		texts = append(texts, step.String())
	}
	return strings.Join(texts, "; ")
}

// ErrSchedule is wrapped by every ScheduleError.
var ErrSchedule = errors.New("schedule")

// ScheduleError says which step of a schedule is invalid, and why.
type ScheduleError struct {
	Step          int // from 1
	Expected, Got string
}

func (e *ScheduleError) Error() string {
	return fmt.Sprintf("%s: step %d: expected %s, got %.40q", ErrSchedule, e.Step, e.Expected, e.Got)
}

// Unwrap returns ErrSchedule.
func (e *ScheduleError) Unwrap() error { return ErrSchedule }

// ParseSchedule reads a schedule, and sorts its steps by time. Its errors are ScheduleErrors.
func ParseSchedule(text string) (steps []Step, err error) {
	for i, part := range strings.Split(text, ";") {
		if strings.TrimSpace(part) == "" {
			continue
		}
		step, expected, got := parseStep(part)
		if expected != "" {
			return nil, &ScheduleError{Step: i + 1, Expected: expected, Got: got}
		}
		steps = append(steps, step)
	}
	sortByTime(steps)
	return steps, nil
}

func sortByTime(steps []Step) {
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
}

// parseStep reads one step; expected is "" where it is valid.
func parseStep(part string) (step Step, expected, got string) {
	words := strings.Fields(part)
	var err error
	if step.At, err = time.ParseDuration(words[0]); err != nil || step.At < 0 {
		return step, "a time, as 2s or 500ms", words[0]
	}
	if len(words) < 2 {
		return step, "what is done", ""
	}
	step.Verb = words[1]
	if step.Verb == verbHeal {
		if len(words) > 2 {
			return step, "nothing after heal", words[2]
		}
		return step, "", ""
	}
	form, known := verbForms[step.Verb]
	if !known {
		return step, "one of " + strings.Join(verbNames(), ", "), step.Verb
	}
	if len(words) < 3 {
		return step, "a process or a way after " + step.Verb, ""
	}
	step.Where, step.Args = words[2], words[3:]
	if !form.takes(step) {
		return step, fmt.Sprintf("%s %s %s", step.Verb, step.Where, form.usage), part
	}
	for _, arg := range step.Args {
		if expected := expectedArg(step.Verb, arg); expected != "" {
			return step, expected, arg
		}
	}
	return step, "", ""
}

// takes reports whether a step has as many arguments as its verb takes. Those of a cut are
// two words: but PROCESS.
func (f verbForm) takes(step Step) bool {
	if step.Verb == verbCut {
		return len(step.Args) == 0 || len(step.Args) == 2 && step.Args[0] == except
	}
	return len(step.Args) >= f.minArgs && len(step.Args) <= f.maxArgs
}

func verbNames() []string {
	names := []string{verbHeal}
	for verb := range verbForms {
		names = append(names, verb)
	}
	slices.Sort(names)
	return names
}

// expectedArg says what was expected in place of an argument, "" where it is valid.
func expectedArg(verb, arg string) string {
	switch verb {
	case verbDelay, verbPause, verbFlap:
		if d, err := time.ParseDuration(arg); err != nil || d < 0 || verb == verbFlap && d == 0 {
			return "a time, as 2s or 500ms"
		}
	case verbLoss, verbDuplicate, verbReorder:
		if share, err := strconv.ParseFloat(arg, 64); err != nil || !(share >= 0 && share <= 1) {
			return "a share of 0 to 1"
		}
	case verbBandwidth:
		if bytes, err := strconv.Atoi(arg); err != nil || bytes < 1 {
			return "bytes a second, 1 or more"
		}
	case verbStart, verbRestart:
		if arg != folderEmpty && arg != folderOld {
			return "empty or old"
		}
	}
	return ""
}

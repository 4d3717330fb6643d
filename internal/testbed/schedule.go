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
	VerbCut       = "cut"
	VerbRefuse    = "refuse"
	VerbReset     = "reset"
	VerbDelay     = "delay"
	VerbLoss      = "loss"
	VerbDuplicate = "twice"
	VerbReorder   = "overtake"
	VerbBandwidth = "bandwidth"
	VerbFlap      = "flap"
	VerbMend      = "mend"
	VerbPause     = "pause"
	VerbKill      = "kill"
	VerbTerminate = "term"
	VerbStart     = "start"
	VerbRestart   = "restart"
	VerbHeal      = "heal"
)

// AllPaths is the path of a step on all paths between orchestrators.
const AllPaths = "all"

// except stands before the process that a cut spares.
const except = "but"

// What the folder of a process that is started again holds.
const (
	FolderEmpty = "empty"
	FolderOld   = "old"
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
	VerbCut:       {usage: "[but PROCESS]"},
	VerbRefuse:    {},
	VerbReset:     {},
	VerbDelay:     {minArgs: 1, maxArgs: 2, usage: "TIME [JITTER]"},
	VerbLoss:      {minArgs: 1, maxArgs: 1, usage: "SHARE"},
	VerbDuplicate: {minArgs: 1, maxArgs: 1, usage: "SHARE"},
	VerbReorder:   {minArgs: 1, maxArgs: 1, usage: "SHARE"},
	VerbBandwidth: {minArgs: 1, maxArgs: 1, usage: "BYTES"},
	VerbFlap:      {minArgs: 1, maxArgs: 1, usage: "TIME"},
	VerbMend:      {},
	VerbPause:     {minArgs: 1, maxArgs: 1, usage: "TIME"},
	VerbKill:      {},
	VerbTerminate: {},
	VerbStart:     {maxArgs: 1, usage: "[empty | old]"},
	VerbRestart:   {maxArgs: 1, usage: "[empty | old]"},
}

// String is the step as ParseSchedule reads it.
func (s Step) String() string {
	words := []string{s.At.String(), s.Verb}
	if s.Where != "" {
		words = append(words, s.Where)
	}
	return strings.Join(append(words, s.Args...), " ")
}

// OnProcess reports whether the step is on a process, and not on a path or on everything.
func (s Step) OnProcess() bool {
	switch s.Verb {
	case VerbPause, VerbKill, VerbTerminate, VerbStart, VerbRestart:
		return true
	}
	return false
}

// Spares reports whether a cut leaves the paths of a process open.
func (s Step) Spares(process string) bool { return len(s.Args) == 2 && s.Args[1] == process }

// Duration is an argument, a length of time, of a step that ParseSchedule or Draw made.
func (s Step) Duration(arg int) time.Duration {
	d, _ := time.ParseDuration(s.Args[arg]) // ParseSchedule has checked it
	return d
}

// Number is an argument, a share or a count, of a step that ParseSchedule or Draw made.
func (s Step) Number(arg int) float64 {
	number, _ := strconv.ParseFloat(s.Args[arg], 64) // ParseSchedule has checked it
	return number
}

// FormatSchedule is a schedule as ParseSchedule reads it.
func FormatSchedule(steps []Step) string {
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

// Error says which step it is, what was expected, and what was there.
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
	if step.Verb == VerbHeal {
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
	if step.Verb == VerbCut {
		return len(step.Args) == 0 || len(step.Args) == 2 && step.Args[0] == except
	}
	return len(step.Args) >= f.minArgs && len(step.Args) <= f.maxArgs
}

func verbNames() []string {
	names := []string{VerbHeal}
	for verb := range verbForms {
		names = append(names, verb)
	}
	slices.Sort(names)
	return names
}

// expectedArg says what was expected in place of an argument, "" where it is valid.
func expectedArg(verb, arg string) string {
	switch verb {
	case VerbDelay, VerbPause, VerbFlap:
		if d, err := time.ParseDuration(arg); err != nil || d < 0 || verb == VerbFlap && d == 0 {
			return "a time, as 2s or 500ms"
		}
	case VerbLoss, VerbDuplicate, VerbReorder:
		if share, err := strconv.ParseFloat(arg, 64); err != nil || !(share >= 0 && share <= 1) {
			return "a share of 0 to 1"
		}
	case VerbBandwidth:
		if bytes, err := strconv.Atoi(arg); err != nil || bytes < 1 {
			return "bytes a second, 1 or more"
		}
	case VerbStart, VerbRestart:
		if arg != FolderEmpty && arg != FolderOld {
			return "empty or old"
		}
	}
	return ""
}

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

// This file owns the text form of fault schedules: steps separated by semicolons.
//
//	2s cut a->b; 4s pause c 3s; 6s restart d empty; 8s heal
//
// A path is a->b, a<->b, hall-x (all paths between the zone hall-x and the other zones) or all.
// The words of the text form are part of the program's command line and must never change.

// Verbs of schedule steps.
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

// AllPaths is the word in a step that stands for all paths between orchestrators.
const AllPaths = "all"

// except is the word before the name of the process that a cut does not affect.
const except = "but"

// Arguments of a start or restart. A process stores how often it was started. With FolderEmpty, it finds no stored
// count. With FolderOld, it finds the count that its first start stored. Without an argument, it finds the count that
// its last start stored.
const (
	FolderEmpty = "empty"
	FolderOld   = "old"
)

// Step starts or ends faults at one time of a schedule.
type Step struct {
	At    time.Duration // since the start of the schedule
	Verb  string
	Where string   // process or path, "" for heal
	Args  []string // arguments of the verb
}

// verbForm describes the arguments of a verb.
type verbForm struct {
	minArgs, maxArgs int    // minimum and maximum number of arguments, unused for cut
	usage            string // the arguments as error messages show them
}

// verbForms contains the forms of all verbs except heal. A heal step has no process, path or arguments.
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

// String returns the step in the form that ParseSchedule reads.
func (s Step) String() string {
	words := []string{s.At.String(), s.Verb}
	if s.Where != "" {
		words = append(words, s.Where)
	}
	return strings.Join(append(words, s.Args...), " ")
}

// OnProcess reports whether the step affects a process. Any other step affects paths.
func (s Step) OnProcess() bool {
	switch s.Verb {
	case VerbPause, VerbKill, VerbTerminate, VerbStart, VerbRestart:
		return true
	}
	return false
}

// Spares reports whether the step is a cut that leaves out the paths of the given process.
func (s Step) Spares(process string) bool { return len(s.Args) == 2 && s.Args[1] == process }

// Duration returns the argument with the given index, which must be a duration. The step must come from
// ParseSchedule or DrawSchedule.
func (s Step) Duration(arg int) time.Duration {
	d, _ := time.ParseDuration(s.Args[arg]) // no error: ParseSchedule or DrawSchedule made sure that the argument is valid
	return d
}

// Number returns the argument with the given index, which must be a fraction or a count. The step must come from
// ParseSchedule or DrawSchedule.
func (s Step) Number(arg int) float64 {
	number, _ := strconv.ParseFloat(s.Args[arg], 64) // no error, as in Duration
	return number
}

// FormatSchedule returns a schedule in the form that ParseSchedule reads.
func FormatSchedule(steps []Step) string {
	var texts []string
	for _, step := range steps {
		texts = append(texts, step.String())
	}
	return strings.Join(texts, "; ")
}

// ErrSchedule is wrapped by every ScheduleError.
var ErrSchedule = errors.New("schedule")

// ScheduleError describes an invalid step of a schedule.
type ScheduleError struct {
	Step          int // number of the step in the schedule, starting at 1; empty steps count
	Expected, Got string
}

// Error returns the number of the step, the text that was expected and the text that was found.
func (e *ScheduleError) Error() string {
	return fmt.Sprintf("%s: step %d: expected %s, got %.40q", ErrSchedule, e.Step, e.Expected, e.Got)
}

// Unwrap returns ErrSchedule.
func (e *ScheduleError) Unwrap() error { return ErrSchedule }

// ParseSchedule parses a schedule and sorts its steps by time. Every error is a *ScheduleError.
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

// parseStep parses one step. If the step is valid, expected is "". Otherwise expected and got describe the error as
// in a ScheduleError.
func parseStep(part string) (step Step, expected, got string) {
	words := strings.Fields(part)
	var err error
	if step.At, err = time.ParseDuration(words[0]); err != nil || step.At < 0 {
		return step, "a time such as 2s or 500ms", words[0]
	}
	if len(words) < 2 {
		return step, "a verb after the time, such as cut or heal", ""
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
		return step, "a process or a path after " + step.Verb, ""
	}
	step.Where, step.Args = words[2], words[3:]
	if !form.acceptsArgCount(step) {
		return step, fmt.Sprintf("%s %s %s", step.Verb, step.Where, form.usage), part
	}
	for _, arg := range step.Args {
		if expected := expectedArg(step.Verb, arg); expected != "" {
			return step, expected, arg
		}
	}
	return step, "", ""
}

// acceptsArgCount reports whether the verb of a step allows its number of arguments. A cut has either no
// arguments or the two arguments "but PROCESS".
func (f verbForm) acceptsArgCount(step Step) bool {
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

// expectedArg returns "" if an argument is valid, and otherwise a description of the valid values.
func expectedArg(verb, arg string) string {
	switch verb {
	case VerbDelay, VerbPause, VerbFlap:
		if d, err := time.ParseDuration(arg); err != nil || d < 0 || verb == VerbFlap && d == 0 {
			return "a time such as 2s or 500ms"
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

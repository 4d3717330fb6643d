package main

// This file owns the parsing of sub-commands. Each sub-command ends by itself, and none serves.

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// commands are the sub-commands that may follow the program's name. The names of fields and tags are
// the names of commands and flags.
type commands struct {
	Peers    peersCommand    `cmd:"" help:"Print who a running orchestrator believes is there."`
	Rehearse rehearseCommand `cmd:"" help:"Play faults between orchestrators on this machine, and show what comes of it."`
}

const (
	exitFailure = 1
	// notExited is no exit code: kong has not asked for the end of the process.
	notExited = -1
)

// runCommand runs a sub-command and returns the exit code.
func runCommand(args []string, out, errs io.Writer) int {
	exitCode, err := parseAndRun(args, out, errs)
	if err != nil {
		_, _ = fmt.Fprintln(errs, "ravenhitch:", err) // nowhere else to report to
		return exitFailure
	}
	return exitCode
}

func parseAndRun(args []string, out, errs io.Writer) (exitCode int, err error) {
	exitCode = notExited
	parser, err := kong.New(new(commands), kong.Name("ravenhitch"), kong.Description("Without a command it serves; see -h."),
		kong.Writers(out, errs), kong.Exit(func(code int) { exitCode = code }), kong.BindTo(out, (*io.Writer)(nil)))
	if err != nil {
		return exitCode, err
	}
	parsed, err := parser.Parse(args)
	if exitCode != notExited {
		return exitCode, nil // help was requested, and printed
	}
	if err != nil {
		return exitCode, err
	}
	return 0, parsed.Run()
}

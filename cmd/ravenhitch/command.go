package main

// This file parses and runs the sub-commands. Each sub-command ends by itself, and none serves clients.

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// commands lists the sub-commands of the program. Kong derives the names of commands and flags from the field
// names and tags.
type commands struct {
	Peers    peersCommand    `cmd:"" help:"Print who a running orchestrator believes is there."`
	Rehearse rehearseCommand `cmd:"" help:"Play faults between orchestrators on this machine, and show what comes of it."`
}

const (
	exitFailure = 1
	// notExited stands for the absence of an exit code: kong has not called its exit function.
	notExited = -1
)

// runCommand runs a sub-command and returns the exit code.
func runCommand(args []string, out, errs io.Writer) int {
	exitCode, err := parseAndRun(args, out, errs)
	if err != nil {
		_, _ = fmt.Fprintln(errs, "ravenhitch:", err) // a failed write to standard error cannot be reported anywhere
		return exitFailure
	}
	return exitCode
}

// parseAndRun parses the arguments and runs the sub-command that they name. If kong has printed the help
// instead, it returns the exit code that kong requested.
func parseAndRun(args []string, out, errs io.Writer) (exitCode int, err error) {
	exitCode = notExited
	parser, err := kong.New(new(commands), kong.Name("ravenhitch"), kong.Description("Without a command it serves; see -h."),
		kong.Writers(out, errs), kong.Exit(func(code int) { exitCode = code }), kong.BindTo(out, (*io.Writer)(nil)))
	if err != nil {
		return exitCode, err
	}
	parsed, err := parser.Parse(args)
	if exitCode != notExited {
		return exitCode, nil // kong has printed the requested help
	}
	if err != nil {
		return exitCode, err
	}
	return 0, parsed.Run()
}

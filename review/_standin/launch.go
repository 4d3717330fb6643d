package main

// This file owns the start of child processes. The kernel kills each of them when the stand-in program ends, however it ends.

import (
	"os/exec"
	"runtime"
	"syscall"
)

type launch struct {
	cmd    *exec.Cmd
	result chan error
}

var launches = make(chan launch)

func init() {
	go func() {
		// The signal at the parent's end belongs to the thread that started the child, so this thread must never end.
		runtime.LockOSThread()
		for l := range launches {
			l.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
			l.result <- l.cmd.Start()
		}
	}()
}

// startChild starts a command that does not outlive this program.
func startChild(cmd *exec.Cmd) error {
	l := launch{cmd, make(chan error, 1)}
	launches <- l
	return <-l.result
}

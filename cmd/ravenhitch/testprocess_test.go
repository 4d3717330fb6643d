package main

// This file owns what tests need to run the program as a process.

import (
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
)

// buildProgram builds the program and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "ravenhitch")
	if output, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	return path
}

// signalProcess sends a signal to a process that was started.
func signalProcess(t *testing.T, cmd *exec.Cmd, signal syscall.Signal) {
	t.Helper()
	if err := cmd.Process.Signal(signal); err != nil {
		t.Fatal(err)
	}
}

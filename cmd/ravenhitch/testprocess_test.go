package main

// This file provides helpers for running the program as a process.

import (
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
)

// buildProgram builds the program and returns the path of the executable.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "ravenhitch")
	if output, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v: %s", err, output)
	}
	return path
}

// signalProcess sends a signal to a process that is running.
func signalProcess(t *testing.T, cmd *exec.Cmd, signal syscall.Signal) {
	t.Helper()
	if err := cmd.Process.Signal(signal); err != nil {
		t.Fatal(err)
	}
}

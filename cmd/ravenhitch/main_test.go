package main

// This file tests the program as a process: its configuration, its signals and its exit code.

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"ravenhitch/internal/testbed"
)

// An invalid configuration ends the program with exit code 1 and one line on standard error. SIGHUP with an invalid
// configuration is logged and changes nothing. SIGTERM ends the program with exit code 0 after the open requests
// are answered.
func TestProgram(t *testing.T) {
	program, configPath := buildProgram(t), filepath.Join(t.TempDir(), "config.json")
	command := func(text string) *exec.Cmd {
		if err := os.WriteFile(configPath, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(program)
		cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+configPath)
		return cmd
	}
	for _, text := range []string{"", "{", "{}"} {
		cmd := command(text)
		output, err := cmd.CombinedOutput()
		if cmd.ProcessState.ExitCode() != 1 || strings.Count(string(output), "\n") != 1 || !strings.HasPrefix(string(output), "ravenhitch: ") {
			t.Errorf("configuration %q: %v with output %q, want exit code 1 and one line", text, err, output)
		}
	}

	discovery, worker := testbed.NewDiscovery(t), testbed.NewWorker(t, "a")
	discovery.Add(true, worker.ListEntry("up"))
	cmd := command(configJSON(discovery))
	lines := startLogged(t, cmd)
	_, addr, _ := strings.Cut(testbed.Wait(t, "the first log line", lines), "listen=")
	client := testbed.NewClient(t, strings.Fields(addr)[0])
	testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "silent-1", 1500))
	testbed.Wait(t, "the offer", worker.Offers)

	if err := os.WriteFile(configPath, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	signalProcess(t, cmd, syscall.SIGHUP) // the file is invalid: the program logs one line and continues
	for line := ""; !strings.Contains(line, "configuration not reloaded"); {
		line = testbed.Wait(t, "the log line about the invalid configuration", lines)
	}

	began := time.Now()
	signalProcess(t, cmd, syscall.SIGTERM)
	if line := testbed.Wait(t, "the response", client.Lines); line.Verb != "FINISH" || line.Tag != testbed.RequestID(1) || !hasValidRetryAfter(line) {
		t.Errorf("response: got %v, want a rejection of %s with a valid Retry-After", line, testbed.RequestID(1))
	}
	if err := cmd.Wait(); err != nil || time.Since(began) > 3700*time.Millisecond {
		t.Errorf("the program ended with %v after %s, want exit code 0 within 3.7s", err, time.Since(began))
	}
}

// startLogged starts a process and returns a channel of the lines that it logs. The process is killed at the end
// of the test if it still runs.
func startLogged(t *testing.T, cmd *exec.Cmd) <-chan string {
	t.Helper()
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	// The error of Kill is ignored: after a successful test, the process has already ended.
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	lines := make(chan string, 100)
	go func() {
		for scanner := bufio.NewScanner(log); scanner.Scan(); {
			lines <- scanner.Text()
		}
	}()
	return lines
}

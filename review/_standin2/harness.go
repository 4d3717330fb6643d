package main

// This file owns what all cases share: the record, the processes of the program, and the end of everything that a case
// starts.

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"ravenhitch/internal/testbed"
)

// harness is the surroundings of one case. It implements testbed.Host.
type harness struct {
	dir     string // temporary folder
	trouble bool   // false if the case plays without its disruption
	began   time.Time

	mu       sync.Mutex
	record   *os.File
	cleanups []func()
	closing  sync.Once
	broken   []string // what broke the rule
}

// newHarness opens the record, which is in the folder named by CASE_DIR.
func newHarness() (*harness, error) {
	record, err := os.Create(filepath.Join(os.Getenv("CASE_DIR"), "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "ravenhitch-review-")
	if err != nil {
		return nil, err
	}
	return &harness{dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}, nil
}

// note writes one line to the record.
func (h *harness) note(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	fmt.Fprintf(h.record, "%8.3f  %s\n", time.Since(h.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (h *harness) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	h.note("BROKEN: %s", text)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.broken = append(h.broken, text)
}

// cannotRun ends the case and its processes, with exit code 2. It may be called from any goroutine.
func (h *harness) cannotRun(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	h.note("cannot run: %s", text)
	fmt.Println("the case could not run:", text)
	h.close()
	os.Exit(2)
}

// Helper implements testbed.Host.
func (h *harness) Helper() {}

// Cleanup implements testbed.Host.
func (h *harness) Cleanup(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cleanups = append(h.cleanups, f)
}

// Logf implements testbed.Host.
func (h *harness) Logf(format string, args ...any) { h.note(format, args...) }

// Errorf implements testbed.Host. The errors of stand-ins are no verdict on the program.
func (h *harness) Errorf(format string, args ...any) { h.note("stand-in: "+format, args...) }

// Fatal implements testbed.Host.
func (h *harness) Fatal(args ...any) { h.cannotRun("%s", fmt.Sprint(args...)) }

// Fatalf implements testbed.Host.
func (h *harness) Fatalf(format string, args ...any) { h.cannotRun(format, args...) }

// close ends what the case started, the latest first. A second call waits for the first.
func (h *harness) close() {
	h.closing.Do(func() {
		h.mu.Lock()
		cleanups := h.cleanups
		h.mu.Unlock()
		for i := len(cleanups) - 1; i >= 0; i-- {
			cleanups[i]()
		}
		_ = os.RemoveAll(h.dir)
	})
}

// startCommand starts a process that the kernel ends with this one, also if this one is killed.
func startCommand(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd.Start()
}

// sleep waits.
func (h *harness) sleep(d time.Duration) { time.Sleep(d) }

// waitFor waits until done returns true, and reports whether it did within the limit.
func (h *harness) waitFor(limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); ; time.Sleep(5 * time.Millisecond) {
		if done() {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

// orchestrator is one process of the program, started by the command of the deploy file.
type orchestrator struct {
	testbed.Process
	listen, grpc string
}

// runCommand returns the value of run in the deploy file.
func (h *harness) runCommand() string {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		h.cannotRun("%v", err)
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), `run = "`); ok {
			return strings.TrimSuffix(value, `"`)
		}
	}
	h.cannotRun("the deploy file names no command run")
	return ""
}

// freeAddress returns a loopback address with a free port. The address is drawn from 127.0.0.0/8, so that no other program's
// connection or listener takes the port before the program listens there, or while it is down.
func (h *harness) freeAddress() string {
	for {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(256), 1+rand.IntN(254))
		l, err := net.Listen("tcp", ip+":0")
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			h.cannotRun("%v", err)
		}
		defer testbed.CloseQuietly(l)
		return l.Addr().String()
	}
}

// start starts an orchestrator with a configuration, and waits until it serves. operators is the text of the operators'
// file; if it is empty, that of the project is used.
func (h *harness) start(name, listen, config, operators string) *orchestrator {
	dir := filepath.Join(h.dir, name)
	if err := os.MkdirAll(filepath.Join(dir, "tmp"), 0o700); err != nil {
		h.cannotRun("%v", err)
	}
	configPath := filepath.Join(dir, "config.json")
	if err := os.WriteFile(configPath, []byte(config), 0o600); err != nil {
		h.cannotRun("%v", err)
	}
	command := h.runCommand()
	if operators != "" {
		operatorsPath := filepath.Join(dir, "operators.conf")
		if err := os.WriteFile(operatorsPath, []byte(operators), 0o600); err != nil {
			h.cannotRun("%v", err)
		}
		command += " -conf " + operatorsPath
	}
	o := &orchestrator{listen: listen, Process: testbed.Process{Name: name, Bin: "/bin/sh", Args: []string{"-c", command},
		StartCommand: startCommand,
		Env:          []string{"ROUTER_CONFIG=" + configPath, "TMPDIR=" + filepath.Join(dir, "tmp")}}}
	if err := o.Start(); err != nil {
		h.cannotRun("%v", err)
	}
	h.Cleanup(func() {
		o.End(syscall.SIGKILL)
		for _, line := range o.Lines() {
			h.note("log of %s: %s", name, line)
		}
	})
	if _, err := o.WaitForLog("msg=serving"); err != nil {
		h.cannotRun("%v", err)
	}
	h.note("%s serves clients at %s", name, listen)
	return o
}

// text returns a message as the record shows it.
func text(l testbed.Line) string {
	b, _ := json.Marshal(l) // a Line can always be encoded
	if len(b) > 160 {
		b = append(b[:160], "..."...)
	}
	return string(b)
}

// owner is a connection of an owner of tasks.
type owner struct {
	*testbed.Client
	h    *harness
	name string

	mu  sync.Mutex
	got map[string][]testbed.Line // messages received, by tag
}

// dialOwner connects an owner, passes the first test and collects what comes.
func (h *harness) dialOwner(name, addr string) *owner {
	client, err := testbed.Dial(addr)
	if err != nil {
		h.cannotRun("owner %s: %v", name, err)
	}
	h.Cleanup(func() { testbed.CloseQuietly(client) })
	w := &owner{Client: client, h: h, name: name, got: map[string][]testbed.Line{}}
	go func() {
		for line := range client.Lines {
			h.note("%s <- %s", name, text(line))
			w.mu.Lock()
			w.got[line.Tag] = append(w.got[line.Tag], line)
			w.mu.Unlock()
		}
	}()
	return w
}

// send sends a message of the owner.
func (w *owner) send(line testbed.Line) {
	w.h.note("%s -> %s", w.name, text(line))
	testbed.Send(w.Client, line)
}

// messages returns the messages with a verb that came for a tag.
func (w *owner) messages(tag, verb string) (list []testbed.Line) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, line := range w.got[tag] {
		if line.Verb == verb {
			list = append(list, line)
		}
	}
	return list
}

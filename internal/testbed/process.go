package testbed

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// This file owns processes of the program: their start, their log, their signals and their
// end. It must never signal a process that it did not start.

// Process is one process, which may be started again after its end.
type Process struct {
	Name, Bin string
	Args, Env []string

	mu         sync.Mutex
	cmd        *exec.Cmd
	ended      chan struct{} // closed with the process
	endedAt    time.Time     // when it was closed last
	lines      []string
	firstLine  int // of this start: those before it are of earlier ones
	logChanged *sync.Cond
}

// Start starts it.
func (p *Process) Start() error {
	cmd := exec.Command(p.Bin, p.Args...)
	cmd.Env = append(os.Environ(), p.Env...)
	log, err := cmd.StderrPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		return fmt.Errorf("%s: %s: %w", errorPrefix, p.Name, err)
	}
	p.mu.Lock()
	if p.logChanged == nil {
		p.logChanged = sync.NewCond(&p.mu)
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.firstLine = cmd, ended, len(p.lines)
	p.mu.Unlock()
	go p.follow(cmd, log, ended)
	return nil
}

// follow collects the log of a process, and waits for its end.
func (p *Process) follow(cmd *exec.Cmd, log io.Reader, ended chan<- struct{}) {
	for scanner := bufio.NewScanner(log); scanner.Scan(); {
		p.mu.Lock()
		p.lines = append(p.lines, scanner.Text())
		p.logChanged.Broadcast()
		p.mu.Unlock()
	}
	_ = cmd.Wait() // how it ended does not matter: most processes are killed
	p.mu.Lock()
	p.endedAt = time.Now()
	close(ended)
	p.logChanged.Broadcast()
	p.mu.Unlock()
}

// WaitForLog waits for a line of this start that contains a text, and returns the word that
// follows it.
func (p *Process) WaitForLog(text string) (string, error) {
	timer := time.AfterFunc(Timeout, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.logChanged.Broadcast()
	})
	defer timer.Stop()
	deadline := time.Now().Add(Timeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := p.firstLine; ; i++ {
		for i >= len(p.lines) {
			if p.hasEnded() {
				return "", fmt.Errorf("%s: %s ended: %v", errorPrefix, p.Name, p.lines[p.firstLine:])
			}
			if !time.Now().Before(deadline) {
				return "", fmt.Errorf("%s: %s said no %q in %s: %v", errorPrefix, p.Name, text, Timeout, p.lines[p.firstLine:])
			}
			p.logChanged.Wait()
		}
		if _, rest, ok := strings.Cut(p.lines[i], text); ok {
			word, _, _ := strings.Cut(rest, " ")
			return word, nil
		}
	}
}

// Lines is all that it has logged, over all starts.
func (p *Process) Lines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.lines...)
}

// IsRunning reports whether it runs, or is paused.
func (p *Process) IsRunning() bool { return p.ended != nil && !p.hasEnded() }

func (p *Process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Ended is closed once the process that was started last has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Exit is the code with which it ended last, -1 where a signal ended it, and when that was. It must have ended.
func (p *Process) Exit() (code int, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.ProcessState.ExitCode(), p.endedAt
}

// PID is the number of the process that was started last.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// End ends it by a signal and waits for that.
func (p *Process) End(s syscall.Signal) {
	if !p.IsRunning() {
		return
	}
	p.Signal(s)
	<-p.ended
}

// Pause stops it where it is; Resume lets it go on.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume is described at Pause.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Signal sends it a signal; one that has ended gets none.
func (p *Process) Signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s) // it fails where the process has just ended
}

// BuildProgram builds the program into a directory and returns its path.
func BuildProgram(directory string) (string, error) {
	binary := filepath.Join(directory, "ravenhitch")
	out, err := exec.Command("go", "build", "-o", binary, "ravenhitch/cmd/ravenhitch").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%s: build: %w: %s", errorPrefix, err, out)
	}
	return binary, nil
}

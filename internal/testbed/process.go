package testbed

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
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
	p.signal(s)
	<-p.ended
}

// Pause stops it where it is; Resume lets it go on.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume is described at Pause.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

func (p *Process) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s) // it fails where the process has just ended
}

package testbed

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// This file owns processes of the program: their start, their log, their signals and
// their end. It ends none but those that it started.

// Process is one process, which may be started again.
type Process struct {
	Name, Bin string
	Args, Env []string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	lines []string
	from  int // lines of earlier starts
	more  *sync.Cond
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
		return fmt.Errorf("standin: %s: %w", p.Name, err)
	}
	p.mu.Lock()
	if p.more == nil {
		p.more = sync.NewCond(&p.mu)
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.from = cmd, ended, len(p.lines)
	p.mu.Unlock()
	go func() {
		for s := bufio.NewScanner(log); s.Scan(); {
			p.mu.Lock()
			p.lines = append(p.lines, s.Text())
			p.more.Broadcast()
			p.mu.Unlock()
		}
		cmd.Wait()
		p.mu.Lock()
		close(ended)
		p.more.Broadcast()
		p.mu.Unlock()
	}()
	return nil
}

// WaitForLog waits for a line of this start that holds a text, and returns the word that
// follows it.
func (p *Process) WaitForLog(text string) (string, error) {
	timer := time.AfterFunc(Patience, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.more.Broadcast()
	})
	defer timer.Stop()
	limit := time.Now().Add(Patience)
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := p.from; ; i++ {
		for i >= len(p.lines) {
			select {
			case <-p.ended:
				return "", fmt.Errorf("standin: %s ended: %v", p.Name, p.lines[p.from:])
			default:
			}
			if !time.Now().Before(limit) {
				return "", fmt.Errorf("standin: %s said no %q in %s: %v", p.Name, text, Patience, p.lines[p.from:])
			}
			p.more.Wait()
		}
		if _, rest, ok := strings.Cut(p.lines[i], text); ok {
			word, _, _ := strings.Cut(rest, " ")
			return word, nil
		}
	}
}

// Lines is all that it has logged.
func (p *Process) Lines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.lines...)
}

// Up reports whether it runs, or is paused.
func (p *Process) Up() bool {
	if p.ended == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
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
	if !p.Up() {
		return
	}
	p.cmd.Process.Signal(s)
	<-p.ended
}

// Pause stops it where it is; Resume lets it go on.
func (p *Process) Pause() { p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume is described at Pause.
func (p *Process) Resume() { p.cmd.Process.Signal(syscall.SIGCONT) }

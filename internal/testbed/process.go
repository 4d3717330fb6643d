package testbed

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// This file owns the child processes that run the program in tests and rehearsals: their start,
// log, signals and end. It must never signal a process that it did not start.

// Process runs the program as a child process, which may be restarted after it has ended.
type Process struct {
	Name, Bin string
	Args, Env []string
	// StartCommand starts the command of the process. If it is nil, the command is started as usual.
	StartCommand func(cmd *exec.Cmd) error

	mu         sync.Mutex
	cmd        *exec.Cmd
	ended      chan struct{} // closed when the process ends; replaced by each start
	endedAt    time.Time     // time at which the process last ended
	lines      []string      // log lines since the first start
	receivedAt []time.Time   // times at which the lines were received
	firstLine  int           // index in lines of the first line logged since the last start
	logChanged *sync.Cond    // signalled when lines grows, the process ends, or a wait times out
}

// Start starts the process. A running process must not be started.
func (p *Process) Start() error {
	cmd := exec.Command(p.Bin, p.Args...)
	cmd.Env = append(os.Environ(), p.Env...)
	log, err := cmd.StderrPipe()
	if err == nil {
		err = p.startCommand(cmd)
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

func (p *Process) startCommand(cmd *exec.Cmd) error {
	if p.StartCommand != nil {
		return p.StartCommand(cmd)
	}
	return cmd.Start()
}

// follow collects the log of a process and waits for its end.
func (p *Process) follow(cmd *exec.Cmd, log io.Reader, ended chan<- struct{}) {
	for scanner := bufio.NewScanner(log); scanner.Scan(); {
		p.mu.Lock()
		p.lines, p.receivedAt = append(p.lines, scanner.Text()), append(p.receivedAt, time.Now())
		p.logChanged.Broadcast()
		p.mu.Unlock()
	}
	_ = cmd.Wait() // an error is expected, because most processes are killed; Exit returns the exit code
	p.mu.Lock()
	p.endedAt = time.Now()
	close(ended)
	p.logChanged.Broadcast()
	p.mu.Unlock()
}

// WaitForLog waits until the process has logged a line with the given text since its last start. It returns the
// word that follows the text in this line, or an error if the process ends first or Timeout passes.
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
				return "", fmt.Errorf("%s: %s logged no line with %q within %s: %v", errorPrefix, p.Name, text, Timeout, p.lines[p.firstLine:])
			}
			p.logChanged.Wait()
		}
		if _, rest, ok := strings.Cut(p.lines[i], text); ok {
			word, _, _ := strings.Cut(rest, " ")
			return word, nil
		}
	}
}

// Lines returns all log lines since the first start.
func (p *Process) Lines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.lines...)
}

// FirstLineAt returns the time at which the first log line that contains all given texts was received, or the zero time. It
// does not depend on the clock of the process, which a test may step.
func (p *Process) FirstLineAt(texts ...string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.IndexFunc(p.lines, func(line string) bool {
		return !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line, text) })
	})
	if i < 0 {
		return time.Time{}
	}
	return p.receivedAt[i]
}

// IsRunning reports whether the process was started and has not ended. A paused process counts
// as running.
func (p *Process) IsRunning() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended != nil && !p.hasEnded()
}

// hasEnded reports whether the last started process has ended. The caller holds mu.
func (p *Process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Ended returns a channel that is closed when the last started process ends.
func (p *Process) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// Exit returns the exit code and the time at which the process last ended. The code is -1 if a signal ended the
// process. The process must have ended.
func (p *Process) Exit() (code int, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.ProcessState.ExitCode(), p.endedAt
}

// PID returns the ID of the last started process.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// End sends a signal that ends the process and waits for the end. It does nothing if the process does not run.
func (p *Process) End(s syscall.Signal) {
	if !p.IsRunning() {
		return
	}
	p.Signal(s)
	<-p.Ended()
}

// Pause suspends the process with SIGSTOP until Resume.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Signal sends a signal to the process. It does nothing if the process has ended.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // the error of a process that has just ended is expected
}

// BuildProgram builds the program into a directory and returns the path of the binary.
func BuildProgram(directory string) (string, error) {
	binary := filepath.Join(directory, "ravenhitch")
	out, err := exec.Command("go", "build", "-o", binary, "ravenhitch/cmd/ravenhitch").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%s: build: %w: %s", errorPrefix, err, out)
	}
	return binary, nil
}

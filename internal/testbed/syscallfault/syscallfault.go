// Package syscallfault makes system calls of a child process fail for a moment with errors that Linux documents,
// transfer fewer bytes than asked for, or return a system clock that has been stepped. The child runs under a seccomp
// filter, which needs no special rights. An Injector receives each filtered call from the kernel and lets it continue,
// makes it fail or performs it.
//
// This file decides which calls fail.
package syscallfault

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Fault describes how one system call fails.
type Fault struct {
	Number      uintptr       // number of the system call
	Errors      []unix.Errno  // one of these is drawn for each period of failure
	Probability float64       // probability that a call begins a period of failure
	Longest     time.Duration // maximum length of a period; 0 makes a single call fail
	Gap         time.Duration // minimum time between two periods
	Ports       []int         // if set, only calls on connections to one of these TCP ports fail
	Directory   string        // if set, only calls on files in this directory fail
	Connections bool          // if set, only calls on connections fail
	Operation   uint64        // if set, only calls whose second argument has this value fail
}

// Transient returns the errors that the calls of a network server meet for a moment: connections cannot be accepted or
// opened, waits are interrupted, and the system lacks buffers for connections and for what a process watches.
func Transient() []Fault {
	const longest, gap = 200 * time.Millisecond, time.Second
	const shortOfBuffers = 50 * time.Millisecond
	noBuffers := []unix.Errno{unix.ENOBUFS, unix.ENOMEM}
	return []Fault{
		{Number: unix.SYS_ACCEPT4, Probability: 0.05, Longest: longest, Gap: gap,
			Errors: []unix.Errno{unix.ECONNABORTED, unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO}},
		{Number: unix.SYS_SOCKET, Probability: 0.03, Longest: longest, Gap: gap,
			Errors: []unix.Errno{unix.ENFILE, unix.EMFILE, unix.ENOBUFS}},
		{Number: unix.SYS_CONNECT, Probability: 0.03, Longest: longest, Gap: gap,
			Errors: []unix.Errno{unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.EHOSTUNREACH, unix.ETIMEDOUT, unix.EAGAIN}},
		{Number: unix.SYS_EPOLL_PWAIT, Probability: 0.02, Errors: []unix.Errno{unix.EINTR}},
		{Number: unix.SYS_WRITE, Probability: 0.002, Longest: shortOfBuffers, Gap: gap, Errors: noBuffers, Connections: true},
		{Number: unix.SYS_READ, Probability: 0.002, Longest: shortOfBuffers, Gap: gap, Errors: noBuffers, Connections: true},
		{Number: unix.SYS_EPOLL_CTL, Probability: 0.1, Longest: shortOfBuffers, Gap: gap, Errors: []unix.Errno{unix.ENOMEM},
			Operation: unix.EPOLL_CTL_MOD},
	}
}

// Broken returns the errors of connections to the given TCP ports that break because packets are lost. What the peer has
// sent and the process has not read is then lost, and the peer notices once the process closes the connection.
func Broken(ports []int) []Fault {
	const probability = 0.002
	timeouts := []unix.Errno{unix.ETIMEDOUT, unix.EHOSTUNREACH}
	return []Fault{
		{Number: unix.SYS_READ, Probability: probability, Errors: timeouts, Ports: ports},
		{Number: unix.SYS_WRITE, Probability: probability, Errors: timeouts, Ports: ports},
	}
}

// FailingStorage returns the errors of a disk that is full or broken for a moment, for the files in a directory.
func FailingStorage(directory string) []Fault {
	const probability, longest, gap = 0.1, 100 * time.Millisecond, 200 * time.Millisecond
	fault := func(number uintptr, errors ...unix.Errno) Fault {
		return Fault{Number: number, Probability: probability, Longest: longest, Gap: gap, Errors: errors, Directory: directory}
	}
	return []Fault{
		fault(unix.SYS_OPENAT, unix.EIO, unix.ENFILE, unix.EMFILE),
		fault(unix.SYS_WRITE, unix.ENOSPC, unix.EIO),
		fault(unix.SYS_FSYNC, unix.EIO, unix.ENOSPC),
		fault(unix.SYS_RENAMEAT, unix.EIO, unix.ENOSPC),
	}
}

// Injector makes system calls of the processes that it starts fail. Its decisions are drawn from a seed, but which call
// meets which decision depends on the order of the calls.
type Injector struct {
	launcher string

	mu               sync.Mutex
	random           *rand.Rand
	stopped          bool
	faults           []*state
	shortProbability float64 // probability that a transfer is short
	injected         int

	controlsClock bool
	clockOffset   atomic.Int64 // offset of the child's system clock in nanoseconds
}

// state is the state of the failures of one system call.
type state struct {
	Fault
	until time.Time // end of the current period of failure
	err   unix.Errno
}

// BuildLauncher builds the launcher that New needs into a directory and returns its path.
func BuildLauncher(directory string) (string, error) {
	launcher := filepath.Join(directory, "launcher")
	out, err := exec.Command("go", "build", "-o", launcher, "ravenhitch/internal/testbed/syscallfault/launcher").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("syscallfault: build the launcher: %w: %s", err, out)
	}
	return launcher, nil
}

// New returns an Injector that uses the launcher at the given path.
func New(launcher string, seed uint64, faults ...Fault) *Injector {
	i := &Injector{launcher: launcher, random: rand.New(rand.NewPCG(seed, 80))}
	for _, fault := range faults {
		i.faults = append(i.faults, &state{Fault: fault})
	}
	return i
}

// Changes selects what happens to the system calls of a process in a randomized scenario.
type Changes struct {
	Fail       bool  // calls fail for a moment (see Transient)
	Shorten    bool  // reads and writes of connections are short
	StepsClock bool  // the system's clock can be stepped
	Ports      []int // TCP ports of workers, to which connections break if Fail is set (see Broken)
}

// NewWith returns an Injector for the given changes, or nil if there are none.
func NewWith(launcher string, seed uint64, changes Changes) *Injector {
	if !changes.Fail && !changes.Shorten && !changes.StepsClock {
		return nil
	}
	var faults []Fault
	if changes.Fail {
		faults = Transient()
	}
	if changes.Fail && len(changes.Ports) > 0 {
		faults = append(faults, Broken(changes.Ports)...)
	}
	i := New(launcher, seed, faults...)
	if changes.Shorten {
		i.ShortenTransfers(shortProbability)
	}
	if changes.StepsClock {
		i.ControlClock()
	}
	return i
}

// Stop lets all further calls succeed until Resume. A clock that has been stepped stays so.
func (i *Injector) Stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopped = true
}

// Resume lets calls fail again after Stop.
func (i *Injector) Resume() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopped = false
}

// Count returns the number of calls that the Injector has made fail and of transfers that it has made short.
func (i *Injector) Count() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.injected
}

// Start starts a command whose system calls fail.
func (i *Injector) Start(cmd *exec.Cmd) error {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return fmt.Errorf("syscallfault: %w", err)
	}
	ours, theirs := os.NewFile(uintptr(pair[0]), "ours"), os.NewFile(uintptr(pair[1]), "theirs")
	defer func() { _ = ours.Close() }()
	cmd.Args = append([]string{i.launcher, i.rules()}, append([]string{cmd.Path}, cmd.Args[1:]...)...)
	cmd.Path, cmd.ExtraFiles = i.launcher, []*os.File{theirs}
	err = cmd.Start()
	_ = theirs.Close()
	if err != nil {
		return fmt.Errorf("syscallfault: %w", err)
	}
	listener, err := receiveDescriptor(pair[0])
	if err != nil {
		_ = cmd.Process.Kill()
		return fmt.Errorf("syscallfault: the launcher has failed: %w", err)
	}
	process, err := unix.PidfdOpen(cmd.Process.Pid, 0)
	if err != nil {
		_ = cmd.Process.Kill()
		return fmt.Errorf("syscallfault: %w", err)
	}
	go i.decideAll(listener, process)
	return nil
}

// rules returns the system calls of which the kernel notifies the Injector, as the launcher expects them.
func (i *Injector) rules() string {
	var rules []string
	for _, fault := range i.faults {
		rules = append(rules, fmt.Sprint(fault.Number))
	}
	if i.shortProbability > 0 {
		rules = append(rules, fmt.Sprint(unix.SYS_READ), fmt.Sprint(unix.SYS_WRITE))
	}
	if i.controlsClock {
		rules = append(rules, fmt.Sprint(earlyCall), fmt.Sprintf("%d:%d", unix.SYS_CLOCK_GETTIME, unix.CLOCK_REALTIME))
	}
	slices.Sort(rules)
	return strings.Join(slices.Compact(rules), ",")
}

// decide decides on a call of a process.
func (i *Injector) decide(process int, call notification) decision {
	switch call.number {
	case earlyCall:
		hideVDSO(int(call.pid))
	case unix.SYS_CLOCK_GETTIME:
		return i.readClock(call)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.stopped {
		return continued(call)
	}
	if errno := i.fail(process, call); errno != 0 {
		i.injected++
		return failed(call, errno)
	}
	if isTransfer := call.number == unix.SYS_READ || call.number == unix.SYS_WRITE; isTransfer && i.random.Float64() < i.shortProbability {
		return i.shorten(process, call)
	}
	return continued(call)
}

// fail returns the error with which a call of a process fails, or 0 if it does not fail.
func (i *Injector) fail(process int, call notification) unix.Errno {
	for _, fault := range i.faults {
		if fault.Number != uintptr(call.number) {
			continue
		}
		if errno := i.failWith(fault, process, call); errno != 0 {
			return errno
		}
	}
	return 0
}

// failWith returns the error with which a call of a process fails by a fault, or 0 if it does not fail.
func (i *Injector) failWith(fault *state, process int, call notification) unix.Errno {
	now := time.Now()
	begins := !now.Before(fault.until)
	if begins && (now.Before(fault.until.Add(fault.Gap)) || i.random.Float64() >= fault.Probability) {
		return 0
	}
	if fault.Operation != 0 && call.arguments[1] != fault.Operation || fault.Connections && remotePort(process, call) == 0 {
		return 0
	}
	if len(fault.Ports) > 0 && !slices.Contains(fault.Ports, remotePort(process, call)) {
		return 0
	}
	if fault.Directory != "" && !strings.HasPrefix(filePath(call), fault.Directory+"/") {
		return 0
	}
	if begins {
		fault.err = fault.Errors[i.random.IntN(len(fault.Errors))]
		fault.until = now
		if fault.Longest > 0 {
			fault.until = now.Add(time.Duration(i.random.Int64N(int64(fault.Longest))))
		}
	}
	return fault.err
}

// maxPath is the maximum length of a path in bytes.
const maxPath = 4096

// filePath returns the absolute path of the file that a call of a process uses, or "" if it uses none.
func filePath(call notification) string {
	switch call.number {
	case unix.SYS_OPENAT, unix.SYS_RENAMEAT:
		path := make([]byte, maxPath)
		n, err := copyFrom(call, call.arguments[1], path)
		if err != nil {
			return ""
		}
		text, _, _ := strings.Cut(string(path[:n]), "\x00")
		return text
	}
	path, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", call.pid, call.arguments[0]))
	if err != nil {
		return ""
	}
	return path
}

// remotePort returns the remote port of the IPv4 connection that is the first argument of a call of a process, or 0 if it
// is none.
func remotePort(process int, call notification) int {
	fd, err := unix.PidfdGetfd(process, int(call.arguments[0]), 0)
	if err != nil {
		return 0
	}
	defer func() { _ = unix.Close(fd) }()
	peer, err := unix.Getpeername(fd)
	if address, ok := peer.(*unix.SockaddrInet4); err == nil && ok {
		return address.Port
	}
	return 0
}

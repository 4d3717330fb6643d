// Command launcher executes a program whose system calls can be made to fail (see package syscallfault). It installs a
// seccomp filter for the given system calls, sends the filter's listener over the Unix socket at descriptor 3, and
// executes the program in its own place.
//
//	launcher NUMBER[:ARGUMENT],... PROGRAM [ARGUMENT...]
//
// With an argument, the filter applies only to calls whose first argument has this value.
package main

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	socket = 3 // descriptor of the Unix socket to the test

	// Offsets in struct seccomp_data, in bytes.
	numberOffset   = 0
	argumentOffset = 16 // the low half of the first argument
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "launcher:", err)
		os.Exit(1)
	}
}

// run does not return if it succeeds.
func run(args []string) error {
	if len(args) < 2 {
		return fmt.Errorf("got %d arguments, want the numbers of system calls and a program", len(args))
	}
	filter, err := newFilter(strings.Split(args[0], ","))
	if err != nil {
		return err
	}
	runtime.LockOSThread() // the filter applies to this thread, which executes the program
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("prctl: %w", err)
	}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	listener, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER,
		unix.SECCOMP_FILTER_FLAG_NEW_LISTENER|unix.SECCOMP_FILTER_FLAG_WAIT_KILLABLE_RECV, uintptr(unsafe.Pointer(&program)))
	if errno != 0 {
		return fmt.Errorf("seccomp: %w", errno)
	}
	if err := unix.Sendmsg(socket, []byte{0}, unix.UnixRights(int(listener)), nil, 0); err != nil {
		return fmt.Errorf("send the listener: %w", err)
	}
	unix.CloseOnExec(socket)
	unix.CloseOnExec(int(listener))
	return fmt.Errorf("execute %s: %w", args[1], unix.Exec(args[1], args[1:], os.Environ()))
}

// newFilter returns a filter that notifies the listener of the system calls with the given numbers and allows the
// others.
func newFilter(rules []string) ([]unix.SockFilter, error) {
	filter := []unix.SockFilter{load(numberOffset)}
	for _, rule := range rules {
		number, argument, hasArgument := strings.Cut(rule, ":")
		notify := []unix.SockFilter{result(unix.SECCOMP_RET_USER_NOTIF)}
		if hasArgument {
			value, err := strconv.ParseUint(argument, 10, 32)
			if err != nil {
				return nil, fmt.Errorf("argument of a system call: %w", err)
			}
			notify = append([]unix.SockFilter{load(argumentOffset), skipUnless(value, len(notify))}, notify...)
			notify = append(notify, result(unix.SECCOMP_RET_ALLOW))
		}
		value, err := strconv.ParseUint(number, 10, 32)
		if err != nil {
			return nil, fmt.Errorf("number of a system call: %w", err)
		}
		filter = append(append(filter, skipUnless(value, len(notify))), notify...)
	}
	return append(filter, result(unix.SECCOMP_RET_ALLOW)), nil
}

// load returns the instruction that loads 32 bits of struct seccomp_data.
func load(offset uint32) unix.SockFilter {
	return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offset}
}

// skipUnless returns the instruction that skips a number of instructions unless the loaded value is the given one.
func skipUnless(value uint64, instructions int) unix.SockFilter {
	return unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: uint8(instructions), K: uint32(value)}
}

// result returns the instruction that ends the filter with an action.
func result(action uint32) unix.SockFilter {
	return unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: action}
}

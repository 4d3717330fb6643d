package syscallfault

// This file passes the system calls of a child process from the kernel to the Injector, and its decisions to the kernel
// (see seccomp_unotify(2)).

import (
	"errors"
	"unsafe"

	"golang.org/x/sys/unix"
)

func receiveDescriptor(socket int) (int, error) {
	const descriptorSize = 4
	data, control := make([]byte, 1), make([]byte, unix.CmsgSpace(descriptorSize))
	_, n, _, _, err := unix.Recvmsg(socket, data, control, unix.MSG_CMSG_CLOEXEC)
	if err != nil {
		return 0, err
	}
	messages, err := unix.ParseSocketControlMessage(control[:n])
	if err != nil {
		return 0, err
	}
	if len(messages) != 1 {
		return 0, errors.New("got no descriptor")
	}
	descriptors, err := unix.ParseUnixRights(&messages[0])
	if err != nil {
		return 0, err
	}
	return descriptors[0], nil
}

// notification is the kernel's struct seccomp_notif.
type notification struct {
	id        uint64
	pid       uint32
	flags     uint32
	number    int32
	arch      uint32
	pointer   uint64
	arguments [6]uint64
}

// decision is the kernel's struct seccomp_notif_resp.
type decision struct {
	id    uint64
	value int64
	err   int32
	flags uint32
}

// continued returns the decision that the kernel executes a call.
func continued(call notification) decision {
	return decision{id: call.id, flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE}
}

// failed returns the decision that a call fails with an error.
func failed(call notification, errno unix.Errno) decision {
	return decision{id: call.id, err: -int32(errno)}
}

// decideAll decides on the calls of a process until it ends. process is a descriptor of the process (see pidfd_open(2)).
func (i *Injector) decideAll(listener, process int) {
	defer func() {
		_ = unix.Close(listener)
		_ = unix.Close(process)
	}()
	for {
		ready := []unix.PollFd{{Fd: int32(listener), Events: unix.POLLIN}}
		if _, err := unix.Poll(ready, -1); err != nil {
			continue // interrupted by a signal of the Go runtime
		}
		if ready[0].Revents&unix.POLLHUP != 0 {
			return
		}
		if ready[0].Revents&unix.POLLIN == 0 { // the kernel reports POLLERR if a signal interrupts it
			continue
		}
		var call notification
		if _, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(listener), unix.SECCOMP_IOCTL_NOTIF_RECV, uintptr(unsafe.Pointer(&call))); errno != 0 {
			continue // the caller has ended, or the call was interrupted
		}
		result := i.decide(process, call)
		send(listener, &result)
	}
}

// send sends a decision to the kernel. It repeats the call if a signal of the Go runtime interrupts it, because the
// caller of the system call would otherwise wait forever. Any other error means that the caller has ended.
func send(listener int, result *decision) {
	for {
		_, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(listener), unix.SECCOMP_IOCTL_NOTIF_SEND, uintptr(unsafe.Pointer(result)))
		if errno != unix.EINTR {
			return
		}
	}
}

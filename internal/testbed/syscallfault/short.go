package syscallfault

// This file performs reads and writes of connections with a part of the bytes that the child process has asked for.

import (
	"errors"

	"golang.org/x/sys/unix"
)

// shortProbability is the probability of a short read or write in randomized scenarios.
const shortProbability = 0.1

// maxShortRead is the maximum number of bytes of a short read. The child offers large buffers, so that a part of the
// buffer would mostly hold all that has been received.
const maxShortRead = 256

// ShortenTransfers makes reads and writes of connections short with the given probability. It must be called before
// Start.
func (i *Injector) ShortenTransfers(probability float64) { i.shortProbability = probability }

// shorten performs a read or a write of a connection with at least one and not all of the bytes. Other calls continue.
func (i *Injector) shorten(process int, call notification) decision {
	length := int(call.arguments[2])
	if call.number == unix.SYS_READ {
		length = min(length, maxShortRead)
	}
	if length < 2 {
		return continued(call)
	}
	fd, err := unix.PidfdGetfd(process, int(call.arguments[0]), 0)
	if err != nil {
		return continued(call)
	}
	defer func() { _ = unix.Close(fd) }()
	if _, err := unix.Getpeername(fd); err != nil { // no connection
		return continued(call)
	}
	data := make([]byte, 1+i.random.IntN(length-1))
	transfer := writeSome
	if call.number == unix.SYS_READ {
		transfer = readSome
	}
	n, err := transfer(fd, call, data)
	if errors.Is(err, unix.EAGAIN) { // the call may have to wait
		return continued(call)
	}
	var errno unix.Errno
	if errors.As(err, &errno) {
		return failed(call, errno)
	}
	i.injected++
	return decision{id: call.id, value: int64(n)}
}

// writeSome writes the first bytes of the caller's buffer to a connection. It uses data as its own buffer.
func writeSome(fd int, call notification, data []byte) (int, error) {
	n, err := copyFrom(call, call.arguments[1], data)
	if err != nil {
		return 0, err
	}
	return unix.SendmsgN(fd, data[:n], nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
}

// readSome reads up to len(data) bytes from a connection into the caller's buffer.
func readSome(fd int, call notification, data []byte) (int, error) {
	n, _, err := unix.Recvfrom(fd, data, unix.MSG_DONTWAIT)
	if err != nil || n == 0 {
		return 0, err
	}
	return copyTo(call, call.arguments[1], data[:n])
}

// copyFrom copies from an address in the memory of the caller.
func copyFrom(call notification, address uint64, data []byte) (int, error) {
	remote := []unix.RemoteIovec{{Base: uintptr(address), Len: len(data)}}
	return unix.ProcessVMReadv(int(call.pid), vector(data), remote, 0)
}

// copyTo copies to an address in the memory of the caller.
func copyTo(call notification, address uint64, data []byte) (int, error) {
	remote := []unix.RemoteIovec{{Base: uintptr(address), Len: len(data)}}
	return unix.ProcessVMWritev(int(call.pid), vector(data), remote, 0)
}

func vector(data []byte) []unix.Iovec {
	local := unix.Iovec{Base: &data[0]}
	local.SetLen(len(data))
	return []unix.Iovec{local}
}

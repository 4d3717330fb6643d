package syscallfault

// This file steps the system clock of a child process. A process reads its clocks in the vDSO, without a system call. So
// the vDSO is hidden from the child, which then uses clock_gettime(2). This works for programs in Go (see earlyCall).

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// Keys of the auxiliary vector (see getauxval(3)).
	auxvIgnore = 1
	auxvVDSO   = 33

	auxvEntrySize = 16 // size of a key and its value in bytes
)

// clockSteps lists steps of a clock that is set by hand or by a time server.
var clockSteps = []time.Duration{-time.Hour, -5 * time.Second, -time.Second, time.Second, 5 * time.Second, time.Hour}

// DrawClockStep draws a step for StepClock.
func DrawClockStep(random *rand.Rand) time.Duration { return clockSteps[random.IntN(len(clockSteps))] }

// ControlClock lets StepClock step the system clock of the child process. It must be called before Start.
func (i *Injector) ControlClock() { i.controlsClock = true }

// StepClock steps the system clock of the child process forward, or back if step is negative. Its monotonic clock is not
// affected.
func (i *Injector) StepClock(step time.Duration) { i.clockOffset.Add(int64(step)) }

// readClock performs a call of clock_gettime for the system's clock.
func (i *Injector) readClock(call notification) decision {
	now := unix.NsecToTimespec(time.Now().UnixNano() + i.clockOffset.Load())
	data := binary.NativeEndian.AppendUint64(nil, uint64(now.Sec))
	data = binary.NativeEndian.AppendUint64(data, uint64(now.Nsec))
	if _, err := copyTo(call, call.arguments[1], data); err != nil {
		return continued(call)
	}
	return decision{id: call.id}
}

// hideVDSO removes the address of the vDSO from the auxiliary vector on the stack of a process. It does nothing if it
// fails: the process then reads the clock of the system.
func hideVDSO(pid int) {
	address, err := vdsoAddress(pid)
	if err != nil {
		return
	}
	start, end, err := stackRange(pid)
	if err != nil {
		return
	}
	memory, err := os.OpenFile(fmt.Sprintf("/proc/%d/mem", pid), os.O_RDWR, 0)
	if err != nil {
		return
	}
	defer func() { _ = memory.Close() }()
	stack := make([]byte, end-start)
	if _, err := memory.ReadAt(stack, start); err != nil {
		return
	}
	offset := bytes.Index(stack, auxvEntry(auxvVDSO, address))
	if offset >= 0 {
		_, _ = memory.WriteAt(auxvEntry(auxvIgnore, address), start+int64(offset))
	}
}

// vdsoAddress returns the address of the vDSO of a process.
func vdsoAddress(pid int) (uint64, error) {
	vector, err := os.ReadFile(fmt.Sprintf("/proc/%d/auxv", pid))
	if err != nil {
		return 0, err
	}
	for ; len(vector) >= auxvEntrySize; vector = vector[auxvEntrySize:] {
		if binary.NativeEndian.Uint64(vector) == auxvVDSO {
			return binary.NativeEndian.Uint64(vector[auxvEntrySize/2:]), nil
		}
	}
	return 0, fmt.Errorf("syscallfault: process %d has no vDSO", pid)
}

// stackRange returns the addresses at which the stack of a process starts and ends.
func stackRange(pid int) (start, end int64, err error) {
	maps, err := os.ReadFile(fmt.Sprintf("/proc/%d/maps", pid))
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(maps)) {
		if strings.HasSuffix(line, "[stack]\n") {
			_, err := fmt.Sscanf(line, "%x-%x", &start, &end)
			return start, end, err
		}
	}
	return 0, 0, fmt.Errorf("syscallfault: process %d has no stack", pid)
}

func auxvEntry(key, value uint64) []byte {
	return binary.NativeEndian.AppendUint64(binary.NativeEndian.AppendUint64(nil, key), value)
}

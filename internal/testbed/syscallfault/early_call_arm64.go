package syscallfault

import "golang.org/x/sys/unix"

// earlyCall is the number of a system call that the dynamic loader makes before the Go runtime looks for the vDSO. A program
// that is linked statically makes no such call on arm64, and reads the clock of the system.
const earlyCall = unix.SYS_SET_TID_ADDRESS

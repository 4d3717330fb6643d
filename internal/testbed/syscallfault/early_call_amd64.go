package syscallfault

import "golang.org/x/sys/unix"

// earlyCall is the number of a system call that each program makes before the Go runtime looks for the vDSO.
const earlyCall = unix.SYS_ARCH_PRCTL

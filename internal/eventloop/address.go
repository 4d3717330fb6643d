package eventloop

// This file owns how addresses are read and written. It must never resolve a name, which would block the loop.

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// maxQuotedAddr bounds how much of an invalid address an error quotes.
const maxQuotedAddr = 60

// parseAddr reads an IP address and a port.
func parseAddr(addr string) (family int, sa unix.Sockaddr, err error) {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return 0, nil, &OpError{Op: "address", Target: fmt.Sprintf("%.*q", maxQuotedAddr, addr), Err: err}
	}
	port := int(parsed.Port())
	if ip := parsed.Addr().Unmap(); ip.Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: port, Addr: ip.As4()}, nil
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: port, Addr: parsed.Addr().As16()}, nil
}

// localAddr is the IPv4 address that a socket is bound to, or fallback for another family or where the system does
// not report one.
func localAddr(fd int, fallback string) string {
	sa, err := unix.Getsockname(fd)
	if err != nil {
		return fallback
	}
	ipv4, ok := sa.(*unix.SockaddrInet4)
	if !ok {
		return fallback
	}
	return netip.AddrPortFrom(netip.AddrFrom4(ipv4.Addr), uint16(ipv4.Port)).String()
}

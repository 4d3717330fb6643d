package eventloop

// This file contains the parsing and formatting of addresses. It never resolves host names, because a lookup would
// block the loop.

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// maxQuotedAddr is the maximum number of characters of an invalid address that [OpError.Target] quotes.
const maxQuotedAddr = 60

// parseAddr parses an IP address with a port into a socket address and its address family. An IPv4-mapped IPv6 address
// becomes an IPv4 address. The zone of an IPv6 address is ignored.
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

// localAddr returns the IPv4 address and port that a socket is bound to. It returns fallback if the socket
// has another address family or if the kernel cannot report the address.
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

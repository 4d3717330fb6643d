package peer

// This file owns handshake probes. A handshake probe opens a connection to a member's address to learn which process
// answers there with a hello, and closes the connection once the hello has arrived.

import (
	"errors"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/membership"
)

// handshakeTimeout is the maximum duration of a handshake probe, from the dial to the peer's hello. For the
// connection of an outbound stream, handshakeTimeout limits only the dial.
const handshakeTimeout = 300 * millisecond

// handshakeProbe is a connection that this orchestrator opened to learn which process listens at a member's address.
type handshakeProbe struct {
	peers  *Peers
	member string
	timer  *eventloop.Timer
}

// startHandshakeProbe opens a connection to the address of a member. The result is reported to the membership
// table.
func (p *Peers) startHandshakeProbe(address, member string) {
	p.counts.HandshakeProbes++
	h := &handshakeProbe{peers: p, member: member}
	conn, err := p.loop.Dial(address, handshakeTimeout, h)
	if err != nil {
		h.fail(err)
		return
	}
	h.timer = p.loop.After(handshakeTimeout, func() {
		conn.Close()
		h.fail(eventloop.ErrTimeout)
	})
}

// fail tells the table that the probe received no valid hello. A refused connection is an answer from the operating
// system of the member's host: no process listens there. Every other error counts as no answer.
func (h *handshakeProbe) fail(err error) {
	result := membership.HandshakeTimedOut
	if errors.Is(err, unix.ECONNREFUSED) {
		result = membership.HandshakeRefused
	}
	h.report(0, result)
}

// report passes the result to the table. nonce is the incarnation nonce in the hello, or 0 if no valid hello
// arrived.
func (h *handshakeProbe) report(nonce uint64, result membership.HandshakeResult) {
	p := h.peers
	p.perform(p.table.HandshakeProbeDone(p.loop.Now(), h.member, nonce, result))
}

// Opened implements eventloop.Handler.
func (h *handshakeProbe) Opened(conn *eventloop.Conn) { conn.Write(h.peers.hello(noRecords)) }

// Closed implements eventloop.Handler.
func (h *handshakeProbe) Closed(_ *eventloop.Conn, err error) {
	h.timer.Stop()
	h.fail(err)
}

// Data implements eventloop.Handler.
func (h *handshakeProbe) Data(conn *eventloop.Conn, b []byte) (int, error) {
	message, used, err := decodeFrame(b, maxHelloFrame)
	if err != nil || used == 0 {
		return 0, err
	}
	hello, _, err := CheckHello(h.peers.settings.Cluster, message)
	if err == nil && hello.GetName() != h.member {
		err = malformed("%s answers at the address of %s", hello.GetName(), h.member)
	}
	if err != nil {
		h.peers.counts.Refused++
		h.peers.rateLimitedLog.Warn("peer connection closed, invalid message", "member", h.member, "err", err)
		return 0, err
	}
	h.timer.Stop()
	conn.Close()
	h.report(hello.GetLife(), membership.HandshakeAnswered)
	return used, nil
}

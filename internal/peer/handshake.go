package peer

// This file owns handshake probes: a connection each, opened to see which process sends a hello, and closed
// once that is known.

import (
	"errors"

	"golang.org/x/sys/unix"

	"ravenhitch/internal/eventloop"
	"ravenhitch/internal/membership"
)

// handshakeTimeout is how long a connection opened here may take until both sides sent their hello.
const handshakeTimeout = 300 * millisecond

// handshakeProbe is a connection that this orchestrator opened to see who answers.
type handshakeProbe struct {
	peers  *Peers
	member string
	timer  *eventloop.Timer
}

// startHandshakeProbe opens a connection to a member; the result goes to the table.
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

// fail hands an error to the table: a refusal comes from the system of the other host, and all else that is no
// hello is silence.
func (h *handshakeProbe) fail(err error) {
	result := membership.HandshakeTimedOut
	if errors.Is(err, unix.ECONNREFUSED) {
		result = membership.HandshakeRefused
	}
	h.report(0, result)
}

// report hands the result to the table.
func (h *handshakeProbe) report(nonce uint64, result membership.HandshakeResult) {
	p := h.peers
	p.perform(p.table.HandshakeProbed(p.loop.Now(), h.member, nonce, result))
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
		h.peers.rateLimitedLog.Warn("peer disconnected", "member", h.member, "err", err)
		return 0, err
	}
	h.timer.Stop()
	conn.Close()
	h.report(hello.GetLife(), membership.HandshakeAnswered)
	return used, nil
}

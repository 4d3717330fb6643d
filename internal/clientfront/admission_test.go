package clientfront

import "testing"

// At the connection limit, each new client evicts exactly one connection, and connections that never sent a message
// are evicted before a connection that did.
func TestAdmissionClosesLeastUsed(t *testing.T) {
	front := startFront(t, 3)
	active, unused, alsoUnused := front.dial(t), front.dial(t), front.dial(t)
	active.send(t, echo)
	active.expect(t, echoed)
	next := front.dial(t)
	next.send(t, echo)
	next.expect(t, echoed)
	unused.expectEnd(t)
	alsoUnused.send(t, echo)
	alsoUnused.expect(t, echoed)
	active.send(t, echo)
	active.expect(t, echoed)
}

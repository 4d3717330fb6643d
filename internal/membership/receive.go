package membership

// This file handles received messages by kind.

import "math/bits"

// Receive handles a received message and returns the actions to perform.
func (t *Table) Receive(now int64, m *Message) []Action {
	t.now = now
	if m.To != t.Self.Name || m.Sender.Name == t.Self.Name {
		t.receiveNameClaim(m)
		return t.takeActions()
	}
	for _, u := range m.Updates {
		t.applyUpdate(u)
	}
	if !m.Joining {
		t.applyUpdate(m.Sender)
	}
	sender := t.members[m.Sender.Name]
	if sender != nil && sender.Nonce == m.Sender.Nonce && sender.State <= Suspect {
		sender.lastAliveAt, sender.lastDatagramAt = now, now
		t.pathWorks(sender, &sender.inbound)
	}
	switch m.Kind {
	case Ping:
		t.receivePing(m, sender)
	case Ack:
		if t.joining && !m.Joining && t.conflictAt == 0 {
			t.completeJoin()
		}
		t.receiveAck(m, sender)
	case PingRequest:
		t.receivePingRequest(m)
	case PingRequestResult:
		t.receivePingRequestResult(m)
	}
	return t.takeActions()
}

// receiveNameClaim handles a message that is addressed to another name, or that comes from a process with the local
// name. It evaluates only the part of the message that concerns the local name.
func (t *Table) receiveNameClaim(m *Message) {
	if m.Sender.Nonce == t.Self.Nonce {
		return
	}
	if m.Sender.Name == t.Self.Name && m.Kind == Ping && t.admitted() {
		t.objectToName(m)
	}
	if m.To == t.Self.Name {
		t.updateSelf(m.Sender)
	}
}

// receivePing answers a ping with an ack. If the digests differ, it also sends pages, which are parts of the table
// (see packPage).
func (t *Table) receivePing(m *Message, sender *member) {
	if sender != nil && sender.Nonce == m.Sender.Nonce && m.OnBehalfOf == "" {
		sender.lastPingSequence = max(sender.lastPingSequence, m.Sequence)
	}
	ack := Message{Kind: Ack, Sequence: m.Sequence, OnBehalfOf: m.OnBehalfOf, OnBehalfOfSequence: m.OnBehalfOfSequence}
	if requester := t.members[m.OnBehalfOf]; requester != nil {
		ack.DirectPingReceived = requester.lastPingSequence >= m.OnBehalfOfSequence
	}
	address, buckets := t.addressOf(m.Sender.Name), t.differingBuckets(m)
	if (m.Joining || sender != nil && sender.Nonce != m.Sender.Nonce) && m.Sender.Addr != address {
		// The known address may be that of another process with the sender's name, so an ack is also sent to the
		// address in the message.
		t.sendToAddress(m.Sender.Addr, m.Sender.Name, ack, buckets)
	}
	if address == "" {
		return
	}
	t.sendToAddress(address, m.Sender.Name, ack, buckets)
	// If many buckets differ, the sender gets a few more pages, but not the entire table at once.
	for range bits.OnesCount32(buckets) / 4 {
		t.sendToAddress(address, m.Sender.Name, Message{Kind: Ack}, buckets)
	}
}

// receiveAck handles an ack that answers the ping of a local probe or of a relayed probe. It ignores all
// other acks. It also ignores an ack whose sender is not in the table, or is another process than the one that the
// table has under that name.
func (t *Table) receiveAck(m *Message, sender *member) {
	if sender == nil || sender.Nonce != m.Sender.Nonce {
		return
	}
	for _, p := range t.probes {
		if p.sequence == m.Sequence && p.name == m.Sender.Name {
			p.acked = true
			sender.rtt = (7*sender.rtt + t.now - p.startedAt) / 8
			t.pathWorks(sender, &sender.outbound)
			t.pathWorks(sender, &sender.inbound)
		}
	}
	t.answerRelayedProbe(m)
}

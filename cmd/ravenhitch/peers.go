package main

// This file connects the server with the other orchestrators of its cluster. The server calls startPeers only
// if the section [peers] of the operators' file names an address to listen on. Without such an address,
// the server opens no socket for other orchestrators.

import (
	"cmp"

	"ravenhitch/internal/admin"
	"ravenhitch/internal/config"
	"ravenhitch/internal/membership"
	"ravenhitch/internal/peer"
)

// startPeers determines the incarnation of this start, opens the sockets for the other orchestrators and starts the
// membership table.
func (s *server) startPeers(cfg config.Config, peers config.Peers) error {
	incarnation, fault, err := peer.NextIncarnation(peers.Directory)
	if err != nil {
		return err
	}
	if fault != "" {
		s.log.Warn("incarnation counter reset", "cause", fault)
	}
	settings := peer.Settings{Listen: peers.Listen, Cluster: peers.Cluster, Name: cfg.Name,
		Zone: cmp.Or(peers.Zone, cfg.Settings.Zone), Incarnation: incarnation}
	for _, member := range peers.Members {
		settings.Members = append(settings.Members, membership.Peer{Name: member.Name, Addr: member.Address})
	}
	if s.peers, err = peer.New(s.loop, settings, s.log); err != nil {
		return err
	}
	s.log.Info("membership", "event", "listens", "address", s.peers.Addr())
	if s.assignment != nil {
		s.peers.OnView(s.assignment.onView)
	}
	return nil
}

// statusReport returns the reply to the admin call PEERS: the membership table, or an error.
func (s *server) statusReport() []byte {
	if s.peers == nil {
		return admin.ErrorReply("no peers: [peers] names no place in the operators' file")
	}
	b, err := s.peers.StatusReport().Reply()
	if err != nil {
		return admin.ErrorReply(err.Error())
	}
	return b
}

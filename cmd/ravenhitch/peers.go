package main

// This file joins the server with the other orchestrators that it knows. It must never open a socket
// where the operators' file names no address for it.

import (
	"cmp"

	"ravenhitch/internal/admin"
	"ravenhitch/internal/config"
	"ravenhitch/internal/membership"
	"ravenhitch/internal/peer"
)

// startPeers opens the sockets between orchestrators and joins the membership table.
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

// statusReport is the answer to an operator who requests the membership table.
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

package main

// This file joins the orchestrators that know each other with the program. It must never
// start where the operators' file names no place for it.

import (
	"ravenhitch/internal/admin"
	"ravenhitch/internal/config"
	"ravenhitch/internal/membership"
	"ravenhitch/internal/peer"
)

// startPeers opens the sockets between orchestrators.
func (p *server) startPeers(cfg config.Config, s config.Peers) error {
	incarnation, fault, err := peer.Start(s.Folder)
	if err != nil {
		return err
	}
	if fault != "" {
		p.log.Warn("incarnation counter reset", "cause", fault)
	}
	t := peer.Settings{Listen: s.Listen, Cluster: s.Cluster, Name: cfg.Name, Zone: s.Hall, Incarnation: incarnation}
	if t.Zone == "" {
		t.Zone = cfg.Settings.Zone
	}
	for _, m := range s.Members {
		t.Members = append(t.Members, membership.Peer{Name: m.Name, Addr: m.Address})
	}
	if p.peers, err = peer.New(p.loop, t, p.log); err != nil {
		return err
	}
	p.log.Info("membership", "event", "listens", "address", p.peers.Addr())
	if p.assignment != nil {
		p.peers.OnView(p.assignment.onView)
	}
	return nil
}

// statusReport is the answer to an operator who asks for the table of members.
func (p *server) statusReport() []byte {
	if p.peers == nil {
		return admin.ErrorReply("no peers: [peers] names no place in the operators' file")
	}
	b, err := p.peers.StatusReport().Reply()
	if err != nil {
		return admin.ErrorReply(err.Error())
	}
	return b
}

package peer

// This file owns the status report: the table of members as operators read it.

import (
	"encoding/json"
	"fmt"
)

// StatusReport is the table of a running orchestrator.
type StatusReport struct {
	Cluster string   `json:"cluster"`
	Name    string   `json:"name"`
	Doubt   int      `json:"doubt"` // of itself: 0 to 8
	View    View     `json:"view"`
	Members []Member `json:"members"` // itself first
	Traffic Traffic  `json:"traffic"`
}

// Told is the former name of [StatusReport]; internal/standin/fleet still uses it.
type Told = StatusReport

// View is the stable view.
type View struct {
	Number int64    `json:"number"` // of changes at this orchestrator
	Digest string   `json:"digest"` // the same wherever the same members are seen
	Names  []string `json:"names"`
}

// Member is a line of the table.
type Member struct {
	Name        string `json:"name"`
	Zone        string `json:"hall"` // as operators' words and the wire have it
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	State       string `json:"state"`
	Link        string `json:"link"`
	Slow        bool   `json:"slow,omitempty"`
	RTTMs       int64  `json:"rtt_ms"`
	SilentMs    int64  `json:"silent_ms"` // since it last proved to live
	Evidence    string `json:"evidence,omitempty"`
}

// Traffic is what passed, in datagrams and bytes.
type Traffic struct {
	Sent            int64 `json:"sent"`
	SentBytes       int64 `json:"sent_bytes"`
	Received        int64 `json:"received"`
	ReceivedBytes   int64 `json:"received_bytes"`
	Lost            int64 `json:"lost"`    // that the system did not take
	Refused         int64 `json:"refused"` // that made no sense here
	HandshakeProbes int64 `json:"knocks"`
}

// StatusReport is the table as it stands.
func (p *Peers) StatusReport() StatusReport {
	view := p.table.View()
	report := StatusReport{
		Cluster: p.s.Cluster,
		Name:    p.s.Name,
		Doubt:   p.table.HealthScore(),
		View:    View{view.Number, fmt.Sprintf("%016x", view.Digest), view.Names},
		Traffic: Traffic{
			Sent:            p.counts.Sent,
			SentBytes:       p.counts.SentBytes,
			Received:        p.counts.Received,
			ReceivedBytes:   p.counts.ReceivedBytes,
			Lost:            p.counts.Lost + p.socket.Dropped(),
			Refused:         p.counts.Refused,
			HandshakeProbes: p.counts.HandshakeProbes,
		},
	}
	for i, m := range p.table.Members() {
		link := m.Path.String()
		if i == 0 {
			link = "itself"
		}
		report.Members = append(report.Members, Member{
			Name:        m.Name,
			Zone:        m.Zone,
			Address:     m.Addr,
			Incarnation: m.Incarnation,
			State:       m.State.String(),
			Link:        link,
			Slow:        m.Slow,
			RTTMs:       m.RTTUs / 1000,
			SilentMs:    m.SinceAliveUs / 1000,
			Evidence:    m.Evidence,
		})
	}
	return report
}

// Reply is the report as the answer to a call: a line of JSON, then a line ".".
func (r StatusReport) Reply() ([]byte, error) {
	b, err := json.Marshal(r)
	return append(b, "\n.\n"...), err
}

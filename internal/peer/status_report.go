package peer

// This file owns the status report: the membership table as operators read it. Its JSON names stay as they
// are: tools of operators read them.

import (
	"encoding/json"
	"fmt"

	"ravenhitch/internal/membership"
)

// StatusReport is the membership table of a running orchestrator.
type StatusReport struct {
	Cluster     string   `json:"cluster"`
	Name        string   `json:"name"`
	HealthScore int      `json:"doubt"` // the local health score: 0 is healthy, 8 the worst
	View        View     `json:"view"`
	Members     []Member `json:"members"` // the local one first
	Traffic     Traffic  `json:"traffic"`
}

// View is the stable view.
type View struct {
	Number int64    `json:"number"` // of changes at this orchestrator
	Digest string   `json:"digest"` // the same wherever the same members are seen
	Names  []string `json:"names"`
}

// Member is a line of the table.
type Member struct {
	Name         string `json:"name"`
	Zone         string `json:"hall"`
	Address      string `json:"address"`
	Incarnation  uint64 `json:"incarnation"`
	State        string `json:"state"`
	Path         string `json:"link"` // the direct path, "itself" for the local member
	Slow         bool   `json:"slow,omitempty"`
	RTTMs        int64  `json:"rtt_ms"`
	SinceAliveMs int64  `json:"silent_ms"` // since it last proved to be alive
	Evidence     string `json:"evidence,omitempty"`
}

// Traffic is what passed, in datagrams and bytes.
type Traffic struct {
	Sent            int64 `json:"sent"`
	SentBytes       int64 `json:"sent_bytes"`
	Received        int64 `json:"received"`
	ReceivedBytes   int64 `json:"received_bytes"`
	Lost            int64 `json:"lost"`    // could not be sent
	Refused         int64 `json:"refused"` // were invalid
	HandshakeProbes int64 `json:"knocks"`
}

const (
	usPerMs = 1_000
	// localLink stands in place of a path to the local member.
	localLink = "itself"
)

// StatusReport is the table as it is now.
func (p *Peers) StatusReport() StatusReport {
	view := p.table.View()
	report := StatusReport{
		Cluster:     p.settings.Cluster,
		Name:        p.settings.Name,
		HealthScore: p.table.HealthScore(),
		View:        View{view.Number, fmt.Sprintf("%016x", view.Digest), view.Names},
		Traffic:     p.traffic(),
	}
	for _, m := range p.table.Members() {
		report.Members = append(report.Members, memberLine(&m))
	}
	report.Members[0].Path = localLink
	return report
}

func (p *Peers) traffic() Traffic {
	return Traffic{
		Sent:            p.counts.Sent,
		SentBytes:       p.counts.SentBytes,
		Received:        p.counts.Received,
		ReceivedBytes:   p.counts.ReceivedBytes,
		Lost:            p.counts.Lost + p.socket.Dropped(),
		Refused:         p.counts.Refused,
		HandshakeProbes: p.counts.HandshakeProbes,
	}
}

func memberLine(m *membership.Member) Member {
	return Member{
		Name:         m.Name,
		Zone:         m.Zone,
		Address:      m.Addr,
		Incarnation:  m.Incarnation,
		State:        m.State.String(),
		Path:         m.Path.String(),
		Slow:         m.Slow,
		RTTMs:        m.RTTUs / usPerMs,
		SinceAliveMs: m.SinceAliveUs / usPerMs,
		Evidence:     m.Evidence,
	}
}

// Reply is the report as the answer to an admin call: a line of JSON, then a line ".".
func (r StatusReport) Reply() ([]byte, error) {
	b, err := json.Marshal(r)
	return append(b, "\n.\n"...), err
}

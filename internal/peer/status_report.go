package peer

// This file owns the status report, which shows the membership table to operators. The JSON names must not change,
// because operators' tools read them.

import (
	"encoding/json"
	"fmt"

	"ravenhitch/internal/membership"
)

// StatusReport is the report of a running orchestrator for operators: its membership table, its stable view of the
// membership, and its traffic with other orchestrators.
type StatusReport struct {
	Cluster     string   `json:"cluster"`
	Name        string   `json:"name"`
	HealthScore int      `json:"doubt"` // the local health score, from 0 (healthy) to 8 (worst)
	View        View     `json:"view"`
	Members     []Member `json:"members"` // the local member first, the others sorted by name
	Traffic     Traffic  `json:"traffic"`
}

// View is the stable view of the membership.
type View struct {
	Number int64    `json:"number"` // 1 for this orchestrator's first view, and 1 more for each change of the view
	Digest string   `json:"digest"` // equal at all orchestrators whose views hold the same processes
	Names  []string `json:"names"`
}

// Member is one line of the membership table.
type Member struct {
	Name         string `json:"name"`
	Zone         string `json:"hall"`
	Address      string `json:"address"`
	Incarnation  uint64 `json:"incarnation"`
	State        string `json:"state"`
	Path         string `json:"link"` // state of the direct path; localMemberPath for the local member
	Slow         bool   `json:"slow,omitempty"`
	RTTMs        int64  `json:"rtt_ms"`
	SinceAliveMs int64  `json:"silent_ms"` // milliseconds since the last proof that the member is alive
	Evidence     string `json:"evidence,omitempty"`
}

// Traffic holds the number of datagrams, bytes and handshake probes since the start.
type Traffic struct {
	Sent            int64 `json:"sent"`
	SentBytes       int64 `json:"sent_bytes"`
	Received        int64 `json:"received"`
	ReceivedBytes   int64 `json:"received_bytes"`
	Lost            int64 `json:"lost"`    // datagrams that could not be sent
	Refused         int64 `json:"refused"` // invalid datagrams, hellos, records and inbound frames
	HandshakeProbes int64 `json:"knocks"`
}

const (
	usPerMs = 1_000
	// localMemberPath is the value of Member.Path for the local member, to which there is no path.
	localMemberPath = "itself"
)

// StatusReport returns the current status report of this orchestrator.
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
	report.Members[0].Path = localMemberPath
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

// Reply returns the report as the reply to an admin call: one line of JSON, followed by a line that holds only ".".
func (r StatusReport) Reply() ([]byte, error) {
	b, err := json.Marshal(r)
	return append(b, "\n.\n"...), err
}

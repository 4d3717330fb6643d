package peer

// This file owns how the table is told to operators' staff.

import (
	"encoding/json"
	"fmt"
)

// Told is the table of a running orchestrator.
type Told struct {
	Cluster string   `json:"cluster"`
	Name    string   `json:"name"`
	Doubt   int      `json:"doubt"` // of itself: 0 to 8
	View    View     `json:"view"`
	Members []Member `json:"members"` // itself first
	Traffic Traffic  `json:"traffic"`
}

// View is the stable view.
type View struct {
	Number int64    `json:"number"` // of changes at this orchestrator
	Digest string   `json:"digest"` // the same wherever the same members are seen
	Names  []string `json:"names"`
}

// Member is a line of the table.
type Member struct {
	Name        string `json:"name"`
	Hall        string `json:"hall"`
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
	Sent          int64 `json:"sent"`
	SentBytes     int64 `json:"sent_bytes"`
	Received      int64 `json:"received"`
	ReceivedBytes int64 `json:"received_bytes"`
	Lost          int64 `json:"lost"`    // that the system did not take
	Refused       int64 `json:"refused"` // that made no sense here
	Knocks        int64 `json:"knocks"`
}

// Table is the table as it stands.
func (p *Peers) Table() Told {
	v := p.table.View()
	t := Told{Cluster: p.s.Cluster, Name: p.s.Name, Doubt: p.table.Doubt(), View: View{v.Number, fmt.Sprintf("%016x", v.Digest), v.Names},
		Traffic: Traffic{p.counts.Sent, p.counts.SentBytes, p.counts.Received, p.counts.ReceivedBytes, p.counts.Lost + p.socket.Lost(),
			p.counts.Refused, p.counts.Knocks}}
	for i, m := range p.table.Members() {
		link := m.Link.String()
		if i == 0 {
			link = "itself"
		}
		t.Members = append(t.Members, Member{m.Name, m.Hall, m.Addr, m.Incarnation, m.State.String(), link, m.Slow, m.RTTUs / 1000,
			m.ContactUs / 1000, m.Evidence})
	}
	return t
}

// Answer is the table as the answer to a call: a line of JSON, then a line ".".
func (t Told) Answer() ([]byte, error) {
	b, err := json.Marshal(t)
	return append(b, "\n.\n"...), err
}

package main

// This file owns the sub-command that prints the membership table of a running orchestrator. It makes one admin
// call and changes nothing.

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"text/tabwriter"
	"time"

	"ravenhitch/internal/peer"
)

const (
	// adminTimeout limits the time to connect and, separately, the time to send the call and read the reply.
	adminTimeout = 2 * time.Second
	// maxAdminReply is the maximum number of bytes that are read from a reply.
	maxAdminReply = 8 << 20
)

type peersCommand struct {
	AdminAddr string `name:"mgmt" required:"" env:"ROUTER_MGMT" placeholder:"ADDRESS:PORT" help:"Where operators' staff call it."`
	JSON      bool   `help:"Print what it answers as it is."`
}

// Run requests the membership table and prints it to out.
func (c *peersCommand) Run(out io.Writer) error {
	text, err := adminRequest(c.AdminAddr, "PEERS")
	if err != nil {
		return err
	}
	if c.JSON {
		_, err := fmt.Fprintln(out, text)
		return err
	}
	var report peer.StatusReport
	if err := json.Unmarshal([]byte(text), &report); err != nil {
		return fmt.Errorf("%s: the reply to PEERS is not a membership table: %w", c.AdminAddr, err)
	}
	_, err = io.WriteString(out, formatStatusReport(report))
	return err
}

// adminRequest makes one admin call and returns the text of the reply, without the final line ".". If the reply reports
// an error, adminRequest returns it as an error.
func adminRequest(addr, call string) (string, error) {
	conn, err := net.DialTimeout("tcp", addr, adminTimeout)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }() // a failed close does not affect the reply
	if err := conn.SetDeadline(time.Now().Add(adminTimeout)); err != nil {
		return "", err
	}
	if _, err := fmt.Fprintln(conn, call); err != nil {
		return "", err
	}
	b, err := io.ReadAll(io.LimitReader(conn, maxAdminReply))
	if err != nil {
		return "", err
	}
	if reason, ok := strings.CutPrefix(string(b), "-ERR "); ok {
		return "", errors.New(strings.TrimSpace(reason))
	}
	text, ok := strings.CutSuffix(string(b), "\n.\n")
	if !ok {
		return "", fmt.Errorf("%s: %s: the answer was cut off after %d bytes", addr, call, len(b))
	}
	return text, nil
}

// formatStatusReport formats the membership table as text with aligned columns.
func formatStatusReport(report peer.StatusReport) string {
	var text strings.Builder
	fmt.Fprintf(&text, "cluster %s as seen by %s; view number %d with %d members, digest %s; "+
		"local health score %d (0 healthy, 8 worst)\n\n",
		report.Cluster, report.Name, report.View.Number, len(report.View.Names), report.View.Digest, report.HealthScore)
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(table, format, args...) } // a Builder never fails
	row("MEMBER\tZONE\tSTATE\tINCARNATION\tLINK\tRTT\tSILENT\tADDRESS\tEVIDENCE\n")
	for _, m := range report.Members {
		state := m.State
		if m.Slow {
			state += ", slow"
		}
		row("%s\t%s\t%s\t%d\t%s\t%d ms\t%d ms\t%s\t%s\n",
			m.Name, m.Zone, state, m.Incarnation, m.Path, m.RTTMs, m.SinceAliveMs, m.Address, m.Evidence)
	}
	_ = table.Flush() // a Builder never fails
	traffic := report.Traffic
	fmt.Fprintf(&text, "\ndatagrams: %d sent (%d bytes), %d received (%d bytes), %d not sent; "+
		"invalid datagrams and rejected connections: %d; handshake probes: %d\n",
		traffic.Sent, traffic.SentBytes, traffic.Received, traffic.ReceivedBytes, traffic.Lost, traffic.Refused,
		traffic.HandshakeProbes)
	return text.String()
}

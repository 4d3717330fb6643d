package main

// This file owns the sub-commands. Each ends by itself, and none serves.

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"ravenhitch/internal/peer"
)

// commands are what may follow the program's name.
type commands struct {
	Peers    peersCommand    `cmd:"" help:"Print who a running orchestrator believes is there."`
	Rehearse rehearseCommand `cmd:"" help:"Play faults between orchestrators on this machine, and show what comes of it."`
}

type peersCommand struct {
	Mgmt string `required:"" env:"ROUTER_MGMT" placeholder:"ADDRESS:PORT" help:"Where operators' staff call it."`
	JSON bool   `help:"Print what it answers as it is."`
}

// command runs a sub-command and returns the exit code.
func command(args []string, out, errs io.Writer) int {
	var c commands
	code := -1
	k, err := kong.New(&c, kong.Name("ravenhitch"), kong.Description("Without a command it serves; see -h."), kong.Writers(out, errs),
		kong.Exit(func(n int) { code = n }), kong.BindTo(out, (*io.Writer)(nil)))
	if err == nil {
		var ctx *kong.Context
		if ctx, err = k.Parse(args); code >= 0 {
			return code // help was asked for
		}
		if err == nil {
			err = ctx.Run()
		}
	}
	if err != nil {
		fmt.Fprintln(errs, "ravenhitch:", err)
		return 1
	}
	return 0
}

// adminRequest makes one call of operators' staff.
func adminRequest(addr, line string) (string, error) {
	const patience = 2 * time.Second
	c, err := net.DialTimeout("tcp", addr, patience)
	if err != nil {
		return "", err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(patience)); err != nil {
		return "", err
	}
	if _, err := fmt.Fprintln(c, line); err != nil {
		return "", err
	}
	b, err := io.ReadAll(io.LimitReader(c, 8<<20))
	if err != nil {
		return "", err
	}
	if why, ok := strings.CutPrefix(string(b), "-ERR "); ok {
		return "", errors.New(strings.TrimSpace(why))
	}
	text, ok := strings.CutSuffix(string(b), "\n.\n")
	if !ok {
		return "", fmt.Errorf("%s: %s: the answer was cut off after %d bytes", addr, line, len(b))
	}
	return text, nil
}

// Run prints the table.
func (c *peersCommand) Run(out io.Writer) error {
	text, err := adminRequest(c.Mgmt, "PEERS")
	if err != nil {
		return err
	}
	if c.JSON {
		fmt.Fprintln(out, text)
		return nil
	}
	var t peer.StatusReport
	if err := json.Unmarshal([]byte(text), &t); err != nil {
		return fmt.Errorf("%s: %w", c.Mgmt, err)
	}
	fmt.Fprintf(out, "cluster %s, as %s sees it; view %d of %d members, %s; doubt of itself %d of 8\n\n", t.Cluster, t.Name, t.View.Number,
		len(t.View.Names), t.View.Digest, t.Doubt)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tHALL\tSTATE\tINCARNATION\tLINK\tRTT\tSILENT\tADDRESS\tEVIDENCE")
	for _, m := range t.Members {
		state := m.State
		if m.Slow {
			state += ", slow"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d ms\t%d ms\t%s\t%s\n", m.Name, m.Zone, state, m.Incarnation, m.Link, m.RTTMs, m.SilentMs,
			m.Address, m.Evidence)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "\n%d datagrams sent (%d bytes), %d received (%d), %d lost, %d refused, %d knocks\n", t.Traffic.Sent, t.Traffic.SentBytes,
		t.Traffic.Received, t.Traffic.ReceivedBytes, t.Traffic.Lost, t.Traffic.Refused, t.Traffic.HandshakeProbes)
	return nil
}

package config

// This file owns what the operators' file may say: its types, how it is loaded, and what
// several directives must say together. It must never pass over an unknown directive: a
// misspelt one would silently leave its part off.

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"time"
)

const (
	defaultPrefix = "ravenhitch"
	// defaultIntervalMs is how often metrics are sent, in milliseconds.
	defaultIntervalMs = 10_000
)

// OperatorSettings is the content of the operators' file: further protocols, each of which is off
// while its address is empty, backpressure, and the log.
type OperatorSettings struct {
	GRPCListen        string
	GRPCCert, GRPCKey string // files of a certificate and its key, or ""
	RetryTokenKeys    string // file of the keys of retry tokens, or ""
	Graphite          Metrics
	Collectd          Metrics
	Backpressure      Backpressure
	Peers             Peers
	Workers           WorkerConnections
	// LogLevel is the lowest level that is written: info, or debug for a line at each step
	// of every request, which costs time under load.
	LogLevel slog.Level
	// Trace limits the debug lines of requests to request IDs that end in one of these
	// hex digits; none: every request.
	Trace []string
}

// Metrics says where metrics are sent, and how often.
type Metrics struct {
	Address    string
	Prefix     string
	IntervalMs int64
}

// Peers says how orchestrators find each other; off while Listen is empty.
type Peers struct {
	Listen, Cluster string
	Zone            string // zone, "" for that of the configuration
	Directory       string // directory that survives restarts, or ""
	Members         []PeerAddress
	// Partition divides the workers among the live orchestrators: each one places tasks at
	// its own workers only, and asks discovery for the free capacity of these.
	Partition bool
	// Regions maps zones to regions: the workers of a zone are divided among the
	// orchestrators of its region.
	Regions map[string]string

	// The words that an error of validate refers to: partition, the first region, and the
	// name of the first member without a zone; nil where the file has none.
	partitionWord, firstRegionWord, firstZonelessWord *Word
}

// WorkerConnections says how connections to workers are monitored.
type WorkerConnections struct {
	// Keepalive is the time without data after which the system probes a worker's
	// connection, where an answer proves the connection; 0: only data does.
	Keepalive time.Duration
}

// PeerAddress is where another orchestrator is reached, and its zone, "" if unknown.
type PeerAddress struct{ Name, Address, Zone string }

// Backpressure configures Retry-After.
type Backpressure struct {
	FixedRetryAfter time.Duration // the same for all; 0: that of a reserved slot
	MinRetryAfter   time.Duration // lower bound of Retry-After
	MaxClients      int           // clients remembered at most; 0: a number that fits a small host
}

// LoadOperatorSettings reads the operators' file. If there is none, it returns the defaults. Its
// errors wrap ErrConfig.
func LoadOperatorSettings(path string) (OperatorSettings, error) {
	if strings.HasSuffix(path, ".json") {
		return OperatorSettings{}, fmt.Errorf("%w: %s: the operators' file is line-based now, see deploy/ravenhitch.conf",
			ErrConfig, path)
	}
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return ParseOperatorSettings(path, nil)
	}
	if err != nil {
		return OperatorSettings{}, fmt.Errorf("%w: %w", ErrConfig, err)
	}
	return ParseOperatorSettings(path, text)
}

// ParseOperatorSettings parses the text of the operators' file. Its errors wrap ErrConfig and a
// *PositionError or a *SectionError.
func ParseOperatorSettings(file string, text []byte) (OperatorSettings, error) {
	o := OperatorSettings{
		Graphite: Metrics{Prefix: defaultPrefix, IntervalMs: defaultIntervalMs},
		Collectd: Metrics{Prefix: defaultPrefix, IntervalMs: defaultIntervalMs},
	}
	sections, err := ParseLines(file, text)
	if err == nil {
		err = apply(sections, o.directives())
	}
	if err == nil {
		err = o.validate(file)
	}
	if err != nil {
		return OperatorSettings{}, fmt.Errorf("%w: %w", ErrConfig, err)
	}
	return o, nil
}

// validate checks what several directives must say together.
func (o *OperatorSettings) validate(file string) error {
	if (o.GRPCCert == "") != (o.GRPCKey == "") {
		return &SectionError{File: file, Section: "grpc", Want: "both cert and key, or neither"}
	}
	if (o.Peers.Listen == "") != (o.Peers.Cluster == "") {
		return &SectionError{File: file, Section: "peers", Want: "both listen and cluster, or neither"}
	}
	return o.Peers.validate()
}

// validate checks what the directives of a partition must say together.
func (p *Peers) validate() error {
	switch {
	case p.Partition && p.Listen == "":
		return p.partitionWord.Expected(
			"listen and cluster beside partition on, as the workers are divided among the members")
	case p.firstRegionWord != nil && !p.Partition:
		return p.firstRegionWord.Expected("partition on beside region")
	case p.firstRegionWord != nil && p.firstZonelessWord != nil:
		return p.firstZonelessWord.Expected("a name, address:port and the zone, as regions are named")
	}
	return nil
}

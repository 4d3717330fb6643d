package config

// This file owns the settings of the operators' file: their types, the loading of the file, and the
// rules that concern several directives together. It must never ignore an unknown directive: a
// misspelt directive would silently leave its feature off.

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
	// defaultIntervalMs is the default interval at which metrics are sent, in milliseconds.
	defaultIntervalMs = 10_000
)

// OperatorSettings is the content of the operators' file: optional protocols, each of which is off
// while its address is empty, and the settings of backpressure, worker connections and the log.
type OperatorSettings struct {
	GRPCListen         string
	GRPCCert, GRPCKey  string // paths of the certificate and its key, or ""
	RetryTokenKeysPath string // path of the file of retry token keys, or ""
	Graphite           Metrics
	Collectd           Metrics
	Backpressure       Backpressure
	Peers              Peers
	Workers            WorkerConnections
	// LogLevel is the lowest level of log lines that are written. At the debug level, each
	// step of every request writes a line, which costs time under load.
	LogLevel slog.Level
	// Trace limits the debug lines about requests to request IDs that end in one of these
	// suffixes of hex digits. If it is empty, every request is logged.
	Trace []string
}

// Metrics configures a receiver of metrics: its address, the prefix of the names of metrics, and the
// interval at which they are sent.
type Metrics struct {
	Address    string
	Prefix     string
	IntervalMs int64
}

// Peers configures the connections to other orchestrators. If Listen is empty, there are no such
// connections.
type Peers struct {
	Listen, Cluster string
	Zone            string // zone of this orchestrator, "" for the zone of the configuration
	Directory       string // path of the directory that stores the number of process starts, or ""
	Members         []PeerAddress
	// Partition divides the workers among the live orchestrators. Each orchestrator places tasks only
	// on the workers assigned to it, and asks discovery to report free capacity only for these workers.
	Partition bool
	// Regions maps zones to their regions. The workers of a zone are divided among the
	// orchestrators of its region. All zones without an entry form one region together.
	Regions map[string]string

	// Words whose positions are reported by the errors of the validate method: the directive name
	// "partition", the first directive name "region", and the name of the first member without a
	// zone. Each is nil if the file has no such word.
	partitionWord, firstRegionWord, firstZonelessWord *Word
}

// WorkerConnections configures how connections to workers are monitored.
type WorkerConnections struct {
	// Keepalive is the time without a packet from a worker after which the operating system
	// sends a TCP keepalive probe. Any TCP acknowledgement from the worker, such as the answer
	// to the probe, proves that the connection is alive. If Keepalive is 0, only data that the
	// worker sends proves this.
	Keepalive time.Duration
}

// PeerAddress is the name, the address and the zone of another orchestrator. Zone is "" if unknown.
type PeerAddress struct{ Name, Address, Zone string }

// Backpressure configures Retry-After.
type Backpressure struct {
	FixedRetryAfter      time.Duration // Retry-After of all clients; 0: computed for each client
	MinRetryAfter        time.Duration // lower bound of a computed Retry-After; see backpressure.Settings for exceptions
	MaxRememberedClients int           // maximum number of rejected clients remembered; 0: default of package backpressure
}

// LoadOperatorSettings reads the operators' file. If the file does not exist, it returns the defaults. A
// path that ends in .json is an error, because it refers to the JSON file of earlier versions. The
// errors of LoadOperatorSettings wrap ErrConfig.
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

// ParseOperatorSettings parses the text of the operators' file. file is the name of the file in error
// texts. Errors wrap ErrConfig and a *PositionError or a *SectionError.
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

// validate checks the rules that concern several directives together.
func (o *OperatorSettings) validate(file string) error {
	if (o.GRPCCert == "") != (o.GRPCKey == "") {
		return &SectionError{File: file, Section: "grpc", Want: "both cert and key, or neither"}
	}
	if (o.Peers.Listen == "") != (o.Peers.Cluster == "") {
		return &SectionError{File: file, Section: "peers", Want: "both listen and cluster, or neither"}
	}
	return o.Peers.validate()
}

// validate checks the rules that concern the directives listen, partition, region and member together.
func (p *Peers) validate() error {
	switch {
	case p.Partition && p.Listen == "":
		return p.partitionWord.Expected(
			"listen and cluster to be set if partition is on, because the workers are divided among the members")
	case p.firstRegionWord != nil && !p.Partition:
		return p.firstRegionWord.Expected("partition to be on if region is set")
	case p.firstRegionWord != nil && p.firstZonelessWord != nil:
		return p.firstZonelessWord.Expected("a name, address:port and a zone for every member if region is set")
	}
	return nil
}

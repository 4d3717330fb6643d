package config

// This file owns what the operators' file may say. A directive that is not known is
// an error: a misspelt one would silently leave its part off.

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"
)

// Operators is what the operators' file says of the further protocols, each of which is
// off where its address is empty, and of crowds.
type Operators struct {
	GRPCListen        string
	GRPCCert, GRPCKey string // files of a certificate and its key, or ""
	RetryTokenKeys    string // file of the keys of return tickets, or ""
	Graphite          Metrics
	Collectd          Metrics
	Backpressure      Backpressure
	Peers             Peers
	Workers           Workers
	// LogLevel is the least level that is written: info, or debug for a line at
	// each step of every request, which costs time on a busy day.
	LogLevel slog.Level
	// Trace limits the debug lines of requests to tags that end in one of these
	// endings (hex digits); none: every request.
	Trace []string
}

// Metrics says where figures go, and how often.
type Metrics struct {
	Address string
	Prefix  string
	EveryMs int64
}

// Peers says how orchestrators know each other; off where Listen is empty.
type Peers struct {
	Listen, Cluster string
	Hall            string // "" for that of the configuration
	Folder          string // kept from start to start, or ""
	Members         []PeerAddress
	// Partition divides the workers among the orchestrators that are there: each places tasks at
	// its own alone, and asks the command channel for the room of these.
	Partition bool
	// Regions are the regions of zones: their workers are divided among the orchestrators there.
	Regions map[string]string
	// Where the file says partition and region first, and the first member without a zone.
	partitionAt, regionAt, zonelessAt *Word
}

// Workers says how connections to workers are looked after.
type Workers struct {
	// SetKeepAlive is after how long without a sign of life the system asks a worker's for one, and
	// that such a sign proves the connection; 0: only what the worker says does.
	KeepAlive time.Duration
}

// PeerAddress is where another orchestrator is reached from here, and its zone, "" where that is
// not said.
type PeerAddress struct{ Name, Address, Zone string }

// Backpressure says what advice goes with refusals.
type Backpressure struct {
	Constant time.Duration // the same for all; 0: a booked time
	Least    time.Duration // no advice is shorter
	Callers  int           // remembered at most; 0: as many as fit a small machine
}

// LoadOperators reads the operators' file. Where there is none, everything is as it is
// without a word on it.
func LoadOperators(path string) (Operators, error) {
	if strings.HasSuffix(path, ".json") {
		return Operators{}, fmt.Errorf("%w: %s: the operators' file is line-based now, see deploy/ravenhitch.conf", ErrConfig, path)
	}
	b, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return ParseOperators(path, nil)
	}
	if err != nil {
		return Operators{}, fmt.Errorf("%w: %w", ErrConfig, err)
	}
	return ParseOperators(path, b)
}

// repeated are the directives that may stand more than once.
var repeated = map[string]bool{"member": true, "region": true}

// directives are the sections and what each directive in them sets.
type directives map[string]map[string]setter

// setter sets what a directive says.
type setter = func(d Directive) error

// ParseOperators reads the text of an operators' file.
func ParseOperators(file string, b []byte) (Operators, error) {
	var e Operators
	e.Graphite, e.Collectd = Metrics{Prefix: "ravenhitch", EveryMs: 10_000}, Metrics{Prefix: "ravenhitch", EveryMs: 10_000}
	sections, err := ParseLines(file, b)
	if err == nil {
		err = read(sections, e.directives())
	}
	if err == nil {
		err = e.whole(file)
	}
	if err != nil {
		return Operators{}, fmt.Errorf("%w: %w", ErrConfig, err)
	}
	return e, nil
}

// directives are all sections, with what sets the fields of e.
func (e *Operators) directives() directives {
	return directives{
		"grpc": {
			"listen":  word(&e.GRPCListen, "address:port", isAddress),
			"cert":    word(&e.GRPCCert, "the file of a certificate", isFilled),
			"key":     word(&e.GRPCKey, "the file of its key", isFilled),
			"tickets": word(&e.RetryTokenKeys, "the file of the keys of return tickets", isFilled),
		},
		"graphite": e.Graphite.directives("address:port", isAddress),
		"collectd": e.Collectd.directives("the absolute path of a Unix socket", isAbsolute),
		"log": {
			"level": e.logLevel,
			"trace": e.trace,
		},
		"peers": {
			"listen":    word(&e.Peers.Listen, "address:port", isAddress),
			"cluster":   word(&e.Peers.Cluster, "a name of 1 to 64 bytes", isPeerName),
			"hall":      word(&e.Peers.Hall, "a name of 1 to 64 bytes", isPeerName),
			"folder":    word(&e.Peers.Folder, "the absolute path of a folder", isAbsolute),
			"member":    e.Peers.member,
			"region":    e.Peers.region,
			"partition": e.Peers.partition,
		},
		"workers": {
			"keepalive": e.Workers.keepAlive,
		},
		"storm": {
			"advice":  e.Backpressure.advice,
			"least":   duration(&e.Backpressure.Least, 0, time.Minute),
			"callers": e.Backpressure.callers,
		},
	}
}

// whole checks what several directives must say together.
func (e *Operators) whole(file string) error {
	if (e.GRPCCert == "") != (e.GRPCKey == "") {
		return fmt.Errorf("%s: [grpc]: expected both cert and key, or neither", file)
	}
	if (e.Peers.Listen == "") != (e.Peers.Cluster == "") {
		return fmt.Errorf("%s: [peers]: expected both listen and cluster, or neither", file)
	}
	return e.Peers.whole()
}

// whole checks what several directives of a partition must say together.
func (p *Peers) whole() error {
	switch {
	case p.Partition && p.Listen == "":
		return p.partitionAt.Wrong("listen and cluster beside partition on, as the workers are divided among the members")
	case p.regionAt != nil && !p.Partition:
		return p.regionAt.Wrong("partition on beside region")
	case p.regionAt != nil && p.zonelessAt != nil:
		return p.zonelessAt.Wrong("a name, address:port and the zone, as regions are named")
	}
	return nil
}

// word takes one word that is valid, into v.
func word(v *string, want string, valid func(string) bool) setter {
	return func(d Directive) (err error) {
		if *v, err = d.Word(want); err == nil && !valid(*v) {
			err = d.Args[0].Wrong(want)
		}
		return err
	}
}

// duration takes a duration from least to most, into v.
func duration(v *time.Duration, least, most time.Duration) setter {
	return func(d Directive) (err error) {
		*v, err = d.Duration(least, most)
		return err
	}
}

func isAddress(v string) bool    { _, err := netip.ParseAddrPort(v); return err == nil }
func isAbsolute(v string) bool   { return strings.HasPrefix(v, "/") }
func isFilled(v string) bool     { return v != "" }
func isPeerName(v string) bool   { return v != "" && len(v) <= 64 }
func isFigureName(v string) bool { return v != "" && !strings.ContainsAny(v, " \t/\"") }

// directives are those of a section of figures; want and valid are of its address.
func (m *Metrics) directives(want string, valid func(string) bool) map[string]setter {
	return map[string]setter{
		"address": word(&m.Address, want, valid),
		"prefix":  word(&m.Prefix, "a name without spaces, slashes or quotes", isFigureName),
		"every": func(d Directive) error {
			v, err := d.Duration(100*time.Millisecond, time.Hour)
			m.EveryMs = v.Milliseconds()
			return err
		},
	}
}

// logLevel takes the least level that is written.
func (e *Operators) logLevel(d Directive) error {
	v, err := d.OneOf("info", "debug")
	if v == "debug" {
		e.LogLevel = slog.LevelDebug
	}
	return err
}

// trace takes the endings of the tags that are traced.
func (e *Operators) trace(d Directive) error {
	if len(d.Args) == 0 {
		return d.Name.Wrong("trace followed by endings of tags, in hex digits")
	}
	for _, a := range d.Args {
		if a.Text == "" || len(a.Text) > 16 || strings.Trim(a.Text, "0123456789abcdef") != "" {
			return a.Wrong("an ending of a tag: 1 to 16 hex digits in lower case")
		}
		e.Trace = append(e.Trace, a.Text)
	}
	return nil
}

// advice takes the word booked, or one time for all.
func (s *Backpressure) advice(d Directive) error {
	if len(d.Args) > 0 && d.Args[0].Text == "booked" {
		_, err := d.OneOf("booked")
		return err
	}
	return duration(&s.Constant, time.Millisecond, time.Hour)(d)
}

// callers takes how many callers are remembered.
func (s *Backpressure) callers(d Directive) error {
	n, err := d.Int(1024, 16<<20)
	s.Callers = int(n)
	return err
}

// member takes the name of another orchestrator, where it is reached, and perhaps its zone.
func (p *Peers) member(d Directive) error {
	const want = "a name and address:port, and its zone where regions are named"
	if err := d.args(min(3, max(2, len(d.Args))), want); err != nil {
		return err
	}
	zone, err := p.memberZone(d)
	if err != nil {
		return err
	}
	if !isPeerName(d.Args[0].Text) {
		return d.Args[0].Wrong("a name of 1 to 64 bytes")
	}
	if !isAddress(d.Args[1].Text) {
		return d.Args[1].Wrong("address:port")
	}
	for _, m := range p.Members {
		if m.Name == d.Args[0].Text {
			return d.Args[0].Wrong("each member once")
		}
	}
	p.Members = append(p.Members, PeerAddress{d.Args[0].Text, d.Args[1].Text, zone})
	return nil
}

// memberZone is the third word of a member's line, if there is one.
func (p *Peers) memberZone(d Directive) (string, error) {
	if len(d.Args) < 3 {
		if p.zonelessAt == nil {
			p.zonelessAt = &d.Args[0]
		}
		return "", nil
	}
	zone := d.Args[2]
	if !isPeerName(zone.Text) {
		return "", zone.Wrong("a zone of 1 to 64 bytes")
	}
	return zone.Text, nil
}

// region takes the name of a region and its zones.
func (p *Peers) region(d Directive) error {
	if len(d.Args) < 2 {
		return d.Name.Wrong("region followed by its name and its zones")
	}
	if p.Regions == nil {
		p.Regions, p.regionAt = map[string]string{}, &d.Name
	}
	for _, zone := range d.Args[1:] {
		if !isPeerName(zone.Text) {
			return zone.Wrong("a zone of 1 to 64 bytes")
		}
		if p.Regions[zone.Text] != "" {
			return zone.Wrong("each zone in one region")
		}
		p.Regions[zone.Text] = d.Args[0].Text
	}
	return nil
}

// partition takes whether the workers are divided among the members.
func (p *Peers) partition(d Directive) error {
	v, err := d.OneOf("on", "off")
	p.Partition, p.partitionAt = v == "on", &d.Name
	return err
}

// keepAlive takes whole seconds, as the system counts them.
func (w *Workers) keepAlive(d Directive) error {
	v, err := d.Duration(keepAliveLeast, keepAliveMost)
	if err != nil {
		return err
	}
	if w.KeepAlive = v; v%time.Second != 0 {
		return d.Args[0].Wrong("whole seconds from " + keepAliveLeast.String() + " to " + keepAliveMost.String())
	}
	return nil
}

// The bounds of a keepalive: an end has to be told within 8 s, and takes one to come once the
// connection is found dead.
const (
	keepAliveLeast = time.Second
	keepAliveMost  = 5 * time.Second
)

// names lists what is known.
func names[V any](m map[string]V) string {
	return strings.Join(slices.Sorted(maps.Keys(m)), ", ")
}

// read hands each directive to what takes it, each at most once.
func read(sections []Section, known directives) error {
	for _, s := range sections {
		takes := known[s.Name.Text]
		if takes == nil {
			return s.Name.Wrong("a section of " + names(known))
		}
		seen := map[string]int{}
		for _, d := range s.Directives {
			take := takes[d.Name.Text]
			if take == nil {
				return d.Name.Wrong("in [" + s.Name.Text + "] one of " + names(takes))
			}
			if line := seen[d.Name.Text]; line > 0 && !repeated[d.Name.Text] {
				return d.Name.Wrong(fmt.Sprintf("each directive once; it stands in line %d", line))
			}
			seen[d.Name.Text] = d.Name.Line
			if err := take(d); err != nil {
				return err
			}
		}
	}
	return nil
}

package config

// This file owns the directives of the operators' file: which directives each section accepts,
// and which settings they set. The names of the directives and the texts of the errors must never
// change, because operators know them.

import (
	"fmt"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
)

const (
	maxNameLength        = 64 // maximum length of names of members, zones and clusters, in bytes
	maxTraceSuffixLength = 16 // maximum length of a trace suffix in hex digits: the length of a request ID

	// Bounds of the keepalive time of connections to workers. A completion must be reported within
	// 8 s of the end of its task. The maximum is lower: after a connection is found dead, time must be
	// left to report the completion on another one.
	minKeepalive = time.Second
	maxKeepalive = 5 * time.Second

	minRememberedClients = 1 << 10
	maxRememberedClients = 16 << 20
)

// setter applies a directive to the setting that it controls.
type setter = func(d Directive) error

// sectionDirectives contains the setters of all directives, by the section's name and the
// directive's name.
type sectionDirectives map[string]map[string]setter

// repeatable lists the directives that may occur more than once in a section.
var repeatable = map[string]bool{"member": true, "region": true}

// apply calls the setter of each directive. known holds the setters of all sections that are accepted.
// A section of any other name is an error.
func apply(sections []Section, known sectionDirectives) error {
	for _, s := range sections {
		setters := known[s.Name.Text]
		if setters == nil {
			return s.Name.Expected("a section of " + joinedKeys(known))
		}
		if err := s.apply(setters); err != nil {
			return err
		}
	}
	return nil
}

// apply calls the setter of each directive of the section. It returns an error for an unknown
// directive, and for a second occurrence of a directive that is not repeatable.
func (s Section) apply(setters map[string]setter) error {
	seen := map[string]int{} // line number of the latest occurrence, by the directive's name
	for _, d := range s.Directives {
		name := d.Name.Text
		set := setters[name]
		if set == nil {
			return d.Name.Expected("in [" + s.Name.Text + "] one of " + joinedKeys(setters))
		}
		if line := seen[name]; line > 0 && !repeatable[name] {
			return d.Name.Expected(fmt.Sprintf("each directive once; it stands in line %d", line))
		}
		seen[name] = d.Name.Line
		if err := set(d); err != nil {
			return err
		}
	}
	return nil
}

// joinedKeys returns the sorted keys of a map, separated by commas, for error texts.
func joinedKeys[V any](m map[string]V) string {
	return strings.Join(slices.Sorted(maps.Keys(m)), ", ")
}

// directives returns the setters of all directives. They set the fields of o.
func (o *OperatorSettings) directives() sectionDirectives {
	return sectionDirectives{
		"grpc": {
			"listen":  setWord(&o.GRPCListen, "address:port", isAddress),
			"cert":    setWord(&o.GRPCCert, "the file of a certificate", isNotEmpty),
			"key":     setWord(&o.GRPCKey, "the file of its key", isNotEmpty),
			"tickets": setWord(&o.RetryTokenKeysPath, "the file of the keys of return tickets", isNotEmpty),
		},
		"graphite": o.Graphite.directives("address:port", isAddress),
		"collectd": o.Collectd.directives("the absolute path of a Unix socket", isAbsolutePath),
		"log": {
			"level": o.setLogLevel,
			"trace": o.setTrace,
		},
		"peers": {
			"listen":    setWord(&o.Peers.Listen, "address:port", isAddress),
			"cluster":   setWord(&o.Peers.Cluster, "a name of 1 to 64 bytes", isName),
			"hall":      setWord(&o.Peers.Zone, "a name of 1 to 64 bytes", isName),
			"folder":    setWord(&o.Peers.Directory, "the absolute path of a folder", isAbsolutePath),
			"member":    o.Peers.addMember,
			"region":    o.Peers.addRegion,
			"partition": o.Peers.setPartition,
		},
		"workers": {
			"keepalive": o.Workers.setKeepalive,
		},
		"storm": {
			"advice":  o.Backpressure.setRetryAfter,
			"least":   setDuration(&o.Backpressure.MinRetryAfter, 0, time.Minute),
			"callers": o.Backpressure.setMaxClients,
		},
	}
}

// setWord returns a setter that stores the directive's only argument in field. An argument for which
// valid returns false is an error. want describes the argument in error texts.
func setWord(field *string, want string, valid func(string) bool) setter {
	return func(d Directive) error {
		word, err := d.Word(want)
		if err != nil {
			return err
		}
		if !valid(word) {
			return d.Args[0].Expected(want)
		}
		*field = word
		return nil
	}
}

// setDuration returns a setter that stores the directive's only argument, a duration of at least
// minimum and at most maximum, in field.
func setDuration(field *time.Duration, minimum, maximum time.Duration) setter {
	return func(d Directive) (err error) {
		*field, err = d.Duration(minimum, maximum)
		return err
	}
}

func isAddress(word string) bool      { _, err := netip.ParseAddrPort(word); return err == nil }
func isAbsolutePath(word string) bool { return strings.HasPrefix(word, "/") }
func isNotEmpty(word string) bool     { return word != "" }
func isName(word string) bool         { return word != "" && len(word) <= maxNameLength }
func isMetricPrefix(word string) bool { return word != "" && !strings.ContainsAny(word, " \t/\"") }

// directives returns the setters of a section that configures a receiver of metrics. The receiver's
// address must satisfy valid, and want describes it in error texts.
func (m *Metrics) directives(want string, valid func(string) bool) map[string]setter {
	return map[string]setter{
		"address": setWord(&m.Address, want, valid),
		"prefix":  setWord(&m.Prefix, "a name without spaces, slashes or quotes", isMetricPrefix),
		"every":   m.setInterval,
	}
}

// setInterval sets the interval at which metrics are sent.
func (m *Metrics) setInterval(d Directive) error {
	interval, err := d.Duration(100*time.Millisecond, time.Hour)
	m.IntervalMs = interval.Milliseconds()
	return err
}

// setLogLevel sets the lowest level of log lines that are written.
func (o *OperatorSettings) setLogLevel(d Directive) error {
	level, err := d.OneOf("info", "debug")
	if level == "debug" {
		o.LogLevel = slog.LevelDebug
	}
	return err
}

// setTrace adds the directive's arguments to the suffixes of the request IDs that are traced.
func (o *OperatorSettings) setTrace(d Directive) error {
	if len(d.Args) == 0 {
		return d.Name.Expected("trace followed by endings of tags, in hex digits")
	}
	for _, suffix := range d.Args {
		if !isHexSuffix(suffix.Text) {
			return suffix.Expected("an ending of a tag: 1 to 16 hex digits in lower case")
		}
		o.Trace = append(o.Trace, suffix.Text)
	}
	return nil
}

// isHexSuffix reports whether a word can be the end of a request ID: 1 to 16 lower-case hex digits.
func isHexSuffix(word string) bool {
	return word != "" && len(word) <= maxTraceSuffixLength && strings.Trim(word, "0123456789abcdef") == ""
}

// setRetryAfter sets how Retry-After is determined: by each client's reserved slot if the argument
// is "booked", or as one fixed duration for all clients.
func (b *Backpressure) setRetryAfter(d Directive) error {
	if len(d.Args) > 0 && d.Args[0].Text == "booked" {
		_, err := d.OneOf("booked")
		return err
	}
	return setDuration(&b.FixedRetryAfter, time.Millisecond, time.Hour)(d)
}

// setMaxClients sets the maximum number of rejected clients that are remembered.
func (b *Backpressure) setMaxClients(d Directive) error {
	count, err := d.Int(minRememberedClients, maxRememberedClients)
	b.MaxRememberedClients = int(count)
	return err
}

// addMember adds another orchestrator. The arguments are its name, its address and optionally its
// zone.
func (p *Peers) addMember(d Directive) error {
	const want = "a name and address:port, and its zone where regions are named"
	if err := d.requireArgs(min(3, max(2, len(d.Args))), want); err != nil {
		return err
	}
	zone, err := p.memberZone(d)
	if err != nil {
		return err
	}
	name, address := d.Args[0], d.Args[1]
	if !isName(name.Text) {
		return name.Expected("a name of 1 to 64 bytes")
	}
	if !isAddress(address.Text) {
		return address.Expected("address:port")
	}
	for _, m := range p.Members {
		if m.Name == name.Text {
			return name.Expected("each member once")
		}
	}
	p.Members = append(p.Members, PeerAddress{Name: name.Text, Address: address.Text, Zone: zone})
	return nil
}

// memberZone returns the zone of a member directive, which is the optional third argument, or "". For
// the first member without a zone, it stores the word that names the member, because validate reports
// the position of this word.
func (p *Peers) memberZone(d Directive) (string, error) {
	if len(d.Args) < 3 {
		if p.firstZonelessWord == nil {
			p.firstZonelessWord = &d.Args[0]
		}
		return "", nil
	}
	zone := d.Args[2]
	if !isName(zone.Text) {
		return "", zone.Expected("a zone of 1 to 64 bytes")
	}
	return zone.Text, nil
}

// addRegion assigns zones to a region. The first argument is the region's name, the others are zones.
func (p *Peers) addRegion(d Directive) error {
	if len(d.Args) < 2 {
		return d.Name.Expected("region followed by its name and its zones")
	}
	if p.Regions == nil {
		p.Regions, p.firstRegionWord = map[string]string{}, &d.Name
	}
	region := d.Args[0].Text
	for _, zone := range d.Args[1:] {
		if !isName(zone.Text) {
			return zone.Expected("a zone of 1 to 64 bytes")
		}
		if p.Regions[zone.Text] != "" {
			return zone.Expected("each zone in one region")
		}
		p.Regions[zone.Text] = region
	}
	return nil
}

// setPartition sets whether the workers are divided among the members.
func (p *Peers) setPartition(d Directive) error {
	word, err := d.OneOf("on", "off")
	p.Partition, p.partitionWord = word == "on", &d.Name
	return err
}

// setKeepalive sets the keepalive time. It must be in whole seconds, the unit of the operating
// system's TCP keepalive option.
func (w *WorkerConnections) setKeepalive(d Directive) error {
	keepalive, err := d.Duration(minKeepalive, maxKeepalive)
	if err != nil {
		return err
	}
	if keepalive%time.Second != 0 {
		return d.Args[0].Expected("whole seconds from " + minKeepalive.String() + " to " + maxKeepalive.String())
	}
	w.Keepalive = keepalive
	return nil
}

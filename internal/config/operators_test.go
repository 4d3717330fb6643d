package config

import (
	"errors"
	"log/slog"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

// operatorsErrorCase is an invalid operators' file and a part of the expected error text.
type operatorsErrorCase struct{ text, want string }

// checkOperatorsErrors checks that each text gives an error of one line that contains the expected part.
func checkOperatorsErrors(t *testing.T, cases []operatorsErrorCase) {
	t.Helper()
	for _, test := range cases {
		_, err := ParseOperatorSettings("x", []byte(test.text))
		if !errors.Is(err, ErrConfig) || !errors.Is(err, ErrLineFile) {
			t.Errorf("%q: got error %v, want one that wraps ErrConfig and ErrLineFile", test.text, err)
			continue
		}
		if strings.Contains(err.Error(), "\n") || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%q: got error %v, want one line with %q in it", test.text, err, test.want)
		}
	}
}

// The file deploy/ravenhitch.conf and a missing file give the defaults. Directives set the values that are
// written in the file, and the other settings keep their defaults. Each error is one line that names the
// position or the section, and the expected text. A path that ends in .json gives an error that refers to
// deploy/ravenhitch.conf.
func TestOperatorsFile(t *testing.T) {
	metrics := Metrics{Prefix: "ravenhitch", IntervalMs: 10_000}
	defaults := OperatorSettings{Graphite: metrics, Collectd: metrics}
	for _, path := range []string{
		filepath.Join("..", "..", "deploy", "ravenhitch.conf"),
		filepath.Join(t.TempDir(), "none.conf"),
	} {
		if o, err := LoadOperatorSettings(path); err != nil || !reflect.DeepEqual(o, defaults) {
			t.Errorf("%s: got %+v, %v, want the defaults %+v", path, o, err, defaults)
		}
	}
	wantBackpressure := Backpressure{
		FixedRetryAfter:      time.Second,
		MinRetryAfter:        20 * time.Millisecond,
		MaxRememberedClients: 2048,
	}
	o, err := ParseOperatorSettings("x", []byte("[grpc]\nlisten 127.0.0.1:7000 # here\n\n"+
		"[graphite]\r\n address 127.0.0.1:2003\r\n\tprefix \"a.b\"\n"+
		"[collectd]\naddress /run/c.sock\nevery 500ms\n[storm]\nadvice 1s\nleast 20ms\ncallers 2048"))
	if err != nil || o.GRPCListen != "127.0.0.1:7000" || o.Graphite.Prefix != "a.b" || o.Graphite.IntervalMs != 10_000 ||
		o.Collectd.Prefix != "ravenhitch" || o.Collectd.IntervalMs != 500 ||
		o.Backpressure != wantBackpressure {
		t.Errorf("got settings %+v, error %v, want the values in the text and defaults for the others", o, err)
	}
	checkOperatorsErrors(t, []operatorsErrorCase{
		{"listen 127.0.0.1:1", "x:1:1: expected a section"},
		{"[grcp]", "x:1:2: expected a section of collectd, graphite, grpc, log, peers, storm, workers"},
		{"[log]\nlevel loud", "x:2:7: expected info or debug"},
		{"[log]\ntrace", "x:2:1: expected trace followed by endings of tags, in hex digits"},
		{"[log]\ntrace 42ac8bZ6", "x:2:7: expected an ending of a tag: 1 to 16 hex digits in lower case"},
		{"[grpc]\nport 1", "x:2:1: expected in [grpc] one of cert, key, listen, tickets"},
		{"[grpc]\nlisten here", "x:2:8: expected address:port"},
		{"[grpc]\nlisten", "x:2:1: expected listen followed by address:port"},
		{"[grpc]\nlisten 127.0.0.1:1 127.0.0.1:2", "x:2:20: expected nothing after address:port"},
		{"[grpc]\nlisten 127.0.0.1:1\nlisten 127.0.0.1:1", "x:3:1: expected each directive once; it stands in line 2"},
		{"[grpc]\ncert a", "expected both cert and key"},
		{"[graphite]\naddress x", "x:2:9: expected address:port"},
		{"[graphite]\nevery 1ms", "x:2:7: expected a time with its unit, 100ms to 1h0m0s"},
		{"[graphite]\nprefix \"a b\"", "x:2:8: expected a name"},
		{"[collectd]\naddress c.sock", "x:2:9: expected the absolute path"},
		{"[storm]\nadvice soon", "x:2:8: expected a time"},
		{"[storm]\ncallers 3", "x:2:9: expected a whole number, 1024 to"},
		{"[storm]\n[storm]", "x:2:1: expected each section once"},
		{"[storm]\nleast \"1s", "x:2:7: expected a closing quote"},
		{"[storm] x", "x:1:9: expected nothing after a section's name"},
		{"[storm", "x:1:1: expected a section as [name]"},
		{"[storm]\n\xff", "x:2:1: expected UTF-8"},
	})
	_, err = LoadOperatorSettings("deploy/edge.json")
	if !errors.Is(err, ErrConfig) || !strings.Contains(err.Error(), "deploy/ravenhitch.conf") {
		t.Errorf("edge.json: got error %v, want one that refers to deploy/ravenhitch.conf", err)
	}
}

// The log level and the suffixes of traced request IDs are parsed as written.
func TestLogDirectives(t *testing.T) {
	o, err := ParseOperatorSettings("x", []byte("[log]\nlevel debug\ntrace 42ac8ba6 160bf556\n"))
	if err != nil || o.LogLevel != slog.LevelDebug || !reflect.DeepEqual(o.Trace, []string{"42ac8ba6", "160bf556"}) {
		t.Errorf("log settings: got level %v, trace %q, error %v, want debug, 42ac8ba6 and 160bf556", o.LogLevel, o.Trace, err)
	}
}

// The directives about the partition of the workers, its regions, the zones of members and the keepalive
// time of worker connections are parsed as written, and each error names its position.
func TestPartitionDirectives(t *testing.T) {
	const peers = "[peers]\nlisten 127.0.0.1:1\ncluster c\n"
	o, err := ParseOperatorSettings("x", []byte(peers+"member n2 127.0.0.1:2 z2\npartition on\n"+
		"region west z1 z2\nregion east z3\n"+
		"[workers]\nkeepalive 4s\n"))
	if err != nil || !o.Peers.Partition || o.Workers.Keepalive != 4*time.Second ||
		!reflect.DeepEqual(o.Peers.Members, []PeerAddress{{"n2", "127.0.0.1:2", "z2"}}) ||
		!reflect.DeepEqual(o.Peers.Regions, map[string]string{"z1": "west", "z2": "west", "z3": "east"}) {
		t.Errorf("partition on: got settings %+v, error %v, want the values in the text", o, err)
	}
	o, err = ParseOperatorSettings("x", []byte(peers+"member n2 127.0.0.1:2\npartition off\n"))
	if err != nil || o.Peers.Partition || o.Peers.Members[0].Zone != "" {
		t.Errorf("partition off: got settings %+v, error %v, want no partition and a member without a zone", o, err)
	}
	checkOperatorsErrors(t, []operatorsErrorCase{
		{peers + "partition maybe", "x:4:11: expected on or off"},
		{"[peers]\npartition on", "x:2:1: expected listen and cluster to be set if partition is on, because"},
		{peers + "region west z1", "x:4:1: expected partition to be on if region is set"},
		{peers + "partition on\nregion west", "x:5:1: expected region followed by its name and its zones"},
		{peers + "partition on\nregion west z1\nregion east z2 z1", "x:6:16: expected each zone in one region"},
		{peers + "partition on\nregion west \"\"", "x:5:13: expected a zone of 1 to 64 bytes"},
		{peers + "partition on\nmember n2 127.0.0.1:2\nregion west z1",
			"x:5:8: expected a name, address:port and a zone for every member if region is set"},
		{peers + "member n2 127.0.0.1:2 \"\"", "x:4:23: expected a zone of 1 to 64 bytes"},
		{peers + "member n2 127.0.0.1:2 z z", "x:4:25: expected nothing after a name and address:port, and its zone"},
		{"[workers]\nkeepalive 1500ms", "x:2:11: expected whole seconds from 1s to 5s"},
		{"[workers]\nkeepalive 6s", "x:2:11: expected a time with its unit, 1s to 5s"},
		{"[workers]\nkeepalive", "x:2:1: expected keepalive followed by"},
	})
}

package config

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"
)

// The partition of the workers, its regions and the members' zones are read as written, and each
// error names its place.
func TestEdgePartition(t *testing.T) {
	const peers = "[peers]\nlisten 127.0.0.1:1\ncluster c\n"
	e, err := ParseOperators("x", []byte(peers+"member n2 127.0.0.1:2 z2\npartition on\nregion west z1 z2\nregion east z3\n"+
		"[workers]\nkeepalive 4s\n"))
	if err != nil || !e.Peers.Partition || e.Workers.KeepAlive != 4*time.Second ||
		!reflect.DeepEqual(e.Peers.Members, []PeerAddress{{"n2", "127.0.0.1:2", "z2"}}) ||
		!reflect.DeepEqual(e.Peers.Regions, map[string]string{"z1": "west", "z2": "west", "z3": "east"}) {
		t.Errorf("got %+v, %v", e, err)
	}
	e, err = ParseOperators("x", []byte(peers+"member n2 127.0.0.1:2\npartition off\n"))
	if err != nil || e.Peers.Partition || e.Peers.Members[0].Zone != "" {
		t.Errorf("got %+v, %v", e, err)
	}
	for _, x := range []struct{ text, want string }{
		{peers + "partition maybe", "x:4:11: expected on or off"},
		{"[peers]\npartition on", "x:2:1: expected listen and cluster beside partition on"},
		{peers + "region west z1", "x:4:1: expected partition on beside region"},
		{peers + "partition on\nregion west", "x:5:1: expected region followed by its name and its zones"},
		{peers + "partition on\nregion west z1\nregion east z2 z1", "x:6:16: expected each zone in one region"},
		{peers + "partition on\nregion west \"\"", "x:5:13: expected a zone of 1 to 64 bytes"},
		{peers + "partition on\nmember n2 127.0.0.1:2\nregion west z1", "x:5:8: expected a name, address:port and the zone"},
		{peers + "member n2 127.0.0.1:2 \"\"", "x:4:23: expected a zone of 1 to 64 bytes"},
		{peers + "member n2 127.0.0.1:2 z z", "x:4:25: expected nothing after a name and address:port, and its zone"},
		{"[workers]\nkeepalive 1500ms", "x:2:11: expected whole seconds from 1s to 5s"},
		{"[workers]\nkeepalive 6s", "x:2:11: expected a time with its unit, 1s to 5s"},
		{"[workers]\nkeepalive", "x:2:1: expected keepalive followed by"},
	} {
		if _, err := ParseOperators("x", []byte(x.text)); !errors.Is(err, ErrConfig) || strings.Contains(err.Error(), "\n") ||
			!strings.Contains(err.Error(), x.want) {
			t.Errorf("%q: got %v", x.text, err)
		}
	}
}

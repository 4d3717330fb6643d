package discovery

import (
	"strings"
	"testing"

	"ravenhitch/internal/config"
	"ravenhitch/internal/shard"
	"ravenhitch/placement"
)

// owns is an owner of the same shards in every zone.
func owns(b shard.Bits) Assignment { return func(string) shard.Bits { return b } }

func listedIn(zones ...string) (members []config.Member) {
	for i, zone := range zones {
		members = append(members, config.Member{Entry: placement.Entry{Worker: zone + string(rune('a'+i)), Zone: zone}})
	}
	return members
}

// A shard that is lost is given up at once; one that is won is held once a call that asked for it was
// answered, and only if it is still wanted.
func TestPartitionHandsOver(t *testing.T) {
	p := newPartition(owns(0x0f))
	if !p.listed(listedIn("z1", "z2"), true) || p.listed(listedIn("z2", "z1"), false) {
		t.Error("a zone is new once")
	}
	expect := func(when string, held shard.Bits) {
		t.Helper()
		if p.held["z1"] != held || p.held["z2"] != held {
			t.Errorf("%s: held %v, expected %04x of each", when, p.held, held)
		}
	}
	expect("at the start", 0x0f)
	if text := p.ask(); text != "&room=late&shards=z1:000000000000000f,z2:000000000000000f" || p.answered() {
		t.Errorf("a call names %q", text)
	}
	if !p.want(owns(0x3c)) {
		t.Error("shards were lost")
	}
	expect("with shards lost and won", 0x0c)
	if p.answered() || !p.wins() {
		t.Error("a call that was made before the change won shards")
	}
	if text := p.ask(); text != "&room=late&shards=z1:000000000000003c,z2:000000000000003c&fresh=z1:0000000000000030,z2:0000000000000030" {
		t.Errorf("a call for shards that were won names %q", text)
	}
	if p.wins() {
		t.Error("shards that the call under way names are to be asked for")
	}
	if p.want(owns(0x1c)) {
		t.Error("a shard that was not held was lost")
	}
	if !p.answered() {
		t.Error("no shard was won by the answer")
	}
	expect("after the answer, with one wanted no more", 0x1c)
	if text := p.ask(); strings.Contains(text, "fresh") {
		t.Errorf("what was told is asked for anew: %q", text)
	}
	if p.want(owns(0x1c)) {
		t.Error("the same shards count as lost")
	}
	if !p.listed(listedIn("z3, 100%"), false) || p.held["z3, 100%"] != 0x1c {
		t.Errorf("the shards of a zone that was not named are held at once, as it was told whole: %v", p.held)
	}
	if text := p.ask(); !strings.HasSuffix(text, ",z3%252C%2520100%2525:000000000000001c") {
		t.Errorf("a zone's name is not escaped: %q", text)
	}
	var none *partition
	if none.ask() != "" || none.answered() || none.block() != blockMs || p.block() != lateRoomMs {
		t.Error("without a partition a call names shards")
	}
}

// Of workers that have left the list nothing is kept: their names are new ones for ever.
func TestPartitionForgetsWorkers(t *testing.T) {
	p := newPartition(owns(1))
	p.listed(listedIn("z1", "z1", "z1"), true)
	gone := listedIn("z1")
	gone[0].State = placement.Removed
	if p.listed(gone, false); len(p.zones) != 2 {
		t.Errorf("%d workers are known after one of three has gone", len(p.zones))
	}
	if p.listed(listedIn("z1"), true); len(p.zones) != 1 {
		t.Errorf("%d workers are known after a whole list of one", len(p.zones))
	}
}

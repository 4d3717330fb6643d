package discovery

import (
	"strings"
	"testing"

	"ravenhitch/internal/config"
	"ravenhitch/internal/shard"
	"ravenhitch/placement"
)

// sameInEveryZone assigns the same shards in every zone.
func sameInEveryZone(shards shard.Bits) Assignment {
	return func(string) shard.Bits { return shards }
}

// workersIn lists a worker in each zone, all by different names.
func workersIn(zones ...string) (members []config.Worker) {
	for i, zone := range zones {
		members = append(members, config.Worker{Entry: placement.Entry{Worker: zone + string(rune('a'+i)), Zone: zone}})
	}
	return members
}

// A shard that is lost is inactive at once. One that is gained is active once a poll that named it was
// answered, and only if it is still wanted.
func TestShardAssignmentHandover(t *testing.T) {
	assignment := newShardAssignment(sameInEveryZone(0x0f))
	if !assignment.update(workersIn("z1", "z2"), true) || assignment.update(workersIn("z2", "z1"), false) {
		t.Error("a zone is not new exactly once")
	}
	expectActive := func(when string, want shard.Bits) {
		t.Helper()
		if assignment.active["z1"] != want || assignment.active["z2"] != want {
			t.Errorf("%s: active %v, expected %04x of each zone", when, assignment.active, want)
		}
	}
	expectActive("at the start", 0x0f)
	const wantFirstQuery = "&room=late&shards=z1:000000000000000f,z2:000000000000000f"
	if query := assignment.beginPoll(); query != wantFirstQuery || assignment.endPoll() {
		t.Errorf("the first poll has the query %q", query)
	}
	if !assignment.change(sameInEveryZone(0x3c)) {
		t.Error("no shard was lost")
	}
	expectActive("with shards lost and gained", 0x0c)
	if assignment.endPoll() || !assignment.needsPoll() {
		t.Error("a poll that was sent before the change gained shards")
	}
	const wantQuery = "&room=late&shards=z1:000000000000003c,z2:000000000000003c" +
		"&fresh=z1:0000000000000030,z2:0000000000000030"
	if query := assignment.beginPoll(); query != wantQuery {
		t.Errorf("a poll for gained shards has the query %q", query)
	}
	if assignment.needsPoll() {
		t.Error("another poll is needed for shards that the poll in flight names")
	}
	if assignment.change(sameInEveryZone(0x1c)) {
		t.Error("a shard that was not active was lost")
	}
	if !assignment.endPoll() {
		t.Error("no shard was gained by the response")
	}
	expectActive("after the response, with one shard wanted no more", 0x1c)
	if query := assignment.beginPoll(); strings.Contains(query, "fresh") {
		t.Errorf("what was reported is requested anew: %q", query)
	}
	if assignment.change(sameInEveryZone(0x1c)) {
		t.Error("the same shards count as lost")
	}
	if !assignment.update(workersIn("z3, 100%"), false) || assignment.active["z3, 100%"] != 0x1c {
		t.Errorf("the shards of a zone that no poll named are not active at once, though it was reported completely: %v",
			assignment.active)
	}
	if query := assignment.beginPoll(); !strings.HasSuffix(query, ",z3%252C%2520100%2525:000000000000001c") {
		t.Errorf("a zone's name is not escaped: %q", query)
	}
	var none *shardAssignment
	if none.beginPoll() != "" || none.endPoll() || none.pollBlockMs() != pollBlockMs ||
		assignment.pollBlockMs() != maxLateReportMs {
		t.Error("without an assignment a poll names shards")
	}
}

// Nothing is stored of workers that are no longer listed: their names never come again.
func TestShardAssignmentForgetsWorkers(t *testing.T) {
	assignment := newShardAssignment(sameInEveryZone(1))
	assignment.update(workersIn("z1", "z1", "z1"), true)
	removed := workersIn("z1")
	removed[0].State = placement.Removed
	if assignment.update(removed, false); len(assignment.zones) != 2 {
		t.Errorf("%d workers are known after one of three was removed", len(assignment.zones))
	}
	if assignment.update(workersIn("z1"), true); len(assignment.zones) != 1 {
		t.Errorf("%d workers are known after a complete list of one", len(assignment.zones))
	}
}

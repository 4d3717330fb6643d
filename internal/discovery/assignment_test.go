package discovery

import (
	"strings"
	"testing"

	"ravenhitch/internal/config"
	"ravenhitch/internal/shard"
	"ravenhitch/placement"
)

// sameInEveryZone returns an assignment of the same shards in every zone.
func sameInEveryZone(shards shard.Bits) Assignment {
	return func(string) shard.Bits { return shards }
}

// workersIn returns a list with one worker for each argument, which is the zone of the worker. The names of the
// workers are distinct, even if a zone is repeated.
func workersIn(zones ...string) (members []config.Worker) {
	for i, zone := range zones {
		members = append(members, config.Worker{Entry: placement.Entry{Worker: zone + string(rune('a'+i)), Zone: zone}})
	}
	return members
}

// TestShardAssignmentHandover asserts that a lost shard becomes inactive at once, and that a gained shard becomes
// active only after a poll that named it was answered, provided that it is still assigned then. It also covers the
// shards of a new zone, the escaping of zone names, and polls without shard assignment.
func TestShardAssignmentHandover(t *testing.T) {
	assignment := newShardAssignment(sameInEveryZone(0x0f))
	if !assignment.update(workersIn("z1", "z2"), true) || assignment.update(workersIn("z2", "z1"), false) {
		t.Error("update must report a new zone for the first list of zones z1 and z2, and none for the second list")
	}
	expectActive := func(when string, want shard.Bits) {
		t.Helper()
		if assignment.active["z1"] != want || assignment.active["z2"] != want {
			t.Errorf("%s: got active shards %v, want %04x in each zone", when, assignment.active, want)
		}
	}
	expectActive("at the start", 0x0f)
	const wantFirstQuery = "&room=late&shards=z1:000000000000000f,z2:000000000000000f"
	query, first := assignment.beginPoll()
	if query != wantFirstQuery || assignment.endPoll(first) {
		t.Errorf("first poll: got query %q, want %q and no shard gained by its response", query, wantFirstQuery)
	}
	if !assignment.change(sameInEveryZone(0x3c)) {
		t.Error("change from 0x0f to 0x3c: got no active shard lost, want shards lost")
	}
	expectActive("with shards lost and gained", 0x0c)
	if assignment.endPoll(first) || !assignment.needsPoll() {
		t.Error("the response to a poll sent before the change must activate no shard, and another poll must be needed")
	}
	const wantQuery = "&room=late&shards=z1:000000000000003c,z2:000000000000003c" +
		"&fresh=z1:0000000000000030,z2:0000000000000030"
	query, second := assignment.beginPoll()
	if query != wantQuery {
		t.Errorf("poll for gained shards: got query %q, want %q", query, wantQuery)
	}
	if assignment.needsPoll() {
		t.Error("needsPoll: got true although the poll in flight names all gained shards, want false")
	}
	if assignment.change(sameInEveryZone(0x1c)) {
		t.Error("change from 0x3c to 0x1c: got an active shard lost, want none, because shard 5 was not active")
	}
	if !assignment.endPoll(second) {
		t.Error("endPoll: got no shard gained by the response, want shard 4 gained")
	}
	expectActive("after the response, with one requested shard no longer assigned", 0x1c)
	if query, _ := assignment.beginPoll(); strings.Contains(query, "fresh") {
		t.Errorf("poll after the response: got query %q, want no parameter \"fresh\"", query)
	}
	if assignment.change(sameInEveryZone(0x1c)) {
		t.Error("change to the same shards: got an active shard lost, want none")
	}
	if !assignment.update(workersIn("z3, 100%"), false) || assignment.active["z3, 100%"] != 0x1c {
		t.Errorf("after a list with a new zone: got active shards %v, want 001c in the new zone at once, "+
			"because discovery reports all workers of a zone that no poll has named", assignment.active)
	}
	if query, _ := assignment.beginPoll(); !strings.HasSuffix(query, ",z3%252C%2520100%2525:000000000000001c") {
		t.Errorf("got query %q, want the name of zone %q escaped at its end", query, "z3, 100%")
	}
	var none *shardAssignment
	if query, named := none.beginPoll(); query != "" || none.endPoll(named) || none.pollBlockMs() != pollBlockMs ||
		assignment.pollBlockMs() != maxLateReportMs {
		t.Errorf("without an assignment a poll must name no shards and block for %d ms; with one it must block for %d ms",
			pollBlockMs, maxLateReportMs)
	}
}

// TestShardAssignmentForgetsWorkers asserts that the zones of workers that are no longer listed are deleted. The names
// of workers are never reused, so the map of zones would grow without bound otherwise.
func TestShardAssignmentForgetsWorkers(t *testing.T) {
	assignment := newShardAssignment(sameInEveryZone(1))
	assignment.update(workersIn("z1", "z1", "z1"), true)
	removed := workersIn("z1")
	removed[0].State = placement.Removed
	if assignment.update(removed, false); len(assignment.zones) != 2 {
		t.Errorf("after the removal of one of three workers: got %d workers with a zone, want 2", len(assignment.zones))
	}
	if assignment.update(workersIn("z1"), true); len(assignment.zones) != 1 {
		t.Errorf("after a complete list of one worker: got %d workers with a zone, want 1", len(assignment.zones))
	}
}

package grpcfront

import (
	"reflect"
	"slices"
	"testing"

	"ravenhitch/internal/grpcfront/edgepb"
	"ravenhitch/internal/testbed/doctable"
)

// The page on the fields of both fronts names each field of an offer, and those that reach a submission. What a ticket proves is
// added when the offer is taken.
func TestOfferFieldsOfTable(t *testing.T) {
	submission, err := parseOffer(&edgepb.Offer{OfferId: "9b1f03aa5c7e2d41", Task: "t", Class: "web", Cores: 1, Memory: 2, Service: "3",
		Description: "d", WaitMs: 4, Ticket: []byte("x"), IdempotencyKey: "i"})
	if err != nil {
		t.Fatal(err)
	}
	var documented, fields []string
	for _, row := range doctable.Read(t, "../../docs/design/submission-fields.md", "Submission") {
		field, fromOffer := row["Submission"], row.Names("gRPC offer")
		documented = append(documented, fromOffer...)
		want := field == "Resumable" || len(fromOffer) > 0 && !slices.Contains(fromOffer, "ticket")
		if isSet := !reflect.ValueOf(submission).FieldByName(field).IsZero(); isSet != want {
			t.Errorf("%s: the page says that it comes from %q of an offer; set by an offer with all fields: %v", field, fromOffer, isSet)
		}
	}
	descriptor := (&edgepb.Offer{}).ProtoReflect().Descriptor().Fields()
	for i := range descriptor.Len() {
		fields = append(fields, string(descriptor.Get(i).Name()))
	}
	slices.Sort(documented)
	slices.Sort(fields)
	if documented = slices.Compact(documented); !slices.Equal(documented, fields) {
		t.Errorf("fields of the page: %v; fields of an offer: %v", documented, fields)
	}
}

// The key that is derived for a task never changes: another version or orchestrator would let the task run twice.
func TestDerivedKey(t *testing.T) {
	const want = "b0c8fef7a4139d197f30162098c1cb8e"
	if got := derivedKey("batch-keyed", "check-1"); got != want {
		t.Errorf("derived key: got %s, want %s", got, want)
	}
	if derivedKey("a", "bc") == derivedKey("ab", "c") || derivedKey("a", "b") == derivedKey("b", "a") {
		t.Error("two tasks have the same derived key")
	}
}

package simwire

import (
	"errors"
	"io"
	"strings"
	"testing"

	"ravenhitch/placement"
)

// settingsText contains settings with two classes, two kinds of worker and one unknown path.
const settingsText = "Discovery=subscribe FleetSize=2 SelfIndex=1 Flavors=s,l FamilyInfo.SizeCores=39,62 " +
	"FamilyInfo.MemoryByKind=111.0,174.0 FamilyInfo.CoresMultiple=2.5 FamilyInfo.MemoryMultiple=1.5 " +
	"FamilyInfo.ApartBy=none,cell FamilyInfo.ClassMost=2,3 FamilyInfo.KindByClass=-1,1 FamilyInfo.SaysYes=running " +
	"RequestClasses.count=2 RequestClasses.0.Name=job RequestClasses.0.Semantics=free " +
	"RequestClasses.1.Name=big RequestClasses.1.Semantics=guarded RequestClasses.1.Group=zone " +
	"RequestClasses.1.WindowUs=6000000 TickUs=2000 Some.New.Key=whatever"

// TestBatch checks that the messages of a batch are decoded into items in order, and that Next returns io.EOF if the
// input ends between batches.
func TestBatch(t *testing.T) {
	input := "BATCH 8412250 12\n" +
		"ENLIST 3 42 " + settingsText + "\n" +
		"SNAPSHOT_ROWS 0 2\nROW 0 - ma s za 1 0 12 3.5\nROW 4 6100000 mb l zb 1.5 1 12 -4.5\n" +
		"ENDPOINTS 3 2 41 0\n" +
		"REQUEST 3 119967385d3a91c4 4569004829183723 8652250 2 1.5 job 12000 1 - 4050608788307276\n" +
		"DONE 3 119967385d3a91c4 3 0 18500 3 0 ma x0:0.4,other:1\n" +
		"PROGRESS 3 119967385d3a91c4 0 ma 4 0.5\nSAMPLED 3 ma 1 1400 x0:0.4,x1:1.25,utilization:0.62,backlog:3\n" +
		"DATAGRAM 3 2 686920\nDOWN 5\nFLUSH\n\nBATCH 8412260 13\nFLUSH\n"
	decoder := NewDecoder(strings.NewReader(input))
	batch, err := decoder.Next()
	if err != nil {
		t.Fatal(err)
	}
	if batch.NowUs != 8412250 || batch.Seq != "12" || len(batch.Items) != 8 {
		t.Fatalf("first batch: got clock %d, sequence number %s, %d items; want 8412250, 12, 8",
			batch.NowUs, batch.Seq, len(batch.Items))
	}
	settings := batch.Items[0].Settings
	class := settings.Classes[1]
	if !settings.PollsDiscovery || settings.SelfIndex != 1 || settings.Kinds[1].Cores != 62 ||
		!settings.AcceptMeansRunning || class.Spread != placement.ScopeCell ||
		class.Group != placement.ScopeZone || class.MaxPerDomain != 3 || batch.Items[0].Seed != 42 {
		t.Errorf("ENLIST: got unexpected settings %+v or seed %d, want seed 42", settings, batch.Items[0].Seed)
	}
	list := batch.Items[1].Event.(placement.WorkerList)
	want := placement.Entry{Worker: "mb", Kind: "l", Zone: "zb", Cell: 4, StartedAtUs: 6100000,
		State: placement.Draining, FreeCores: -4.5, FreeMemory: 12}
	if list.Entries[1] != want || list.Kind != placement.ListCached {
		t.Errorf("ENDPOINTS: got entry %+v in a list of kind %d, want %+v, %d",
			list.Entries[1], list.Kind, want, placement.ListCached)
	}
	request := batch.Items[2].Event.(placement.Request)
	if request.Cores != 2 || request.Memory != 1.5 || request.Class != "job" ||
		!request.HasRunHint || request.Tenant != "" || request.Program != 4050608788307276 {
		t.Errorf("REQUEST: got unexpected event %+v", request)
	}
	done := batch.Items[3].Event.(placement.AttemptEnded)
	if done.Cause != placement.CauseQueue || done.Outcome != placement.Rejected || done.Final || done.RTTUs != 18500 {
		t.Errorf("DONE: got unexpected event %+v", done)
	}
	if got := batch.Items[5].Event.(placement.ProbeResult); got.Load.Utilization != 0.62 || got.Load.Queued != 3 {
		t.Errorf("SAMPLED: got %+v, want utilization 0.62 and 3 queued", got)
	}
	if batch, err = decoder.Next(); err != nil || len(batch.Items) != 0 || batch.Seq != "13" {
		t.Errorf("second batch: got %+v, error %v; want sequence number 13 without items", batch, err)
	}
	if _, err = decoder.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("Next at the end of the input: got error %v, want %v", err, io.EOF)
	}
}

// TestPagesAreReplaced checks that a page may be sent again, which replaces its entries. The list of an
// ENDPOINTS message contains the entries that its page has at the time of the message.
func TestPagesAreReplaced(t *testing.T) {
	input := "BATCH 1 1\nSNAPSHOT_ROWS 2 1\nROW 0 - ma s z 1 0 1 1\nENDPOINTS 1 1 1 2\n" +
		"SNAPSHOT_ROWS 2 1\nROW 0 - mb s z 1 0 1 1\nENDPOINTS 1 1 2 2\nENDPOINTS 1 3 2 9\nFLUSH\n"
	b, err := NewDecoder(strings.NewReader(input)).Next()
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []string{"ma", "mb"} {
		if got := b.Items[i].Event.(placement.WorkerList).Entries[0].Worker; got != want {
			t.Errorf("list %d: got worker %s, want %s", i, got, want)
		}
	}
	if got := b.Items[2].Event.(placement.WorkerList); got.Kind != placement.ListFailed || got.Entries != nil {
		t.Errorf("failed list: got %+v, want kind %d without entries", got, placement.ListFailed)
	}
}

// TestMalformed checks that malformed input causes a SyntaxError whose text names the problem.
func TestMalformed(t *testing.T) {
	for name, test := range map[string]struct{ in, want string }{
		"no batch":        {"HELLO\n", "expected BATCH"},
		"bad clock":       {"BATCH x 1\n", "clock"},
		"unknown message": {"BATCH 1 1\nWHAT 3\nFLUSH\n", "unknown message"},
		"too few fields":  {"BATCH 1 1\nBELL 3\nFLUSH\n", "expected more than"},
		"too many fields": {"BATCH 1 1\nBELL 3 a b\nFLUSH\n", "expected 3 fields"},
		"bad number":      {"BATCH 1 1\nACCEPTED 3 t zero m 1\nFLUSH\n", "whole number for Copy"},
		"not a number":    {"BATCH 1 1\nPROGRESS 3 t 0 m 4 NaN\nFLUSH\n", "number for Value"},
		"unknown page":    {"BATCH 1 1\nENDPOINTS 3 1 1 7\nFLUSH\n", "never sent"},
		"page too high":   {"BATCH 1 1\nSNAPSHOT_ROWS 16 0\nFLUSH\n", "out of range"},
		"missing rows":    {"BATCH 1 1\nSNAPSHOT_ROWS 0 2\nROW 0 - ma s z 1 0 1 1\nFLUSH\n", "expected ROW"},
		"ends in a batch": {"BATCH 1 1\nBELL 3 a\n", "unexpected EOF"},
		"ends in a line":  {"BATCH 1 1\nBELL 3", "unexpected EOF"},
		"bad setting":     {"BATCH 1 1\nENLIST 3 1 FleetSize=many\nFLUSH\n", "FleetSize"},
		"list too short":  {"BATCH 1 1\nENLIST 3 1 " + settingsText + " FamilyInfo.ClassMost=1\nFLUSH\n", "ClassMost"},
		"unknown effect":  {"BATCH 1 1\nENLIST 3 1 " + settingsText + " RequestClasses.0.Semantics=odd\nFLUSH\n", "Semantics"},
	} {
		_, err := NewDecoder(strings.NewReader(test.in)).Next()
		var syntaxError *SyntaxError
		if !errors.As(err, &syntaxError) || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: got error %v, want a SyntaxError that contains %q", name, err, test.want)
		}
	}
}

// FuzzDecoder checks that the Decoder reads any input until io.EOF or a SyntaxError.
func FuzzDecoder(f *testing.F) {
	f.Add("BATCH 1 1\nBELL 3 a\nFLUSH\n")
	f.Add("BATCH 1 1\nENLIST 3 42 " + settingsText + "\nFLUSH\n")
	f.Add("BATCH 1 1\nSNAPSHOT_ROWS 0 1\nROW 0 - ma s za 1 0 12 3.5\nENDPOINTS 3 2 41 0\nFLUSH\n")
	f.Add("BATCH 1 1\nSNAPSHOT_ROWS 0 -1\nENLIST 1 1 RequestClasses.count=99999999\nFLUSH\n")
	f.Fuzz(func(t *testing.T, input string) {
		decoder := NewDecoder(strings.NewReader(input))
		for {
			_, err := decoder.Next()
			if errors.Is(err, io.EOF) {
				return
			}
			if err != nil {
				var syntaxError *SyntaxError
				if !errors.As(err, &syntaxError) {
					t.Fatalf("Next: got error %v of type %T, want a SyntaxError", err, err)
				}
				return
			}
		}
	})
}

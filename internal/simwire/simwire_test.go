package simwire

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"ravenhitch/placement"
)

const confText = "Discovery=subscribe FleetSize=2 SelfIndex=1 Flavors=s,l FamilyInfo.SizeCores=39,62 " +
	"FamilyInfo.MemoryByKind=111.0,174.0 FamilyInfo.CoresMultiple=2.5 FamilyInfo.MemoryMultiple=1.5 " +
	"FamilyInfo.ApartBy=none,cell FamilyInfo.ClassMost=2,3 FamilyInfo.KindByClass=-1,1 FamilyInfo.SaysYes=running " +
	"RequestClasses.count=2 RequestClasses.0.Name=job RequestClasses.0.Semantics=free " +
	"RequestClasses.1.Name=big RequestClasses.1.Semantics=guarded RequestClasses.1.Group=zone " +
	"RequestClasses.1.WindowUs=6000000 TickUs=2000 Some.New.Key=whatever"

func TestBatch(t *testing.T) {
	in := "BATCH 8412250 12\n" +
		"ENLIST 3 42 " + confText + "\n" +
		"SNAPSHOT_ROWS 0 2\nROW 0 - ma s za 1 0 12 3.5\nROW 4 6100000 mb l zb 1.5 1 12 -4.5\n" +
		"ENDPOINTS 3 2 41 0\n" +
		"REQUEST 3 119967385d3a91c4 4569004829183723 8652250 2 1.5 job 12000 1 - 4050608788307276\n" +
		"DONE 3 119967385d3a91c4 3 0 18500 3 0 ma x0:0.4,other:1\n" +
		"PROGRESS 3 119967385d3a91c4 0 ma 4 0.5\nSAMPLED 3 ma 1 1400 x0:0.4,x1:1.25,utilization:0.62,backlog:3\n" +
		"DATAGRAM 3 2 686920\nDOWN 5\nFLUSH\n\nBATCH 8412260 13\nFLUSH\n"
	d := NewDecoder(strings.NewReader(in))
	b, err := d.Next()
	if err != nil {
		t.Fatal(err)
	}
	if b.NowUs != 8412250 || b.Seq != "12" || len(b.Items) != 8 {
		t.Fatalf("clock %d, batch %s, %d items", b.NowUs, b.Seq, len(b.Items))
	}
	s := b.Items[0].Settings
	if !s.PollsDiscovery || s.SelfIndex != 1 || s.Kinds[1].Cores != 62 || !s.AcceptMeansRunning || s.Classes[1].Spread != placement.ScopeCell ||
		s.Classes[1].Group != placement.ScopeZone || s.Classes[1].MaxPerDomain != 3 || b.Items[0].Seed != 42 {
		t.Errorf("settings %+v", s)
	}
	l := b.Items[1].Event.(placement.WorkerList)
	if want := (placement.Entry{Worker: "mb", Kind: "l", Zone: "zb", Cell: 4, StartedAtUs: 6100000,
		State: placement.Draining, FreeCores: -4.5, FreeMemory: 12}); l.Entries[1] != want || l.Kind != placement.ListCached {
		t.Errorf("entry %+v, want %+v", l.Entries[1], want)
	}
	r := b.Items[2].Event.(placement.Request)
	if r.Cores != 2 || r.Memory != 1.5 || r.Class != "job" || !r.HasRunHint || r.Tenant != "" || r.Program != 4050608788307276 {
		t.Errorf("request %+v", r)
	}
	done := b.Items[3].Event.(placement.AttemptEnded)
	if done.Cause != placement.CauseQueue || done.Outcome != placement.Rejected || done.Final || done.RTTUs != 18500 {
		t.Errorf("done %+v", done)
	}
	if got := b.Items[5].Event.(placement.ProbeResult); got.Load.Utilization != 0.62 || got.Load.Queued != 3 {
		t.Errorf("sampled %+v", got)
	}
	if b, err = d.Next(); err != nil || len(b.Items) != 0 || b.Seq != "13" {
		t.Errorf("second batch %+v, %v", b, err)
	}
	if _, err = d.Next(); err != io.EOF {
		t.Errorf("at the end: %v, want EOF", err)
	}
}

func TestPagesAreReplaced(t *testing.T) {
	in := "BATCH 1 1\nSNAPSHOT_ROWS 2 1\nROW 0 - ma s z 1 0 1 1\nENDPOINTS 1 1 1 2\n" +
		"SNAPSHOT_ROWS 2 1\nROW 0 - mb s z 1 0 1 1\nENDPOINTS 1 1 2 2\nENDPOINTS 1 3 2 9\nFLUSH\n"
	b, err := NewDecoder(strings.NewReader(in)).Next()
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []string{"ma", "mb"} {
		if got := b.Items[i].Event.(placement.WorkerList).Entries[0].Worker; got != want {
			t.Errorf("list %d names %s, want %s", i, got, want)
		}
	}
	if got := b.Items[2].Event.(placement.WorkerList); got.Kind != placement.ListFailed || got.Entries != nil {
		t.Errorf("failed list %+v", got)
	}
}

func TestMalformed(t *testing.T) {
	for name, c := range map[string]struct{ in, want string }{
		"no batch":        {"HELLO\n", "expected BATCH"},
		"bad clock":       {"BATCH x 1\n", "clock"},
		"unknown message": {"BATCH 1 1\nWHAT 3\nFLUSH\n", "unknown message"},
		"too few parts":   {"BATCH 1 1\nBELL 3\nFLUSH\n", "expected more than"},
		"too many parts":  {"BATCH 1 1\nBELL 3 a b\nFLUSH\n", "expected 3 parts"},
		"bad number":      {"BATCH 1 1\nACCEPTED 3 t zero m 1\nFLUSH\n", "whole number for Copy"},
		"not a number":    {"BATCH 1 1\nPROGRESS 3 t 0 m 4 NaN\nFLUSH\n", "number for Value"},
		"unknown page":    {"BATCH 1 1\nENDPOINTS 3 1 1 7\nFLUSH\n", "never sent"},
		"page too high":   {"BATCH 1 1\nSNAPSHOT_ROWS 16 0\nFLUSH\n", "out of range"},
		"missing rows":    {"BATCH 1 1\nSNAPSHOT_ROWS 0 2\nROW 0 - ma s z 1 0 1 1\nFLUSH\n", "expected ROW"},
		"ends inside":     {"BATCH 1 1\nBELL 3 a\n", "unexpected EOF"},
		"ends in a line":  {"BATCH 1 1\nBELL 3", "unexpected EOF"},
		"bad setting":     {"BATCH 1 1\nENLIST 3 1 FleetSize=many\nFLUSH\n", "FleetSize"},
		"unequal lists":   {"BATCH 1 1\nENLIST 3 1 " + confText + " FamilyInfo.ClassMost=1\nFLUSH\n", "ClassMost"},
		"unknown effect":  {"BATCH 1 1\nENLIST 3 1 " + confText + " RequestClasses.0.Semantics=odd\nFLUSH\n", "Semantics"},
	} {
		_, err := NewDecoder(strings.NewReader(c.in)).Next()
		var syn *SyntaxError
		if !errors.As(err, &syn) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want a SyntaxError with %q", name, err, c.want)
		}
	}
}

func TestEncode(t *testing.T) {
	var out bytes.Buffer
	e := NewEncoder(&out)
	if err := e.Actions(3, []placement.Action{
		placement.Place{RequestID: "t", Worker: "m", AbandonAtUs: 9}, placement.Reject{RequestID: "t"},
		placement.Fail{RequestID: "t"}, placement.Migrate{RequestID: "t"}, placement.Probe{Worker: "m"},
		placement.WatchWorkers{Active: true}, placement.RefreshWorkers{}, placement.CancelAttempt{RequestID: "t", Attempt: 1},
		placement.SetTimer{OffsetUs: 7, Ref: "wake"}, placement.Log{Text: "two\nlines"},
	}); err != nil {
		t.Fatal(err)
	}
	if out.Len() != 0 {
		t.Error("written before the reply ended")
	}
	if err := errors.Join(e.Fault(3, "panic: x"), e.End("12")); err != nil {
		t.Fatal(err)
	}
	want := "PLACE 3 t m 9\nDENY 3 t 0\nERROR 3 t\nMOVE 3 t\nASK_LOAD 3 m\nOBSERVE 3 1\nREFRESH 3\nCANCEL 3 t 1\n" +
		"SET_ALARM 3 7 wake\nSAY_LOG 3 two lines\nFAULT 3 panic: x\nREADY 12\n"
	if out.String() != want {
		t.Errorf("got\n%s\nwant\n%s", out.String(), want)
	}
}

func FuzzDecoder(f *testing.F) {
	f.Add("BATCH 1 1\nBELL 3 a\nFLUSH\n")
	f.Add("BATCH 1 1\nENLIST 3 42 " + confText + "\nFLUSH\n")
	f.Add("BATCH 1 1\nSNAPSHOT_ROWS 0 1\nROW 0 - ma s za 1 0 12 3.5\nENDPOINTS 3 2 41 0\nFLUSH\n")
	f.Add("BATCH 1 1\nSNAPSHOT_ROWS 0 -1\nENLIST 1 1 RequestClasses.count=99999999\nFLUSH\n")
	f.Fuzz(func(t *testing.T, in string) {
		d := NewDecoder(strings.NewReader(in))
		for {
			_, err := d.Next()
			if err == io.EOF {
				return
			}
			if err != nil {
				var syn *SyntaxError
				if !errors.As(err, &syn) {
					t.Fatalf("error %v is no SyntaxError", err)
				}
				return
			}
		}
	})
}

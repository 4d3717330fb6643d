package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

const conf = "FleetSize=2 SelfIndex=0 Flavors=s FamilyInfo.SizeCores=40 FamilyInfo.MemoryByKind=80 FamilyInfo.View=true " +
	"FamilyInfo.CoresMultiple=1.5 FamilyInfo.MemoryMultiple=1.5 RequestClasses.count=1 RequestClasses.0.Name=job " +
	"RequestClasses.0.Semantics=free TickUs=2000"

// day is a conversation with the instances named, each getting requests.
func day(insts ...int) string {
	var b strings.Builder
	fmt.Fprint(&b, "BATCH 1000000 1\n")
	for _, i := range insts {
		fmt.Fprintf(&b, "ENLIST %d %d %s\nSNAPSHOT_ROWS 0 2\nROW 0 - ma s z 1 0 80 40\nROW 0 - mb s z 1 0 80 40\n"+
			"ENDPOINTS %d 2 1 0\n", i, 77+i, conf, i)
	}
	fmt.Fprint(&b, "FLUSH\n")
	for n := range 50 {
		fmt.Fprintf(&b, "BATCH %d %d\n", 1000000+(n+1)*2000, n+2)
		for _, i := range insts {
			fmt.Fprintf(&b, "REQUEST %d %016x 5 9000000 1 1 job 12000 1 - %d\n", i, n, n%7)
		}
		fmt.Fprint(&b, "FLUSH\n")
	}
	return b.String()
}

func reply(t *testing.T, in string) string {
	t.Helper()
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

func only(out string, inst int) string {
	var keep []string
	for _, l := range strings.Split(out, "\n") {
		if f := strings.Fields(l); len(f) > 1 && f[0] != "READY" && f[1] == fmt.Sprint(inst) {
			keep = append(keep, l)
		}
	}
	return strings.Join(keep, "\n")
}

func TestInstancesShareNothing(t *testing.T) {
	together := reply(t, day(1, 2, 3))
	for i := 1; i <= 3; i++ {
		alone := only(reply(t, day(i)), i)
		if alone == "" || alone != only(together, i) {
			t.Errorf("instance %d acts otherwise alone than beside others", i)
		}
	}
}

func TestBadSettingsAreAFault(t *testing.T) {
	out := reply(t, "BATCH 1 1\nENLIST 4 1 FleetSize=0\nFLUSH\n")
	if !strings.HasPrefix(out, "FAULT 4 ") || !strings.Contains(out, "FleetSize is missing") || !strings.HasSuffix(out, "READY 1\n") {
		t.Errorf("got %q", out)
	}
}

func TestPanicIsAFault(t *testing.T) {
	if a, fault := handle(nil, 1, nil); a != nil || !strings.HasPrefix(fault, "panic: ") {
		t.Errorf("actions %v, fault %q", a, fault)
	}
}

func TestEndOfInput(t *testing.T) {
	if out := reply(t, ""); out != "" {
		t.Errorf("wrote %q", out)
	}
	var out bytes.Buffer
	if err := run(strings.NewReader("BATCH 5 9\nDOWN 1\n"), &out); err == nil || !strings.Contains(err.Error(), "batch 9, line 2") || out.Len() != 0 {
		t.Errorf("error %v, output %q", err, out.String())
	}
}

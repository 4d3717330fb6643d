package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// settings contains the settings of a scheduler with one class and one kind of worker.
const settings = "FleetSize=2 SelfIndex=0 Flavors=s FamilyInfo.SizeCores=40 FamilyInfo.MemoryByKind=80 FamilyInfo.View=true " +
	"FamilyInfo.CoresMultiple=1.5 FamilyInfo.MemoryMultiple=1.5 RequestClasses.count=1 RequestClasses.0.Name=job " +
	"RequestClasses.0.Semantics=free TickUs=2000"

// startAndRequestBatches returns a batch that starts the instances, followed by 50 batches. Each of these
// contains one request for each instance.
func startAndRequestBatches(instances ...int) string {
	var b strings.Builder
	fmt.Fprint(&b, "BATCH 1000000 1\n")
	for _, i := range instances {
		fmt.Fprintf(&b, "ENLIST %d %d %s\nSNAPSHOT_ROWS 0 2\nROW 0 - ma s z 1 0 80 40\nROW 0 - mb s z 1 0 80 40\n"+
			"ENDPOINTS %d 2 1 0\n", i, 77+i, settings, i)
	}
	fmt.Fprint(&b, "FLUSH\n")
	for n := range 50 {
		fmt.Fprintf(&b, "BATCH %d %d\n", 1000000+(n+1)*2000, n+2)
		for _, i := range instances {
			fmt.Fprintf(&b, "REQUEST %d %016x 5 9000000 1 1 job 12000 1 - %d\n", i, n, n%7)
		}
		fmt.Fprint(&b, "FLUSH\n")
	}
	return b.String()
}

// replies returns the output of the adapter for an input.
func replies(t *testing.T, in string) string {
	t.Helper()
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// linesOf returns the lines of out that belong to one instance.
func linesOf(out string, instance int) string {
	var lines []string
	for _, line := range strings.Split(out, "\n") {
		if words := strings.Fields(line); len(words) > 1 && words[0] != "READY" && words[1] == fmt.Sprint(instance) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "\n")
}

// TestInstancesShareNothing checks that an instance returns the same actions whether it runs alone or among
// other instances.
func TestInstancesShareNothing(t *testing.T) {
	together := replies(t, startAndRequestBatches(1, 2, 3))
	for i := 1; i <= 3; i++ {
		alone := linesOf(replies(t, startAndRequestBatches(i)), i)
		if alone == "" || alone != linesOf(together, i) {
			t.Errorf("instance %d: got no actions when it runs alone, or other actions than among other instances", i)
		}
	}
}

// TestInvalidSettingsAreReported checks that invalid settings are reported for their instance and that the reply to
// the batch is complete.
func TestInvalidSettingsAreReported(t *testing.T) {
	out := replies(t, "BATCH 1 1\nENLIST 4 1 FleetSize=0\nFLUSH\n")
	if !strings.HasPrefix(out, "FAULT 4 ") || !strings.Contains(out, "FleetSize is missing") ||
		!strings.HasSuffix(out, "READY 1\n") {
		t.Errorf("reply to invalid settings: got %q, want a FAULT line for instance 4 and READY 1", out)
	}
}

// TestPanicIsReported checks that a panic of a scheduler is returned as a text, without actions.
func TestPanicIsReported(t *testing.T) {
	if actions, failure := handleEvents(nil, 1, nil); actions != nil || !strings.HasPrefix(failure, "panic: ") {
		t.Errorf("got actions %v, failure %q; want no actions and a failure that begins with \"panic: \"", actions, failure)
	}
}

// TestEndOfInput checks that the input may end between batches, and that an end within a batch is an error.
func TestEndOfInput(t *testing.T) {
	if out := replies(t, ""); out != "" {
		t.Errorf("output for empty input: got %q, want none", out)
	}
	var out bytes.Buffer
	err := run(strings.NewReader("BATCH 5 9\nDOWN 1\n"), &out)
	if err == nil || !strings.Contains(err.Error(), "batch 9, line 2") || out.Len() != 0 {
		t.Errorf("input that ends within a batch: got error %v, output %q; want an error at batch 9, line 2 and no output",
			err, out.String())
	}
}

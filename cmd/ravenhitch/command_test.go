package main

// This file tests the arguments of the sub-commands.

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A sub-command that gets invalid arguments, or that fails, ends with exit code 1 and an error that names the cause.
func TestCommands(t *testing.T) {
	t.Setenv("ROUTER_MGMT", "") // restores the variable at the end of the test
	if err := os.Unsetenv("ROUTER_MGMT"); err != nil {
		t.Fatal(err)
	}
	missing := filepath.Join(t.TempDir(), "none")
	for _, test := range []struct {
		args []string
		want string
	}{
		{[]string{"peer"}, "unexpected argument peer"},
		{[]string{"peers"}, "missing flags: --mgmt"},
		{[]string{"peers", "--mgmt", "127.0.0.1:1"}, "connection refused"},
		{[]string{"rehearse", "--orchestrators", "1"}, "--orchestrators: expected 2 to 32, got 1"},
		{[]string{"rehearse", "--seconds", "4"}, "--seconds: expected 5 to 3600, got 4"},
		{[]string{"rehearse", "--file", missing}, "no such file"},
		{[]string{"rehearse", "--seed", "3", "--file", "x"}, "can't be used together"},
		{[]string{"rehearse", "--schedule", "2s cut; 3s heal"}, "step 1: expected a process or a path after cut"},
	} {
		t.Run(strings.Join(test.args, " "), func(t *testing.T) {
			var out, errs bytes.Buffer
			if code := runCommand(test.args, &out, &errs); code != 1 || !strings.Contains(errs.String(), test.want) {
				t.Errorf("got exit code %d, standard error %q; want code 1, a text with %q", code, errs.String(), test.want)
			}
		})
	}
}

package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// This file tests .ci/module-limits, which limits the line length of the scheduler's files.

// TestModuleLimits checks that module-limits succeeds only if the deploy file has a policy list with at least one file,
// and each file in the list exists and has no line of over 110 characters. The number of lines is not limited.
func TestModuleLimits(t *testing.T) {
	manyLines, widestLine := strings.Repeat("x\n\n \t\n", 475), strings.Repeat("x", 110)+"\n"
	for _, c := range []struct{ name, deploy, first, second, message string }{
		{"one file", `policy = ["a.go"]`, manyLines + manyLines, manyLines, ""},
		{"two files", "build = \"x\"\npolicy = [\"a.go\", \"b.go\"]\nnode = [\"c.go\"]", manyLines, manyLines, ""},
		{"a list of several lines", "policy = [\n  \"a.go\",\n  \"b.go\",\n]\n", manyLines, manyLines + "x" + widestLine, "b.go:1426: longer than 110 characters"},
		{"any number of lines", `policy = ["a.go"]`, manyLines + manyLines + "x", "", ""},
		{"a line over the limit in the first file", `policy = ["a.go", "b.go"]`, "x" + widestLine, manyLines, "a.go:1: longer than 110 characters"},
		{"lines of exactly the maximum length", `policy = ["a.go", "b.go"]`, widestLine, widestLine, ""},
		{"a line over the limit in the second file", `policy = ["a.go", "b.go"]`, widestLine, widestLine + "x" + widestLine, "b.go:2: longer than 110 characters"},
		{"a list in a comment", "policy = [\"a.go\"]\n# policy = [\"b.go\"]", manyLines, "x" + widestLine, ""},
		{"no list", `node = ["a.go"]`, "", "", `expected policy = ["FILE", ...]`},
		{"an empty list", `policy = []`, "", "", `expected policy = ["FILE", ...]`},
		{"no such file", `policy = ["a.go", "c.go"]`, "", "", "policy names c.go, which is no file"},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			for name, text := range map[string]string{"deploy.toml": c.deploy, "a.go": c.first, "b.go": c.second} {
				if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			script, err := filepath.Abs("../../.ci/module-limits")
			if err != nil {
				t.Fatal(err)
			}
			command := exec.Command("bash", script, "deploy.toml")
			command.Dir = dir
			out, err := command.CombinedOutput()
			if (err == nil) != (c.message == "") || !strings.Contains(string(out), c.message) {
				t.Errorf("module-limits: got output %q, error %v; want output that contains %q and, unless this text is empty, an error", out, err, c.message)
			}
		})
	}
}

package config

import (
	"errors"
	"strings"
	"testing"
)

// Operators rely on these error texts, so they stay byte for byte as in the build of 1 December
// 2026. A *FieldError names the invalid field, and a *WorkerError names the invalid worker.
func TestErrorTextsOfConfiguration(t *testing.T) {
	known := `{"cursor":3,"cmds":[{"cursor":3,"nodes":{"revision":7,"complete":true,"members":[` + workerJSON + `]}}]}`
	const addr = "127.0.0.1:1"
	for _, test := range []struct{ text, want string }{
		{"{", "configuration: not valid JSON"},
		{configText("here", addr, "1", known, nested), `configuration: listen: expected address:port, got "here"`},
		{configText(addr, addr, "x", known, nested), `configuration: seed: expected up to 16 hex digits, got "x"`},
		{configText(addr, addr, "1", "null", nested), "known: configuration: expected an object"},
		{configText(addr, addr, "1", strings.Replace(known, `"up"`, `"gone"`, 1), nested),
			`known: configuration: member "s-00c41f7a": phase "gone" is unknown`},
		{configText(addr, addr, "1", strings.Replace(known, "127.1.0.9:5070", "there", 1), nested),
			`known: configuration: member "s-00c41f7a": host_port "there" is no address`},
		{configText(addr, addr, "1", strings.Replace(known, "s-00c41f7a", "", 1), nested),
			"known: configuration: a member without an id"},
		{configText(addr, addr, "1", known, "[]"), "configuration: settings: expected an object"},
		{configText(addr, addr, "1", known, strings.Replace(nested, "single_shot", "twice", 1)),
			`configuration: bad setting: RequestClasses.1.Semantics: expected free, guarded or single_shot, got "twice"`},
		{configText(addr, addr, "1", known, strings.Replace(nested, `"DialTimeoutUs":250000`, `"DialTimeoutUs":0`, 1)),
			"configuration: settings.Limits.DialTimeoutUs: expected a time above 0"},
	} {
		if _, err := Parse([]byte(test.text)); err == nil || err.Error() != test.want {
			t.Errorf("Parse: got error %v, want %s", err, test.want)
		}
	}

	_, err := Parse([]byte(configText("here", addr, "1", known, nested)))
	var fieldError *FieldError
	if !errors.As(err, &fieldError) || fieldError.Field != "listen" {
		t.Errorf("invalid listen address: got error %v, want a *FieldError for field listen", err)
	}
	_, err = Parse([]byte(configText(addr, addr, "1", strings.Replace(known, `"up"`, `"gone"`, 1), nested)))
	var workerError *WorkerError
	if !errors.As(err, &workerError) || workerError.Name != "s-00c41f7a" {
		t.Errorf("unknown phase: got error %v, want a *WorkerError for worker s-00c41f7a", err)
	}
}

// Operators rely on the error texts about the operators' file, so these stay byte for byte as in the
// build of 1 December 2026. The errors also identify the invalid position or section.
func TestErrorTextsOfOperatorsFile(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{"[grpc]\ncert a", "configuration: x: [grpc]: expected both cert and key, or neither"},
		{"[grpc]\nlisten here", `configuration: x:2:8: expected address:port, got "here"`},
		{"[grpc]\nlisten", "configuration: x:2:1: expected listen followed by address:port"},
		{"[peers]\ncluster c", "configuration: x: [peers]: expected both listen and cluster, or neither"},
		{"[workers]\nkeepalive 1500ms", `configuration: x:2:11: expected whole seconds from 1s to 5s, got "1500ms"`},
	} {
		if _, err := ParseOperatorSettings("x", []byte(test.text)); err == nil || err.Error() != test.want {
			t.Errorf("ParseOperatorSettings(%q): got error %v, want %s", test.text, err, test.want)
		}
	}

	_, err := ParseOperatorSettings("x", []byte("[grpc]\nlisten here"))
	var at *PositionError
	if !errors.As(err, &at) || at.File != "x" || at.Line != 2 || at.Column != 8 {
		t.Errorf("invalid address: got error %v, want a *PositionError at x:2:8", err)
	}
	_, err = ParseOperatorSettings("x", []byte("[grpc]\ncert a"))
	var sectionError *SectionError
	if !errors.As(err, &sectionError) || sectionError.Section != "grpc" {
		t.Errorf("certificate without a key: got error %v, want a *SectionError for section grpc", err)
	}
}

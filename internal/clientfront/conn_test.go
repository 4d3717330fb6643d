package clientfront

import (
	"testing"

	"ravenhitch/internal/jsonlines"
)

func TestSetup(t *testing.T) {
	opts := func(left, extras string) jsonlines.Message {
		return jsonlines.Message{Verb: jsonlines.VerbStart, Tag: "9b1f03aa5c7e2d41", HasBlob: true,
			Opts: []jsonlines.Field{{Name: "class", Value: "web"}, {Name: "key", Value: "k"}, {Name: "left", Value: left}, {Name: "extras", Value: extras}}}
	}
	const fine = "cores:1.5;memory:2.5;service:ff"
	for _, x := range []struct {
		left, extras string
		ok           bool
		wait         int64
	}{
		{"1500", fine, true, 1_500_000}, {"0.5", fine, true, 500}, {"-3", fine, false, 0}, {"1e300", fine, false, 0}, {"0", fine, false, 0},
		{"99999999999999999999999", fine, false, 0}, {"", fine, false, 0}, {"soon", fine, false, 0}, {"NaN", fine, false, 0},
		{"5", "", false, 0}, {"5", "x", false, 0}, {"5", "cores:1", false, 0}, {"5", "cores:nan;memory:1", false, 0},
		{"5", "cores:-1;memory:1", false, 0}, {"5", "cores:1;memory:1e9", false, 0}, {"5", "cores:1;memory:inf", false, 0},
		{"5", "cores:1;memory:1;service:xyz", false, 0}, {"5", "home:1;copies:2", false, 0},
		{"", fine + ";at:s-1", true, 0}, {"NaN", fine + ";at:s-1", true, 0},
	} {
		m := opts(x.left, x.extras)
		if s, err := setup(&m); (err == nil) != x.ok || x.ok && s.TimeoutUs != x.wait {
			t.Errorf("%+v: got %+v, %v", x, s, err)
		}
	}
	m := opts("1500", fine+";at:s-1;new:thing")
	if s, _ := setup(&m); s.Cores != 1.5 || s.Memory != 2.5 || s.Program != 255 || s.RunningOn != "s-1" {
		t.Errorf("got %+v", s)
	}
	for what, spoil := range map[string]func(m *jsonlines.Message){
		"tag": func(m *jsonlines.Message) { m.Tag = "9b1f03aa5c7e2d4x" }, "no tag": func(m *jsonlines.Message) { m.Tag = "" },
		"description": func(m *jsonlines.Message) { m.HasBlob = false }, "key": func(m *jsonlines.Message) { m.Opts[1].Value = "" },
	} {
		m := opts("1500", fine)
		if spoil(&m); true {
			if _, err := setup(&m); err == nil {
				t.Errorf("%s: it passed", what)
			}
		}
	}
}

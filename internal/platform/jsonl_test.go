package platform

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"pgregory.net/rapid"

	"ravenhitch"
	"ravenhitch/internal/core"
	"ravenhitch/internal/loop"
)

func TestMain(m *testing.M) {
	// The seed is fixed here: packages without rapid reject its flags.
	for name, v := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var messages = rapid.Custom(func(t *rapid.T) Message {
	m := Message{Verb: rapid.SampledFrom([]string{verbStart, verbStarted, verbFinish, verbNotice}).Draw(t, "verb"),
		Tag: rapid.StringMatching(`[0-9a-f]{16}`).Draw(t, "tag")}
	for i := range rapid.IntRange(0, 4).Draw(t, "opts") {
		m.Opts = append(m.Opts, Field{fmt.Sprint("f", i), rapid.String().Draw(t, "value")})
	}
	if m.HasRC = rapid.Bool().Draw(t, "has rc"); m.HasRC {
		m.RC = rapid.IntRange(-5, 200).Draw(t, "rc")
	}
	if m.HasBlob = rapid.Bool().Draw(t, "has blob"); m.HasBlob {
		m.Blob = rapid.StringN(0, 300, 900).Draw(t, "blob")
	}
	return m
})

// feed cuts b at random places and calls take with what was gathered, as the
// loop does.
func feed(t *rapid.T, b []byte, take func([]byte) (int, error)) error {
	var have []byte
	for len(b) > 0 {
		n := rapid.IntRange(1, len(b)).Draw(t, "cut")
		have = append(have, b[:n]...)
		b = b[n:]
		for {
			used, err := take(have)
			if err != nil {
				return err
			}
			if used == 0 {
				break
			}
			have = have[used:]
		}
	}
	return nil
}

func TestLinesCutAnywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.SliceOfN(messages, 1, 5).Draw(t, "messages")
		var b []byte
		for i := range want {
			b = Append(b, &want[i])
		}
		var got []Message
		err := feed(t, b, func(b []byte) (int, error) {
			return lines(b, func(line []byte) error {
				m, err := Parse(line)
				got = append(got, m)
				return err
			})
		})
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("got %v and %+v, expected %+v", err, got, want)
		}
	})
}

func TestParseGarbage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := messages.Draw(t, "message")
		b := bytes.TrimSuffix(Append(nil, &m), []byte("\n"))
		for range rapid.IntRange(1, 4).Draw(t, "hits") {
			b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		if rapid.Bool().Draw(t, "noise") {
			b = rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")
		}
		got, err := Parse(b)
		if err != nil {
			return
		}
		// What was taken goes out and comes back as it was.
		again, err := Parse(bytes.TrimSuffix(Append(nil, &got), []byte("\n")))
		if err != nil || !reflect.DeepEqual(again, got) {
			t.Fatalf("%q gave %+v, then %+v (%v)", b, got, again, err)
		}
	})
}

func TestParse(t *testing.T) {
	for _, x := range []struct{ name, line, want string }{
		{"page", `{"verb":"FINISH","tag":"9b1f03aa5c7e2d41","opts":{},"rc":34}`, `{"verb":"FINISH","tag":"9b1f03aa5c7e2d41","opts":{},"rc":34}`},
		{"numbers as fields", `{"verb":"NOTICE","opts":{"note":"cpu","value":0.5},"x":[1,{"y":null}],"tag":"a"}`,
			`{"verb":"NOTICE","tag":"a","opts":{"note":"cpu","value":"0.5"}}`},
		{"escapes", `{"verb":"START","tag":"a","blob":"\r\n\u00e9\ud83d\ude00\/\u0001\"\\"}`,
			`{"verb":"START","tag":"a","opts":{},"blob":"\r\né😀/\u0001\"\\"}`},
		{"half a pair", `{"verb":"START","tag":"a","blob":"\ud800x\udfff"}`, `{"verb":"START","tag":"a","opts":{},"blob":"\ud800x\udfff"}`},
		{"no verb", `{"tag":"a"}`, ""}, {"two values", `{"verb":"ECHO"}{}`, ""}, {"not an object", `["verb"]`, ""},
		{"a raw control character", "{\"verb\":\"E\x01\"}", ""}, {"not UTF-8", "{\"verb\":\"E\xff\"}", ""},
		{"deep", `{"verb":"ECHO","x":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `}`, ""},
		{"rc too large", `{"verb":"ECHO","rc":99999999999999999999}`, ""}, {"rc with a fraction", `{"verb":"ECHO","rc":1.5}`, ""},
	} {
		m, err := Parse([]byte(x.line))
		if got := strings.TrimSuffix(string(Append(nil, &m)), "\n"); err == nil && got != x.want || (err == nil) != (x.want != "") {
			t.Errorf("%s: got %s and %v, expected %s", x.name, got, err, x.want)
		}
	}
}

func TestSetup(t *testing.T) {
	opts := func(left, extras string) Message {
		return Message{Verb: verbStart, Tag: "9b1f03aa5c7e2d41", HasBlob: true,
			Opts: []Field{{"class", "web"}, {"key", "k"}, {"left", left}, {"extras", extras}}}
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
		if s, err := setup(&m); (err == nil) != x.ok || x.ok && s.WaitUs != x.wait {
			t.Errorf("%+v: got %+v, %v", x, s, err)
		}
	}
	m := opts("1500", fine+";at:s-1;new:thing")
	if s, _ := setup(&m); s.Cores != 1.5 || s.Mem != 2.5 || s.Service != 255 || s.At != "s-1" {
		t.Errorf("got %+v", s)
	}
	for what, spoil := range map[string]func(m *Message){
		"tag": func(m *Message) { m.Tag = "9b1f03aa5c7e2d4x" }, "no tag": func(m *Message) { m.Tag = "" },
		"description": func(m *Message) { m.HasBlob = false }, "key": func(m *Message) { m.Opts[1].Value = "" },
	} {
		m := opts("1500", fine)
		if spoil(&m); true {
			if _, err := setup(&m); err == nil {
				t.Errorf("%s: it passed", what)
			}
		}
	}
}

// newNodes returns links on a loop of their own, and the core that they serve.
func newNodes(t *testing.T) (*loop.Loop, *Nodes, *core.Core) {
	t.Helper()
	l, err := loop.New(10)
	if err != nil {
		t.Fatal(err)
	}
	n := NewNodes(l, 1_000_000, true, slog.New(slog.DiscardHandler))
	c, err := core.New(ravenhitch.Settings{FleetSize: 1, CoresMultiple: 1, MemoryMultiple: 1,
		Classes: []ravenhitch.Class{{Name: "cut", Effect: ravenhitch.Unsafe, Kind: -1}},
		Kinds:   []ravenhitch.Kind{{Name: "std", Cores: 1, Memory: 1}}}, 1, n, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	n.Use(c)
	return l, n, c
}

// An offer on a connection that breaks before it left goes out on the next one,
// once: it never ran, and the minion is not to blame.
func TestOfferOnBrokenConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	l, n, c := newNodes(t)
	n.Update("a", ln.Addr().String(), true)
	s := core.Setup{Tag: "9b1f03aa5c7e2d41", Class: "cut", Key: "k", WaitUs: 5_000_000, Cores: 1, Mem: 1}
	if err := c.Submit(l.Now(), nil, s); err != nil {
		t.Fatal(err)
	}
	n.Offer("a", core.Offer{Tag: s.Tag, Class: s.Class, Key: s.Key, WaitUs: s.WaitUs})
	nc := n.links["a"].conns[0]
	nc.c.Close()
	nc.Closed(nc.c, unix.ECONNRESET)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := l.Run(func(int64) { n.Gather() }); err != nil {
			t.Error(err)
		}
		l.Close()
	}()
	got := ""
	for range 2 {
		c, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		text, _ := bufio.NewReader(c).ReadString('\n')
		got += text
		defer c.Close()
	}
	if strings.Count(got, `"verb":"START"`) != 1 {
		t.Errorf("the minion got %q", got)
	}
	l.Post(l.Stop)
	<-done
}

// A command channel that breaks off in the middle of an event, or of the answer's
// head, is asked again for the same event, which is applied once. One that answers twice is
// asked anew, and one that counts from lower on tells nothing.
func TestChannelBreaksOff(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	l, n, c := newNodes(t)
	var text bytes.Buffer
	ch := NewChannel(l, c, n, ln.Addr().String(), 1_000_000, slog.New(slog.NewTextHandler(&text, nil)))
	ch.cursor = 6
	ch.Start()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := l.Run(func(now int64) { n.Gather(); c.Turn(now) }); err != nil {
			t.Error(err)
		}
		l.Close()
	}()
	body := `{"cursor":7,"cmds":[{"cursor":7,"nodes":{"complete":false,"members":[{"id":"s-1","host_port":"127.0.0.1:9",` +
		`"locality":"h","flavor":"std","cell":1,"phase":"draining","size":1,"up_since_ms":0,"spare":[1,1]}]}}]}`
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	low := "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\n{\"cursor\":5,\"cmds\":[]} "
	next := strings.ReplaceAll(whole, `"cursor":7`, `"cursor":8`)
	for _, x := range []struct {
		asked, answer string
		open          bool // it does not close behind that
	}{{"resume=6&", whole[:len(whole)-40], false}, {"resume=6&", whole[:12], false},
		{"resume=6&", strings.Replace(whole, `"members"`, `"members`, 1), false},
		{"resume=6&", "HTTP/1.1 100 Continue\r\n\r\n" + whole, false}, {"resume=7&", low, false},
		{"resume=7&", next + next, true}, {"resume=8&", "", false}} {
		ln.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Second))
		c, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		for r := bufio.NewReader(c); ; {
			c.SetReadDeadline(time.Now().Add(10 * time.Second))
			line, err := r.ReadString('\n')
			if err != nil || strings.HasPrefix(line, "GET") && !strings.Contains(line, x.asked) {
				t.Fatalf("asked %q (%v), expected %s", line, err, x.asked)
			}
			if line == "\r\n" {
				break
			}
		}
		io.WriteString(c, x.answer)
		if !x.open {
			c.Close()
		}
	}
	l.Post(l.Stop)
	<-done
	if !c.Listed("s-1") {
		t.Error("the event was not applied")
	}
	if strings.Contains(text.String(), "is silent") { // it was waited for in vain
		t.Error(text.String())
	}
}

// A line of 16 KiB passes, a longer one is told before it is whole, and no
// message grows on its way through.
func TestLineLength(t *testing.T) {
	m := Message{Verb: verbStart, Tag: "9b1f03aa5c7e2d41", HasBlob: true}
	m.Blob = strings.Repeat("x", lineMost-len(Append(nil, &m)))
	b := Append(nil, &m)
	if used, err := lines(b, func([]byte) error { return nil }); used != lineMost || err != nil {
		t.Errorf("used %d, %v", used, err)
	}
	if _, err := lines(b[:lineMost-1], func([]byte) error { return nil }); err != nil {
		t.Errorf("a line that may still end: %v", err)
	}
	if _, err := lines(bytes.Repeat([]byte("x"), lineMost), func([]byte) error { return nil }); err == nil {
		t.Error("a line of more than 16 KiB passed")
	}
	for _, blob := range []string{`\b\f\n\r\t\"\\\/`, `\u0001\ud800`, "é\u007f"} {
		line := `{"verb":"START","tag":"a","opts":{},"blob":"` + blob + `"}`
		m, err := Parse([]byte(line))
		if out := Append(nil, &m); err != nil || len(out) > len(line)+1 {
			t.Errorf("%s became %s (%v)", line, out, err)
		}
	}
}

func TestResponseCutAnywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var want [][]byte
		var b []byte
		for range rapid.IntRange(1, 3).Draw(t, "answers") {
			body := rapid.SliceOf(rapid.Byte()).Draw(t, "body")
			want = append(want, body)
			if rapid.Bool().Draw(t, "chunked") {
				b = append(b, "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n"...)
				for len(body) > 0 {
					n := rapid.IntRange(1, len(body)).Draw(t, "chunk")
					b = fmt.Appendf(b, "%x;a=b\r\n%s\r\n", n, body[:n])
					body = body[n:]
				}
				b = append(b, rapid.SampledFrom([]string{"0\r\n\r\n", "0\r\na: b\r\n\r\n"}).Draw(t, "end")...)
			} else {
				b = fmt.Appendf(b, "HTTP/1.1 200 OK\r\ncontent-length:  %d \r\n\r\n%s", len(body), body)
			}
		}
		var got [][]byte
		err := feed(t, b, func(b []byte) (int, error) {
			r, used, err := parseResponse(b)
			if used > 0 {
				got = append(got, bytes.Clone(r.body))
			}
			return used, err
		})
		if err != nil || len(got) != len(want) {
			t.Fatalf("got %d of %d answers, %v", len(got), len(want), err)
		}
		for i := range want {
			if !bytes.Equal(got[i], want[i]) {
				t.Fatalf("answer %d is %q, expected %q", i, got[i], want[i])
			}
		}
	})
}

func TestResponseGarbage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := []byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
		for range rapid.IntRange(0, 6).Draw(t, "hits") {
			b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		if _, used, err := parseResponse(b); used < 0 || used > len(b) || used > 0 && err != nil {
			t.Fatalf("%q: used %d, %v", b, used, err)
		}
	})
	for _, b := range []string{"nonsense\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", strings.Repeat("x", headMost),
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"} {
		if _, used, err := parseResponse([]byte(b)); err == nil || used != 0 {
			t.Errorf("%.40q: used %d, %v", b, used, err)
		}
	}
}

// An offer whose connection comes up late does not leave where it must not any more: its
// node drains past the limit, or nodes no longer know a repeat of what may have started.
func TestOfferOnLateConnection(t *testing.T) {
	const tag = "9b1f03aa5c7e2d41"
	for _, c := range []struct {
		name string
		late func(now int64, c *core.Core, n *Nodes)
		sent bool
	}{
		{"nothing against it", func(int64, *core.Core, *Nodes) {}, true},
		{"its owner left", func(_ int64, _ *core.Core, n *Nodes) { n.GiveUp("a", tag, false) }, false},
		{"its node drains", func(now int64, c *core.Core, _ *Nodes) {
			c.List(now, ravenhitch.List{Entries: []ravenhitch.Entry{{Machine: "a", State: ravenhitch.Draining}}})
		}, false},
		{"its node left the list", func(now int64, c *core.Core, _ *Nodes) {
			c.List(now, ravenhitch.List{Kind: ravenhitch.ListFull})
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			l, n, owed := newNodes(t)
			owed.List(l.Now(), ravenhitch.List{Kind: ravenhitch.ListFull, Entries: []ravenhitch.Entry{{Machine: "a", Kind: "std"}}})
			n.Update("a", ln.Addr().String(), true)
			s := core.Setup{Tag: tag, Class: "cut", Key: "k", WaitUs: 5_000_000, Cores: 1, Mem: 1}
			if err := owed.Submit(l.Now(), nil, s); err != nil {
				t.Fatal(err)
			}
			n.Offer("a", core.Offer{Tag: s.Tag, Class: s.Class, Key: s.Key, WaitUs: s.WaitUs})
			nc := n.links["a"].conns[0]
			c.late(l.Now(), owed, n)
			if err := l.Run(func(int64) { // until the connection is up and what came of that is told
				if n.Gather(); nc.wasUp {
					l.Stop()
				}
			}); err != nil {
				t.Error(err)
			}
			if open := nc.open[tag] != nil; open != c.sent {
				t.Errorf("open on its connection: %v", open)
			}
			l.Close()
			got, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			got.SetReadDeadline(time.Now().Add(10 * time.Second))
			text, err := io.ReadAll(got)
			if err != nil || strings.Contains(string(text), `"verb":"START"`) != c.sent {
				t.Errorf("the minion got %q, %v", text, err)
			}
		})
	}
}

package discovery

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"ravenhitch/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "20261201") }

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
		err := rapidtest.Feed(t, b, func(b []byte) (int, error) {
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

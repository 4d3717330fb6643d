package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"ravenhitch/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "20261201") }

// appendChunked appends a response with a chunked body to b. The sizes of the chunks are drawn at random.
func appendChunked(t *rapid.T, b, body []byte) []byte {
	b = append(b, "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n"...)
	for len(body) > 0 {
		size := rapid.IntRange(1, len(body)).Draw(t, "chunk")
		b = fmt.Appendf(b, "%x;a=b\r\n%s\r\n", size, body[:size])
		body = body[size:]
	}
	return append(b, rapid.SampledFrom([]string{"0\r\n\r\n", "0\r\na: b\r\n\r\n"}).Draw(t, "end")...)
}

// TestResponseCutAnywhere asserts that responses are parsed correctly when they arrive in pieces of any size.
func TestResponseCutAnywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var want [][]byte
		var b []byte
		for range rapid.IntRange(1, 3).Draw(t, "answers") {
			body := rapid.SliceOf(rapid.Byte()).Draw(t, "body")
			want = append(want, body)
			if rapid.Bool().Draw(t, "chunked") {
				b = appendChunked(t, b, body)
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
			t.Fatalf("got %d responses, error %v; want %d responses, no error", len(got), err, len(want))
		}
		for i := range want {
			if !bytes.Equal(got[i], want[i]) {
				t.Fatalf("body of response %d: got %q, want %q", i, got[i], want[i])
			}
		}
	})
}

// TestResponseGarbage overwrites bytes of a response at random. It asserts that the parser does not panic and that it
// returns a valid number of used bytes. It also asserts that the parser rejects malformed responses.
func TestResponseGarbage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := []byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
		for range rapid.IntRange(0, 6).Draw(t, "hits") {
			b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		if _, used, err := parseResponse(b); used < 0 || used > len(b) || used > 0 && err != nil {
			t.Fatalf("response %q: got used %d of %d bytes, error %v; want used within the response, and 0 with an error",
				b, used, len(b), err)
		}
	})
	for _, b := range []string{"nonsense\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", strings.Repeat("x", maxHead),
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"} {
		if _, used, err := parseResponse([]byte(b)); err == nil || used != 0 {
			t.Errorf("response %.40q: got used %d, error %v; want used 0 and an error", b, used, err)
		}
	}
}

// TestResponseErrors asserts that the error for an invalid response names the invalid part and its value.
func TestResponseErrors(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, test := range []struct{ name, response, part, value string }{
		{"no status line", "nonsense\r\n\r\n", "status line", "nonsense"},
		{"status below the minimum", "HTTP/1.1 099 OK\r\n\r\n", "status line", "HTTP/1.1 099 OK"},
		{"length not a number", "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", "content-length", "x"},
		{"length over the limit", "HTTP/1.1 200 OK\r\nContent-Length: 2097153\r\n\r\n", "content-length", "2097153"},
		{"unknown coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", "transfer-encoding", "gzip"},
		{"no length", "HTTP/1.1 200 OK\r\n\r\n", "head", ""},
		{"head over the limit", strings.Repeat("x", maxHead), "head", ""},
		{"chunk size not a number", chunked + "zz\r\n", "chunk size", "zz"},
		{"chunk size over the limit", chunked + "200001\r\n", "chunk size", "200001"},
		{"chunk line over the limit", chunked + strings.Repeat("0", maxChunkLine+1), "chunk size", ""},
		{"no line end after chunk data", chunked + "1\r\nabc", "chunk", "bc"},
		{"chunks over the limit", chunked + "1\r\na\r\n200000\r\n", "chunked body", ""},
		{"trailers over the limit", chunked + "0\r\n" + strings.Repeat("x", maxHead+1), "trailers", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, used, err := parseResponse([]byte(test.response))
			var got *ResponseError
			if used != 0 || !errors.As(err, &got) || !errors.Is(err, ErrResponse) {
				t.Fatalf("got used %d, error %v; want used 0 and a ResponseError that wraps ErrResponse", used, err)
			}
			if got.Part != test.part || got.Value != test.value {
				t.Errorf("got part %q, value %q; want part %q, value %q", got.Part, got.Value, test.part, test.value)
			}
		})
	}
}

// TestResponseLimits asserts that the parser accepts responses at the limits, and that it reports an incomplete
// response as incomplete instead of returning an error.
func TestResponseLimits(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, test := range []struct {
		name, response string
		complete       bool
	}{
		{"a header without a colon", "HTTP/1.1 200 OK\r\nContent-Length\r\nContent-Length: 0\r\n\r\n", true},
		{"a chunk line of the greatest length", chunked + "0;" + strings.Repeat("a", maxChunkLine-3) + "\r\n\r\n", true},
		{"a part of a chunk line", chunked + strings.Repeat("0", maxChunkLine), false},
		{"a part of the trailers", chunked + "0\r\n" + strings.Repeat("x", maxHead), false},
		{"a part of the head", strings.Repeat("x", maxHead-1), false},
		{"a status without a body", "HTTP/1.1 204 No Content\r\n\r\n", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			want := 0
			if test.complete {
				want = len(test.response)
			}
			if _, used, err := parseResponse([]byte(test.response)); used != want || err != nil {
				t.Errorf("got used %d, error %v; want used %d, no error", used, err, want)
			}
		})
	}
}

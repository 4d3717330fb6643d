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

// recordingHandler records what a responseReader passes on.
type recordingHandler struct {
	head head
	body []byte
}

func (r *recordingHandler) handleHead(h head) error {
	r.head = h
	return nil
}

func (r *recordingHandler) handleBody(piece []byte) error {
	r.body = append(r.body, piece...)
	return nil
}

// readResponse reads a response that arrives as a whole.
func readResponse(b string) (used int, complete bool, err error) {
	var reader responseReader
	return reader.read([]byte(b), &recordingHandler{})
}

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
		var reader responseReader
		var response recordingHandler
		err := rapidtest.Feed(t, b, func(b []byte) (int, error) {
			used, complete, err := reader.read(b, &response)
			if complete {
				got = append(got, response.body)
				reader, response = responseReader{}, recordingHandler{}
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
		if used, complete, err := readResponse(string(b)); used < 0 || used > len(b) || complete && err != nil {
			t.Fatalf("response %q: got used %d of %d bytes, complete %v, error %v; want used within the response, and no error with a complete one",
				b, used, len(b), complete, err)
		}
	})
	for _, b := range []string{"nonsense\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n", strings.Repeat("x", maxHead),
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"} {
		if _, complete, err := readResponse(b); err == nil || complete {
			t.Errorf("response %.40q: got complete %v, error %v; want an error", b, complete, err)
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
		{"length that is no int64", "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775808\r\n\r\n", "content-length", "9223372036854775808"},
		{"unknown coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", "transfer-encoding", "gzip"},
		{"no length", "HTTP/1.1 200 OK\r\n\r\n", "head", ""},
		{"head over the limit", strings.Repeat("x", maxHead), "head", ""},
		{"chunk size not a number", chunked + "zz\r\n", "chunk size", "zz"},
		{"chunk size that is no int64", chunked + "8000000000000000\r\n", "chunk size", "8000000000000000"},
		{"chunk line over the limit", chunked + strings.Repeat("0", maxChunkLine+1), "chunk size", ""},
		{"no line end after chunk data", chunked + "1\r\nabc", "chunk", "bc"},
		{"trailers over the limit", chunked + "0\r\n" + strings.Repeat("x", maxHead+1), "trailers", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, complete, err := readResponse(test.response)
			var got *ResponseError
			if complete || !errors.As(err, &got) || !errors.Is(err, ErrResponse) {
				t.Fatalf("got complete %v, error %v; want a ResponseError that wraps ErrResponse", complete, err)
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
		{"a length of which nothing has come", "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n", false},
		{"a chunk of which nothing has come", chunked + "c0000000\r\n", false},
		{"a status without a body", "HTTP/1.1 204 No Content\r\n\r\n", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			used, complete, err := readResponse(test.response)
			if complete != test.complete || complete && used != len(test.response) || err != nil {
				t.Errorf("got used %d of %d, complete %v, error %v; want complete %v, no error", used, len(test.response),
					complete, err, test.complete)
			}
		})
	}
}

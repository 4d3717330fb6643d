// Package rapidtest supports property-based tests (pgregory.net/rapid). It runs them with a fixed seed,
// so that each run draws the same values. Only tests may use it.
package rapidtest

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// Main is the TestMain of a package with property-based tests. It sets rapid's flags itself, because flags on the
// command line of go test are also passed to packages without rapid, which reject them. Main does not return.
func Main(m *testing.M, seed string) {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Feed passes data to consume as an event loop does. It appends pieces of random lengths to a buffer. After each
// piece, it calls consume with the buffer and removes the used bytes, until consume uses none. It returns the first
// error of consume.
func Feed(t *rapid.T, data []byte, consume func([]byte) (used int, err error)) error {
	var buffered []byte
	for len(data) > 0 {
		length := rapid.IntRange(1, len(data)).Draw(t, "cut")
		buffered = append(buffered, data[:length]...)
		data = data[length:]
		for {
			used, err := consume(buffered)
			if err != nil {
				return err
			}
			if used == 0 {
				break
			}
			buffered = buffered[used:]
		}
	}
	return nil
}

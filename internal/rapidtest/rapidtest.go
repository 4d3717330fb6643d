// Package rapidtest runs the tests of packages with properties (pgregory.net/rapid) from a
// fixed seed, so that each run draws the same. It serves tests alone.
package rapidtest

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// Main is the TestMain of a package with properties. The seed is set here, since packages
// without rapid reject its flags. It does not return.
func Main(m *testing.M, seed string) {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Feed hands data to consume as an event loop does: in pieces cut at random places, each
// with what was not used before. It returns the first error of consume.
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

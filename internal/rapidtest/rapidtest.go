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

// Feed cuts b at random places and calls take with what was gathered, as the
// loop does.
func Feed(t *rapid.T, b []byte, take func([]byte) (int, error)) error {
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

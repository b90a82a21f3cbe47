// Package fixedseed makes property tests of package rapid generate the same cases in every run, by a fixed random seed,
// unless the flag -rapid.seed sets another one.
package fixedseed

import (
	"flag"
	"testing"
)

// Main runs the tests of a package with the fixed seed and returns the exit code; TestMain calls it.
func Main(m *testing.M) int {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		if err := flag.Set(seed.Name, "1"); err != nil {
			panic(err)
		}
	}
	return m.Run()
}

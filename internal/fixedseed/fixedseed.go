// Package fixedseed gives property tests the same cases in every run, unless -rapid.seed asks for others.
package fixedseed

import (
	"flag"
	"testing"
)

// Main runs a package's tests and returns its exit code; call it from TestMain.
func Main(m *testing.M) int {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		if err := flag.Set(seed.Name, "1"); err != nil {
			panic(err)
		}
	}
	return m.Run()
}

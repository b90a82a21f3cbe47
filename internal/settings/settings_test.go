package settings

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const minimalSettings = "[Host]\nName = entry-1\nDomain = a\nListen = 127.0.0.1:8080\nInner = 127.0.0.1:9080\n[Platform]\nStore = http://127.0.0.1:2379\n"

func TestParse(t *testing.T) {
	is := is.New(t)
	s, err := Parse("h.ini", []byte(minimalSettings+"[Limits]\nAddressMaxAge = 3s\n"))
	is.NoErr(err)
	is.Equal(s.Limits.AddressMaxAge.Seconds(), 3.0)
	is.Equal(s.Limits.KeptEntries, Default().Limits.KeptEntries)
}

func TestParseErrorsNameFileSectionKeyAndRemedy(t *testing.T) {
	cases := []struct{ name, content, want string }{
		{"unknown key", minimalSettings + "[Limits]\nKept = 3\n", "h.ini:9: section [Limits] key Kept is unknown; allowed keys: HeaderBytes"},
		{"unknown section", minimalSettings + "[Limit]\nx = 1\n", "h.ini:8: section [Limit] is unknown; allowed sections: Host, Platform"},
		{"bad duration", minimalSettings + "[Limits]\nStopTimeout = 5\n", "key StopTimeout has value \"5\"; write a duration"},
		{"missing address", strings.Replace(minimalSettings, "Listen = 127.0.0.1:8080\n", "", 1), "h.ini:1: section [Host] key Listen is missing; add it"},
		{"host name for an address", strings.Replace(minimalSettings, "127.0.0.1:8080", "localhost:8080", 1), "write an IP address and port"},
		{"bad seed", minimalSettings + "[Peers]\nSeeds = 127.0.0.1:1, x\n", "key Seeds has value \"x\""},
		{"bad store", strings.Replace(minimalSettings, "http://127.0.0.1:2379", "127.0.0.1", 1), "must be a URL"},
		{"dot in name", strings.Replace(minimalSettings, "entry-1", "entry.1", 1), "may hold letters"},
		{"key without certificate", minimalSettings + "[TLS]\nCallerKey = k.pem\n", "together"},
		{"value too small", minimalSettings + "[Limits]\nKeptEntries = 0\n", "is too small"},
		{"share above 1", minimalSettings + "[Budget]\nCoreShare = 3\n", "between 0 and 1"},
		{"second runs above 100 in 100", minimalSettings + "[SecondRuns]\nRuns = 101\n", "section [SecondRuns] key Runs must be between 0 and 100"},
		{"host's share above 1", strings.Replace(minimalSettings, "[Platform]", "CoreShare = 1.5\n[Platform]", 1), "section [Host] key CoreShare must be between 0 and 1"},
		{"negative bandwidth", strings.Replace(minimalSettings, "[Platform]", "LinkMbps = -1\n[Platform]", 1), "key LinkMbps has value \"-1\"; write a number of zero or more"},
		{"bad announced address", strings.Replace(minimalSettings, "[Platform]", "Announced = x\n[Platform]", 1), "key Announced has value \"x\""},
		{"unknown log level", minimalSettings + "[Log]\nLevel = loud\n", "allowed: debug, info, warn, error"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("h.ini", []byte(c.content))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got %v, want %q", err, c.want)
			}
		})
	}
}

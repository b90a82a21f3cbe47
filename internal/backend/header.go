package backend

import (
	"net/http"
	"slices"
	"strings"
)

// hopByHopHeaders are header fields that apply to a single connection and must not be forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHopHeaders removes the hop-by-hop fields from a header, including those listed in its Connection field. The fields in kept
// are for all recipients, so that a Connection field that lists them is ignored in this.
func RemoveHopByHopHeaders(header http.Header, kept ...string) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if !slices.Contains(kept, name) {
				header.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

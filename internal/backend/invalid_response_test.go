package backend

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestInvalidResponseIsNoResponse guards against answers of a backend server that are no responses and are passed on, or skipped as interim
// ones. A whole success follows each of them on the connection.
func TestInvalidResponseIsNoResponse(t *testing.T) {
	for _, c := range []struct{ name, sent, reason string }{
		{"status 000", "HTTP/1.1 000 OK\r\nId: own\r\nSeal: s\r\n\r\n", "InvalidStatus"},
		{"status 000 with a body", "HTTP/1.1 000 OK\r\nId: own\r\nSeal: s\r\nContent-Length: 4\r\n\r\nabcd", "InvalidStatus"},
		{"status 000 behind an interim response", interim + "HTTP/1.1 000 OK\r\nId: own\r\nSeal: s\r\n\r\n", "InvalidStatus"},
		{"status 099", "HTTP/1.1 099 OK\r\nId: own\r\nSeal: s\r\n\r\n", "InvalidStatus"},
		{"status 600", "HTTP/1.1 600 OK\r\nId: own\r\nSeal: s\r\nContent-Length: 0\r\n\r\n", "InvalidStatus"},
		{"status 999", "HTTP/1.1 999 OK\r\nId: own\r\nSeal: s\r\nContent-Length: 0\r\n\r\n", "InvalidStatus"},
		{"status with a sign", "HTTP/1.1 +20 OK\r\nId: own\r\nSeal: s\r\n\r\n", "InvalidStatusLine"},
		{"coding on HTTP/1.0", "HTTP/1.0 200 OK\r\nId: own\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n", "AmbiguousLength"},
		{"coding beside a length", "HTTP/1.1 200 OK\r\nId: own\r\nSeal: s\r\nContent-Length: 14\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n", "AmbiguousLength"},
		{"the same length twice", "HTTP/1.1 200 OK\r\nId: own\r\nSeal: s\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nabcd", "AmbiguousLength"},
		{"HTTP/2", "HTTP/2.0 200 OK\r\nId: own\r\nSeal: s\r\nContent-Length: 4\r\n\r\nabcd", "UnknownVersion"},
		{"folded coding", "HTTP/1.1 200 OK\r\nId: own\r\nSeal: s\r\nTransfer-Encoding:\r\n chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n", "AmbiguousLength"},
		{"space in a name", "HTTP/1.1 200 OK\r\nId: own\r\nSeal: s\r\nContent Length: 4\r\nContent-Length: 2\r\n\r\nabcd", "InvalidFieldName"},
		{"head in two parts", "HTTP/1.0 200 OK\r\nId: own\r\nSeal: s\r\nA: " + strings.Repeat("x", 2*readBufferBytes) + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "AmbiguousLength"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			body, err := fetch(http.MethodGet, c.sent+"HTTP/1.1 200 OK\r\nId: own\r\nSeal: s\r\nContent-Length: 4\r\n\r\ndone", io.EOF)
			is.Equal(body, "")
			is.Equal(InvalidReason(err), c.reason)
			is.Equal(InvalidReason(errors.New("another error")), "")
		})
	}
}

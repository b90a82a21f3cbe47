package backend

import (
	"errors"
	"io"
	"net/http"
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

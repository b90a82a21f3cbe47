package message

import (
	"bufio"
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// responseHeads are heads of responses with the reason for which they must be refused; it is empty for those that may be taken, and "net/http"
// for those that http.ReadResponse refuses.
var responseHeads = []struct{ name, head, reason string }{
	{"plain", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", ""},
	{"no phrase", "HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\n", ""},
	{"no phrase and no space", "HTTP/1.1 200\r\nContent-Length: 4\r\n\r\n", ""},
	{"interim", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", ""},
	{"unknown success", "HTTP/1.1 299 Fine\r\nContent-Length: 4\r\n\r\n", ""},
	{"last error", "HTTP/1.1 599 Odd\r\nContent-Length: 4\r\n\r\n", ""},
	{"lines end with LF", "HTTP/1.1 200 OK\nContent-Length: 4\n\n", ""},
	{"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\n", reasonInvalidStatus},
	{"status 099", "HTTP/1.1 099 OK\r\nContent-Length: 4\r\n\r\n", reasonInvalidStatus},
	{"status 600", "HTTP/1.1 600 OK\r\nContent-Length: 4\r\n\r\n", reasonInvalidStatus},
	{"status 999", "HTTP/1.1 999 OK\r\nContent-Length: 4\r\n\r\n", reasonInvalidStatus},
	{"status with a sign", "HTTP/1.1 +20 OK\r\nContent-Length: 4\r\n\r\n", reasonInvalidStatusLine},
	{"status below zero", "HTTP/1.1 -00 OK\r\nContent-Length: 4\r\n\r\n", reasonInvalidStatusLine},
	{"status of two digits", "HTTP/1.1 20 OK\r\nContent-Length: 4\r\n\r\n", "net/http"},
	{"status of four digits", "HTTP/1.1 2000 OK\r\nContent-Length: 4\r\n\r\n", "net/http"},
	{"two spaces", "HTTP/1.1  200 OK\r\nContent-Length: 4\r\n\r\n", reasonInvalidStatusLine},
	{"no status", "HTTP/1.1\r\nContent-Length: 4\r\n\r\n", "net/http"},
}

// TestInvalidResponseHeadsAreRefused guards against answers that are no responses, or in which two readers could find different ones.
func TestInvalidResponseHeadsAreRefused(t *testing.T) {
	for _, c := range responseHeads {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			err := CheckResponseHead([]byte(c.head + "body\r\n : \r\n"))
			if _, parseErr := http.ReadResponse(bufio.NewReader(strings.NewReader(c.head)), nil); parseErr != nil {
				is.Equal(c.reason, "net/http")
				return
			}
			var invalid *ResponseError
			if c.reason == "" {
				is.NoErr(err)
				return
			}
			is.True(errors.As(err, &invalid))
			is.Equal(invalid.Reason, c.reason)
		})
	}
}

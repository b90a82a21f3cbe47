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
	{"CR in the phrase", "HTTP/1.1 200 OK\rA: b\r\nContent-Length: 4\r\n\r\n", reasonInvalidStatusLine},
	{"phrase in another alphabet", "HTTP/1.1 200 \xd0\xb4\xb0\r\nContent-Length: 4\r\n\r\n", ""},
	{"two spaces", "HTTP/1.1  200 OK\r\nContent-Length: 4\r\n\r\n", reasonInvalidStatusLine},
	{"HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\n", ""},
	{"newer minor version", "HTTP/1.2 200 OK\r\nContent-Length: 4\r\n\r\n", ""},
	{"HTTP/2", "HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\n", reasonUnknownVersion},
	{"HTTP/0.9", "HTTP/0.9 200 OK\r\nContent-Length: 4\r\n\r\n", reasonUnknownVersion},
	{"another protocol", "ICAP/1.0 200 OK\r\nContent-Length: 4\r\n\r\n", "net/http"},
	{"coding", "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n", ""},
	{"coding on HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", reasonAmbiguousLength},
	{"another coding on HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", reasonAmbiguousLength},
	{"coding beside a length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n", reasonAmbiguousLength},
	{"another coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", "net/http"},
	{"two codings", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", "net/http"},
	{"the same length twice", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\n", reasonAmbiguousLength},
	{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n", "net/http"},
	{"folded field", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 4\r\n\r\n", ""},
	{"folded length", "HTTP/1.1 200 OK\r\nContent-Length:\r\n 4\r\n\r\n", reasonAmbiguousLength},
	{"folded coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n chunked\r\n\r\n", reasonAmbiguousLength},
	{"space before the first field", "HTTP/1.1 200 OK\r\n A: b\r\n\r\n", "net/http"},
	{"space before the colon", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\n", reasonInvalidFieldName},
	{"space in a name", "HTTP/1.1 200 OK\r\nContent Length: 4\r\n\r\n", reasonInvalidFieldName},
	{"tab before the colon", "HTTP/1.1 200 OK\r\nContent-Length\t: 4\r\n\r\n", "net/http"},
	{"control byte in a name", "HTTP/1.1 200 OK\r\nContent-\x01Length: 4\r\n\r\n", "net/http"},
	{"CR in a name", "HTTP/1.1 200 OK\r\nContent\r-Length: 4\r\n\r\n", "net/http"},
	{"CR in a value", "HTTP/1.1 200 OK\r\nA: b\rContent-Length: 4\r\n\r\n", "net/http"},
	{"NUL in a value", "HTTP/1.1 200 OK\r\nA: b\x00c\r\n\r\n", "net/http"},
	{"no name", "HTTP/1.1 200 OK\r\n: b\r\n\r\n", "net/http"},
	{"no status", "HTTP/1.1\r\nContent-Length: 4\r\n\r\n", "net/http"},
}

// TestInvalidResponseHeadsAreRefused guards against answers that are no responses, or in which two readers could find different ones.
func TestInvalidResponseHeadsAreRefused(t *testing.T) {
	for _, c := range responseHeads {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			complete, err := CheckResponseHead([]byte(c.head + "body\r\n : \r\n"))
			is.True(complete)
			for cut := range len(c.head) {
				complete, _ := CheckResponseHead([]byte(c.head[:cut]))
				is.True(!complete)
			}
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

package message

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// heads are heads of requests with the status with which they must be refused; 0 means that they may be handled.
var heads = []struct {
	name, head string
	status     int
}{
	{"plain", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 0},
	{"length", "POST /a HTTP/1.1\r\nHost: h:80\r\nContent-Length: 4\r\n\r\n", 0},
	{"chunked", "POST /a HTTP/1.1\r\nHost: h\r\ntransfer-encoding: Chunked\r\n\r\n", 0},
	{"continue", "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-Continue\r\nContent-Length: 4\r\n\r\n", 0},
	{"empty value", "GET /a HTTP/1.1\r\nHost: h\r\nA:\r\nB: \t c \t\r\n\r\n", 0},
	{"lines end with LF", "GET /a HTTP/1.1\nHost: h\n\n", 0},
	{"HTTP/1.0", "GET /a HTTP/1.0\r\n\r\n", 0},
	{"newer minor version", "GET /a HTTP/1.2\r\nHost: h\r\n\r\n", 0},
	{"options of the host", "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", 0},
	{"absolute form", "GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n", 0},
	{"space before the colon of Transfer-Encoding", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n", 400},
	{"space before the colon of Content-Length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 90\r\n\r\n", 400},
	{"tab before the colon", "POST /a HTTP/1.1\r\nHost: h\r\nA\t: b\r\n\r\n", 400},
	{"space in a name", "POST /a HTTP/1.1\r\nHost: h\r\nA b: c\r\n\r\n", 400},
	{"no name", "POST /a HTTP/1.1\r\nHost: h\r\n: c\r\n\r\n", 400},
	{"no colon", "POST /a HTTP/1.1\r\nHost: h\r\nabc\r\n\r\n", 400},
	{"folded field", "GET /a HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n", 400},
	{"folded with a tab", "GET /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding:\r\n\tchunked\r\n\r\n", 400},
	{"space before the first field", "GET /a HTTP/1.1\r\n Host: h\r\n\r\n", 400},
	{"CR in a value", "GET /a HTTP/1.1\r\nHost: h\r\nA: b\rc\r\n\r\n", 400},
	{"NUL in a value", "GET /a HTTP/1.1\r\nHost: h\r\nA: b\x00c\r\n\r\n", 400},
	{"length and coding", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
	{"two lengths", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\n", 400},
	{"coding on HTTP/1.0", "POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
	{"two codings", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", 501},
	{"another coding", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501},
	{"no host", "GET /a HTTP/1.1\r\n\r\n", 400},
	{"two hosts", "GET /a HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n", 400},
	{"empty host", "GET /a HTTP/1.1\r\nHost:\r\n\r\n", 400},
	{"invalid host", "GET /a HTTP/1.1\r\nHost: h/a b\r\n\r\n", 400},
	{"CONNECT", "CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n", 501},
	{"asterisk", "GET * HTTP/1.1\r\nHost: h\r\n\r\n", 400},
	{"unknown version", "GET /a HTTP/3.0\r\nHost: h\r\n\r\n", 505},
	{"HTTP/2 without its connection", "GET /a HTTP/2.0\r\nHost: h\r\n\r\n", 505},
	{"HTTP/0.9", "GET /a HTTP/0.9\r\nHost: h\r\n\r\n", 505},
	{"unknown expectation", "GET /a HTTP/1.1\r\nHost: h\r\nExpect: tea\r\n\r\n", 417},
	{"repeated single field", "GET /a HTTP/1.1\r\nHost: h\r\nX-Single: 1\r\nx-single: 1\r\n\r\n", 400},
}

// TestAmbiguousHeadsAreRefused guards against requests in which two readers can find different ones.
func TestAmbiguousHeadsAreRefused(t *testing.T) {
	for _, c := range heads {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(c.head)))
			if err != nil {
				is.True(c.status > 0)
				return
			}
			problem := CheckRequest(r, r.Header["X-Single"])
			if problem == nil {
				var complete bool
				problem, complete = CheckRequestHead([]byte(c.head + "body\r\n : \r\n"))
				is.True(complete)
				for cut := range len(c.head) {
					_, complete := CheckRequestHead([]byte(c.head[:cut]))
					is.True(!complete)
				}
			}
			if c.status == 0 {
				is.True(problem == nil)
				return
			}
			is.True(problem != nil)
			is.Equal(problem.Status, c.status)
		})
	}
}

// BenchmarkCheckRequestHead measures the head of an ordinary request.
func BenchmarkCheckRequestHead(b *testing.B) {
	head := []byte("GET /certificates/heat-4711 HTTP/1.1\r\nHost: mills.example\r\nX-Attempt-Id: 9c41d07be2a35f68\r\nX-Deadline-Ms: 2000\r\nAccept: */*\r\nUser-Agent: branch/1.0\r\n\r\n")
	for b.Loop() {
		if problem, _ := CheckRequestHead(head); problem != nil {
			b.Fatal("refused")
		}
	}
}

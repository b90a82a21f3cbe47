package gateway

import (
	"io"
	"strings"
	"testing"
)

// repeatedReader reads the same bytes again and again.
type repeatedReader struct {
	content string
	rest    *strings.Reader
}

func (r *repeatedReader) Read(p []byte) (int, error) {
	n, err := r.rest.Read(p)
	if err == io.EOF {
		r.rest.Reset(r.content)
		return r.rest.Read(p)
	}
	return n, err
}

// BenchmarkReadRequest measures reading an ordinary request.
func BenchmarkReadRequest(b *testing.B) {
	const head = "GET /certificates/heat-4711 HTTP/1.1\r\nHost: mills.example\r\nX-Attempt-Id: 9c41d07be2a35f68\r\nX-Deadline-Ms: 2000\r\nAccept: */*\r\nUser-Agent: branch/1.0\r\n\r\n"
	g := newReadingGateway(b)
	c := newCallerConn(g, callerBytes{sent: &repeatedReader{content: head, rest: strings.NewReader(head)}})
	defer c.cancel()
	b.ReportAllocs()
	for b.Loop() {
		q, _ := c.readRequest()
		if q == nil {
			b.Fatal("no request was read")
		}
		q.body.Release()
	}
}

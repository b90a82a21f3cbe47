package gateway_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
)

// TestSlowHeadIsRefusedAsNotRun guards against status 400, after which callers do not try again, for a valid request whose head does
// not arrive in time.
func TestSlowHeadIsRefusedAsNotRun(t *testing.T) {
	const head = "GET /lookup/1 HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: slow\r\n"
	for _, end := range []string{"GET", "GET /lookup/1 HT", "GET /lookup/1 HTTP/1.1\r\n", "GET /lookup/1 HTTP/1.1\r\nHo", "GET /lookup/1 HTTP/1.1\r\nHost: www.ex"} {
		withFleet(t, 1, 1, func(f *fleet) {
			conn := f.dial("h0")
			defer conn.Close()
			_, err := io.WriteString(conn, head[:strings.Index(head, end)+len(end)])
			f.is.NoErr(err)
			status, closes := f.read(bufio.NewReader(conn))
			f.is.Equal(status, http.StatusRequestTimeout)
			f.is.True(closes)
		})
	}
}

package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"briarcroft/platform/standin"
)

// TestNoRequestIsSmuggled guards against bytes that targets run as a request although the caller has sent them as something else, and
// against ambiguous requests after which the connection stays open.
func TestNoRequestIsSmuggled(t *testing.T) {
	const smuggled = "GET /lookup/2 HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: smuggled\r\n\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(smuggled), smuggled)
	field := func(name string) string { return fmt.Sprintf("%s: %d\r\n", name, len(smuggled)) }
	cases := []struct {
		name, line, fields, body string
		status                   int
	}{
		{"space before the colon of Transfer-Encoding", "POST /order/1 HTTP/1.1", "Transfer-Encoding : chunked\r\n", chunk, 400},
		{"space before the colon of Content-Length", "POST /order/1 HTTP/1.1", field("Content-Length "), smuggled, 400},
		{"tunnel", "CONNECT www.example:80 HTTP/1.1", "", smuggled, 501},
		{"length and coding", "POST /order/1 HTTP/1.1", field("Content-Length") + "Transfer-Encoding: chunked\r\n", "0\r\n\r\n" + smuggled, 400},
		{"coding on HTTP/1.0", "POST /order/1 HTTP/1.0", "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n" + smuggled, 400},
		{"folded coding", "POST /order/1 HTTP/1.1", "Transfer-Encoding:\r\n chunked\r\n", chunk, 400},
		{"two lengths", "POST /order/1 HTTP/1.1", "Content-Length: 0\r\n" + field("Content-Length"), smuggled, 400},
		{"coding that is not the last", "POST /order/1 HTTP/1.1", "Transfer-Encoding: chunked, identity\r\n", "0\r\n\r\n" + smuggled, 501},
		{"body of a plain request", "POST /order/1 HTTP/1.1", field("Content-Length"), smuggled, 200},
		{"repeated ID", "POST /order/1 HTTP/1.1", "X-Attempt-Id: smuggled\r\nContent-Length: 0\r\n", "", 400},
		{"repeated time limit", "POST /order/1 HTTP/1.1", "X-Deadline-Ms: 1\r\nX-Deadline-Ms: 2\r\nContent-Length: 0\r\n", "", 400},
		{"HTTP/2", "POST /order/1 HTTP/2.0", field("Content-Length"), smuggled, 505},
		{"asterisk", "GET * HTTP/1.1", "", smuggled, 400},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 1, 2, func(f *fleet) {
				conn := f.dial("h0")
				defer conn.Close()
				go func() {
					_, _ = io.WriteString(conn, c.line+"\r\nHost: www.example\r\nX-Attempt-Id: first\r\n"+c.fields+"\r\n"+c.body)
				}()
				reader := bufio.NewReader(conn)
				status, closes := f.read(reader)
				f.is.Equal(status, c.status)
				if status != http.StatusOK {
					f.is.True(closes)
					rest, _ := io.ReadAll(reader)
					f.is.Equal(strings.Count(string(rest), "HTTP/1.1"), 0)
				}
				time.Sleep(time.Second)
				f.is.Equal(f.arrivalsOf("smuggled"), 0)
				f.is.True(f.runsOf("first") <= 1)
				for _, x := range f.targets {
					x.Update(func(t *standin.Target) {
						for _, a := range t.ArrivalLog {
							f.is.Equal(a.AttemptID, "first")
						}
					})
				}
			})
		})
	}
}

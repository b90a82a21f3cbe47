package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"briarcroft/internal/record"
	"briarcroft/platform/standin"
)

// TestInvalidAnswersReachNoCaller guards against answers of targets that are no responses and reach callers, straight or through a peer: each
// is followed by a whole success on the same connection.
func TestInvalidAnswersReachNoCaller(t *testing.T) {
	for _, c := range []struct{ name, statusLine, fields, body, reason string }{
		{"status 000", "HTTP/1.1 000 OK", "", "", "InvalidStatus"},
		{"status 099", "HTTP/1.1 099 OK", "Content-Length: 4\r\n", "part", "InvalidStatus"},
		{"status 700", "HTTP/1.1 700 OK", "Content-Length: 4\r\n", "part", "InvalidStatus"},
		{"coding on HTTP/1.0", "HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n0\r\n\r\n", "AmbiguousLength"},
		{"coding beside a length", "HTTP/1.1 200 OK", "Content-Length: 14\r\nTransfer-Encoding: chunked\r\n", "4\r\npart\r\n0\r\n\r\n", "AmbiguousLength"},
		{"the same length twice", "HTTP/1.1 200 OK", "Content-Length: 4\r\nContent-Length: 4\r\n", "part", "AmbiguousLength"},
		{"HTTP/2", "HTTP/2.0 200 OK", "Content-Length: 4\r\n", "part", "UnknownVersion"},
		{"blank in a name", "HTTP/1.1 200 OK", "Content Length: 9\r\nContent-Length: 4\r\n", "part", "InvalidFieldName"},
		{"control byte in a name", "HTTP/1.1 200 OK", "A\x01: b\r\nContent-Length: 4\r\n", "part", "InvalidFieldName"},
		{"blank before a colon", "HTTP/1.1 200 OK", "Content-Length : 4\r\n", "part", "InvalidFieldName"},
	} {
		for _, relayed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, relayed %v", c.name, relayed), func(t *testing.T) {
				withFleet(t, 2, 0, func(f *fleet) {
					fields := func(id string) string {
						return "X-Attempt-Id: " + id + "\r\nX-Response-Seal: seal\r\n"
					}
					x := &cutTarget{Target: standin.NewTarget("t0"), response: func(id string) string {
						return c.statusLine + "\r\n" + fields(id) + c.fields + "\r\n" + c.body +
							"HTTP/1.1 200 OK\r\n" + fields(id) + "Content-Length: 4\r\n\r\nnext"
					}}
					f.addRawTarget(x.Target, x.serveConn)
					time.Sleep(time.Second)
					if relayed {
						f.cutOff("h0")
					}
					for i, method := range []string{http.MethodGet, http.MethodPost} {
						r := f.call("h0", method, []string{"/lookup/x", "/order/x"}[i], fmt.Sprint("invalid-", i))
						f.is.NoErr(r.err)
						f.is.True(r.status == http.StatusBadGateway || r.status == http.StatusServiceUnavailable)
						f.is.True(r.header.Get("Briarcroft-Reason") != "") // it is the host's own answer
						time.Sleep(2 * time.Second)
					}
					last := map[bool]string{false: "h0", true: "h1"}[relayed]
					f.is.Equal(f.hosts[last].gateway.RecordedCauses(record.ResponseInvalid), []string{c.reason})
				})
			})
		}
	}
}

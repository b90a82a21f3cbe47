package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"briarcroft/platform/standin"
)

// chunkedTarget answers with a long body in chunks, and breaks it off for requests whose path ends with "/cut".
type chunkedTarget struct {
	*standin.Target
	body []byte
}

func (t *chunkedTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/lookup/") {
		t.Target.ServeHTTP(w, r)
		return
	}
	w.Header().Set("X-Response-Seal", "seal")
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	_, _ = w.Write(t.body)
	if strings.HasSuffix(r.URL.Path, "/cut") {
		panic(http.ErrAbortHandler)
	}
}

// TestOldCallerGetsNoChunks guards against callers that speak HTTP/1.0 and get the sizes of chunks within the body of a long response, or a
// part of it that looks complete.
func TestOldCallerGetsNoChunks(t *testing.T) {
	binary := buildBinary(t, "..")
	f := newFleet(t, func(int, int) string { return binary }, 1, 0)
	x := &chunkedTarget{standin.NewTarget("t0"), bytes.Repeat([]byte("0123456789abcde\n"), 3<<16)}
	x.Address = f.startServer(x)
	f.store.Put("servers/t0", x.StoreValue("stock", "ready"))
	f.waitServed(f.hosts[0], "/lookup/whole")
	for _, c := range []struct {
		version, path string
		whole         bool
	}{
		{"HTTP/1.1", "/lookup/whole", true},
		{"HTTP/1.0", "/lookup/whole", true},
		{"HTTP/1.1", "/lookup/cut", false},
		{"HTTP/1.0", "/lookup/cut", false},
	} {
		t.Run(c.version+c.path, func(t *testing.T) {
			conn, err := net.Dial("tcp", f.hosts[0].listen)
			f.is.NoErr(err)
			defer conn.Close()
			f.is.NoErr(conn.SetDeadline(time.Now().Add(waitTimeout)))
			_, err = fmt.Fprintf(conn, "GET %s %s\r\nHost: www.example\r\nX-Attempt-Id: %s\r\n\r\n", c.path, c.version, c.version+c.path)
			f.is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			f.is.NoErr(err)
			f.is.Equal(response.StatusCode, http.StatusOK)
			f.is.Equal(response.TransferEncoding != nil, c.version == "HTTP/1.1")
			body, err := io.ReadAll(response.Body)
			if (err == nil) != c.whole || c.whole && !bytes.Equal(body, x.body) {
				t.Errorf("got %d of %d bytes, error %v", len(body), len(x.body), err)
			}
		})
	}
}

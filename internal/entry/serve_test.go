package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"briarcroft/internal/caller"
	"briarcroft/internal/steering"
)

// TestResponsesAreForwardedUnchanged checks that status, body and length of responses reach the caller, also without a body
// and with a body of unknown length, and that hop-by-hop header fields do not. Length -2 means that it is not checked.
func TestResponsesAreForwardedUnchanged(t *testing.T) {
	handler := func(_ *fakeBackend, w http.ResponseWriter, r *http.Request, body string) {
		w.Header().Set("Keep-Alive", "timeout=5")
		w.Header().Set("X-Hop", r.Header.Get("X-Hop"))
		switch r.URL.Path {
		case "/unchanged":
			w.Header().Set("Content-Length", "700")
			w.WriteHeader(http.StatusNotModified)
		case "/head":
			w.Header().Set("Content-Length", "800")
		case "/chunked":
			_, _ = w.Write([]byte("part one, "))
			_ = http.NewResponseController(w).Flush()
			_, _ = w.Write([]byte("part two"))
		default:
			w.WriteHeader(http.StatusTeapot)
			_, _ = w.Write([]byte(r.URL.RequestURI() + body))
		}
	}
	cases := []struct {
		method, path, body string
		status             int
		want               string
		length             int64
	}{
		{"GET", "/unchanged", "", http.StatusNotModified, "", -2},
		{"HEAD", "/head", "", http.StatusOK, "", 800},
		{"GET", "/chunked", "", http.StatusOK, "part one, part two", 18},
		{"PUT", "/a//b/../c?d=%20e", "text", http.StatusTeapot, "/a//b/../c?d=%20etext", 21},
		{"POST", "/x", strings.Repeat("y", maxReplayBytes+1), http.StatusTeapot, "/x" + strings.Repeat("y", maxReplayBytes+1), -2},
	}
	withFleetServing(t, 1, 2, handler, func(f *fleet, _ []*fakeBackend) {
		for _, c := range cases {
			response, body, err := f.send(f.nodes["entry-1"], c.method, c.path, c.body, map[string]string{"Connection": "X-Hop", "X-Hop": "secret"})
			f.is.NoErr(err)
			f.is.Equal(response.StatusCode, c.status)
			f.is.Equal(body, c.want)
			f.is.True(c.length == -2 || response.ContentLength == c.length)
			f.is.Equal(response.Header.Get("X-Hop"), "")
			f.is.Equal(response.Header.Get("Keep-Alive"), "")
		}
	})
}

// TestSlowStreamOutlivesTheDeadline checks that a response may take longer than the rule's deadline once it has begun, and
// that a request whose response has not begun by the deadline fails then.
func TestSlowStreamOutlivesTheDeadline(t *testing.T) {
	handler := func(_ *fakeBackend, w http.ResponseWriter, r *http.Request, _ string) {
		if r.URL.Path == "/late" {
			time.Sleep(time.Minute)
			return
		}
		part := strings.Repeat("x", 32<<10)
		w.Header().Set("Content-Length", strconv.Itoa(16*len(part)))
		for range 16 {
			_, _ = w.Write([]byte(part))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(time.Second)
		}
	}
	withFleetServing(t, 1, 1, handler, func(f *fleet, _ []*fakeBackend) {
		began := time.Now()
		_, body, err := f.send(f.nodes["entry-1"], http.MethodGet, "/slow", "", nil)
		f.is.NoErr(err)
		f.is.Equal(len(body), 16*32<<10)
		f.is.True(time.Since(began) > 10*time.Second)
		began = time.Now()
		response, _, err := f.send(f.nodes["entry-1"], http.MethodGet, "/late", "", nil)
		f.is.NoErr(err)
		f.is.Equal(response.StatusCode, http.StatusGatewayTimeout)
		f.is.Equal(response.Header.Get(steering.HeaderOutcome), "Unknown")
		f.is.True(time.Since(began) <= 2100*time.Millisecond)
		time.Sleep(time.Minute)
	})
}

// TestStalledCallerLosesItsConnection checks that a caller that stops reading its response is disconnected, so that the
// request no longer occupies a slot of the target.
func TestStalledCallerLosesItsConnection(t *testing.T) {
	withFleetServing(t, 1, 1, truncatingDocument(`"v"`), func(f *fleet, _ []*fakeBackend) {
		conn, err := f.net.Dialer("caller")(context.Background(), "tcp", f.nodes["entry-1"].listen)
		f.is.NoErr(err)
		_, err = conn.Write([]byte("GET /scan HTTP/1.1\r\nHost: x\r\n\r\n"))
		f.is.NoErr(err)
		time.Sleep(stallTimeout + time.Second)
		status := f.nodes["entry-1"].host.dispatcher.Services()["s"].Status()
		f.is.Equal(status.Targets[0].InFlight, 0)
		f.is.NoErr(conn.Close())
	})
}

// TestFleetServesRequests checks that a small fleet serves an idempotent request and one that must run at most once.
func TestFleetServesRequests(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.startAll(3)
		backends, content := f.backends(2, echo)
		f.is.Equal(f.publish(content), 1)
		f.is.True(f.awaitNote(1, 5*time.Second) < 2*time.Second)
		f.awaitPeers(5 * time.Second)
		response, body, err := f.send(f.nodes["entry-2"], http.MethodGet, "/x", "", nil)
		f.is.NoErr(err)
		f.is.Equal(response.StatusCode, http.StatusOK)
		f.is.Equal(body, "GET /x ")
		f.is.True(response.Header.Get(steering.HeaderTarget) != "")
		result, err := f.newCaller(1).Do(context.Background(), caller.Request{Service: "s", Method: http.MethodPost, Path: "/y", Body: []byte("b"), AtMostOnce: true})
		f.is.NoErr(err)
		f.is.Equal(string(result.Body), "POST /y b")
		f.is.Equal(backends[0].runsWithKey(result.IdempotencyKeys[0])+backends[1].runsWithKey(result.IdempotencyKeys[0]), 1)
	})
}
